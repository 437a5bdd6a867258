package breaker

import (
	"testing"
	"time"
)

var origin = time.Unix(100, 0)

func TestOpensAfterAFailureAndClosesWithTime(t *testing.T) {
	var b Breaker
	if b.Open(origin) || b.FailureRate(origin) != 0 {
		t.Error("an unknown worker is avoided")
	}
	b.Failed(origin)
	if !b.Open(origin.Add(openFor - 1)) {
		t.Error("not avoided after a failure")
	}
	if b.Open(origin.Add(openFor)) {
		t.Error("still avoided after openFor")
	}
}

func TestConsecutiveFailuresAreAvoidedLonger(t *testing.T) {
	var b Breaker
	now := origin
	for range 6 {
		b.Failed(now)
	}
	if !b.Open(now.Add(maxOpen-1)) || b.Open(now.Add(maxOpen)) {
		t.Error("six consecutive failures do not open the breaker for maxOpen")
	}
	b.Succeeded(now.Add(maxOpen))
	b.Failed(now.Add(maxOpen))
	if b.Open(now.Add(maxOpen + openFor)) {
		t.Error("a success does not reset the backoff")
	}
}

// TestLateSuccessLeavesBreakerOpen checks that the late success of a request sent before a
// failure does not close the breaker.
func TestLateSuccessLeavesBreakerOpen(t *testing.T) {
	var b Breaker
	b.Failed(origin)
	b.Succeeded(origin.Add(time.Millisecond))
	if !b.Open(origin.Add(2 * time.Millisecond)) {
		t.Error("a late success closed the breaker")
	}
}

func TestFailureRateDecaysAndIsBiasedTowardsZero(t *testing.T) {
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
		t.Errorf("rate %v after ten half-lives, want about zero", later)
	}
	var once Breaker
	once.Failed(origin)
	if rate := once.FailureRate(origin); rate > 0.34 {
		t.Errorf("a single failure makes a rate of %v", rate)
	}
}

// TestOnlyConsecutiveErrorsOpen checks that isolated error answers, which any worker may
// give, do not open the breaker.
func TestOnlyConsecutiveErrorsOpen(t *testing.T) {
	var b Breaker
	for range 10 {
		b.Errored(origin)
		b.Errored(origin)
		b.Succeeded(origin)
	}
	if b.Open(origin.Add(1)) {
		t.Error("two consecutive errors opened the breaker")
	}
	for range errorsToOpen {
		b.Errored(origin)
	}
	if !b.Open(origin.Add(1)) {
		t.Error("consecutive errors left the breaker closed")
	}
}

// TestRejectingWorkerIsAvoidedBriefly checks that a worker that is full or changes its stage is
// avoided for a moment only and that its failure rate stays the same.
func TestRejectingWorkerIsAvoidedBriefly(t *testing.T) {
	var b Breaker
	b.Rejected(origin)
	if !b.Open(origin.Add(rejectedFor-1)) || b.Open(origin.Add(rejectedFor)) {
		t.Error("a rejecting worker is not avoided for rejectedFor")
	}
	for range 9 {
		b.Rejected(origin)
	}
	if !b.Open(origin.Add(openFor-1)) || b.Open(origin.Add(openFor)) {
		t.Error("consecutive rejections do not open the breaker for openFor")
	}
	if b.FailureRate(origin) != 0 {
		t.Error("a rejection counts as a failure")
	}
	b.Succeeded(origin.Add(openFor))
	b.Rejected(origin.Add(openFor))
	if b.Open(origin.Add(openFor + rejectedFor)) {
		t.Error("a success does not reset the backoff")
	}
}
