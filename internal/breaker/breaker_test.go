package breaker

import (
	"testing"
	"time"
)

var origin = time.Unix(100, 0)

func TestOpensAfterAFailureAndHalfOpensByTime(t *testing.T) {
	var b Breaker
	if b.Open(origin) || b.FailureRate(origin) != 0 {
		t.Error("an unknown worker is avoided")
	}
	b.Failed(origin)
	if !b.Open(origin.Add(openFor - 1)) {
		t.Error("not avoided after a failure")
	}
	if b.Open(origin.Add(openFor)) {
		t.Error("avoided for ever")
	}
}

func TestFailuresInARowAreAvoidedLonger(t *testing.T) {
	var b Breaker
	now := origin
	for range 6 {
		b.Failed(now)
	}
	if !b.Open(now.Add(maxOpen-1)) || b.Open(now.Add(maxOpen)) {
		t.Error("six failures in a row aren't avoided for the longest time")
	}
	b.Succeeded(now.Add(maxOpen))
	b.Failed(now.Add(maxOpen))
	if b.Open(now.Add(maxOpen + openFor)) {
		t.Error("a success does not end the row")
	}
}

// TestSuccessLeavesAnOpenBreaker checks that the late success of a request sent before a
// failure does not close the breaker.
func TestSuccessLeavesAnOpenBreaker(t *testing.T) {
	var b Breaker
	b.Failed(origin)
	b.Succeeded(origin.Add(time.Millisecond))
	if !b.Open(origin.Add(2 * time.Millisecond)) {
		t.Error("a late success closed the breaker")
	}
}

func TestFailureRateFadesAndLeansToZero(t *testing.T) {
	var b Breaker
	for range 10 {
		b.Failed(origin)
		b.Succeeded(origin)
	}
	fresh := b.FailureRate(origin)
	if fresh < 0.4 || fresh > 0.5 {
		t.Errorf("half of 20 failed: rate %v", fresh)
	}
	if later := b.FailureRate(origin.Add(10 * halfLife)); later > 0.02 {
		t.Errorf("rate %v long after", later)
	}
	var once Breaker
	once.Failed(origin)
	if rate := once.FailureRate(origin); rate > 0.34 {
		t.Errorf("a single failure makes rate %v", rate)
	}
}

// TestErrorsOfRequestsOpenOnlyInARow checks that isolated error answers, which any worker may
// give, do not open the breaker.
func TestErrorsOfRequestsOpenOnlyInARow(t *testing.T) {
	var b Breaker
	for range 10 {
		b.Errored(origin)
		b.Errored(origin)
		b.Succeeded(origin)
	}
	if b.Open(origin.Add(1)) {
		t.Error("two errors in a row opened the breaker")
	}
	for range errorsInRow {
		b.Errored(origin)
	}
	if !b.Open(origin.Add(1)) {
		t.Error("a row of errors left the breaker closed")
	}
}

// TestRejectionsAreAvoidedShortly checks that a worker that is full or changes its stage is
// avoided for a moment only and that its failure rate stays the same.
func TestRejectionsAreAvoidedShortly(t *testing.T) {
	var b Breaker
	b.Rejected(origin)
	if !b.Open(origin.Add(rejectedFor-1)) || b.Open(origin.Add(rejectedFor)) {
		t.Error("a rejection isn't avoided for its time")
	}
	for range 9 {
		b.Rejected(origin)
	}
	if !b.Open(origin.Add(openFor-1)) || b.Open(origin.Add(openFor)) {
		t.Error("a row of rejections isn't avoided for longer")
	}
	if b.FailureRate(origin) != 0 {
		t.Error("a rejection counts as a failure")
	}
	b.Succeeded(origin.Add(openFor))
	b.Rejected(origin.Add(openFor))
	if b.Open(origin.Add(openFor + rejectedFor)) {
		t.Error("a success does not end the row")
	}
}
