// Package breaker judges a worker by the outcomes of the requests that it was
// sent: a passive circuit breaker without probes. It is pure: time is an argument.
package breaker

import (
	"math"
	"time"
)

// The figures of the breaker.
const (
	// openFor is how long a worker is avoided after one failure; it doubles with
	// each further failure in a row.
	openFor = 1500 * time.Millisecond
	// errorsInRow is how many failures of requests' own open the breaker.
	errorsInRow = 3
	// rejectedFor is how long a worker is avoided after it has rejected a request; it
	// doubles with each further rejection in a row.
	rejectedFor = 250 * time.Millisecond
	// maxOpen bounds the doubling.
	maxOpen = 6 * time.Second
	// halfLife is how fast old outcomes lose weight.
	halfLife = 4 * time.Second
)

// Breaker is what is remembered of one worker. The zero value is a worker that
// nothing is known of.
type Breaker struct {
	failures float64
	total    float64
	updated  time.Time
	inRow    int
	// rejectedInRow counts rejections since the last success.
	rejectedInRow int
	open          time.Time
}

func (b *Breaker) decay(now time.Time) {
	if !b.updated.IsZero() {
		age := now.Sub(b.updated)
		factor := math.Exp2(-float64(age) / float64(halfLife))
		b.failures *= factor
		b.total *= factor
	}
	b.updated = now
}

// Succeeded records a request that the worker answered as it should.
func (b *Breaker) Succeeded(now time.Time) {
	b.decay(now)
	b.total++
	b.inRow, b.rejectedInRow = 0, 0
	if now.After(b.open) {
		b.open = time.Time{}
	}
}

// Failed records a request that the worker failed.
func (b *Breaker) Failed(now time.Time) {
	b.decay(now)
	b.total++
	b.failures++
	b.inRow++
	pause := openFor << min(b.inRow-1, 4)
	b.open = now.Add(min(pause, maxOpen))
}

// Errored records a request that the worker answered with a failure of its own. That
// may be due to the request: only a row of them opens the breaker.
func (b *Breaker) Errored(now time.Time) {
	b.decay(now)
	b.total++
	b.failures++
	b.inRow++
	if b.inRow >= errorsInRow {
		b.open = now.Add(openFor)
	}
}

// Rejected records a request that the worker proved not to have run: it is full, or
// carries out an order.
func (b *Breaker) Rejected(now time.Time) {
	pause := min(rejectedFor<<min(b.rejectedInRow, 4), openFor)
	b.rejectedInRow++
	if until := now.Add(pause); until.After(b.open) {
		b.open = until
	}
}

// ConsecutiveFailures returns the number of failures since the last success.
func (b *Breaker) ConsecutiveFailures() int { return b.inRow }

// Open reports whether the worker should be avoided.
func (b *Breaker) Open(now time.Time) bool { return now.Before(b.open) }

// FailureRate estimates the share of requests that fail, between 0 and 1. It
// leans to zero while little is known.
func (b *Breaker) FailureRate(now time.Time) float64 {
	if b.total == 0 {
		return 0
	}
	const assumedSuccesses = 2
	factor := math.Exp2(-float64(now.Sub(b.updated)) / float64(halfLife))
	return b.failures * factor / (b.total*factor + assumedSuccesses)
}
