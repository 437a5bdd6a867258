// Package breaker implements a passive circuit breaker: it judges a worker by the outcomes of
// the requests sent to it and sends no probes. It is pure: time is an argument.
package breaker

import (
	"math"
	"time"
)

// Parameters of the breaker.
const (
	// openFor is how long a worker is avoided after a failure. It doubles with each further
	// consecutive failure.
	openFor = 1500 * time.Millisecond
	// errorsToOpen is the number of consecutive failures at which an error answer opens the
	// breaker.
	errorsToOpen = 3
	// rejectedFor is how long a worker is avoided after it has rejected a request. It doubles
	// with each further consecutive rejection.
	rejectedFor = 250 * time.Millisecond
	// maxOpen bounds the doubling after failures.
	maxOpen = 6 * time.Second
	// halfLife is the time in which the weight of an outcome in FailureRate halves.
	halfLife = 4 * time.Second
)

// Breaker holds what is remembered of one worker. The zero value is a worker about which
// nothing is known.
type Breaker struct {
	failures            float64
	total               float64
	updated             time.Time
	consecutiveFailures int
	// consecutiveRejections counts rejections since the last success.
	consecutiveRejections int
	openUntil             time.Time
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

// Succeeded records a request that the worker answered without an error.
func (b *Breaker) Succeeded(now time.Time) {
	b.decay(now)
	b.total++
	b.consecutiveFailures, b.consecutiveRejections = 0, 0
	if now.After(b.openUntil) {
		b.openUntil = time.Time{}
	}
}

// Failed records a request that the worker failed other than by an error answer, for example by
// a broken connection.
func (b *Breaker) Failed(now time.Time) {
	b.decay(now)
	b.total++
	b.failures++
	b.consecutiveFailures++
	pause := openFor << min(b.consecutiveFailures-1, 4)
	b.openUntil = now.Add(min(pause, maxOpen))
}

// Errored records a request that the worker answered with an error. The request itself may be
// the cause, so only several consecutive errors open the breaker.
func (b *Breaker) Errored(now time.Time) {
	b.decay(now)
	b.total++
	b.failures++
	b.consecutiveFailures++
	if b.consecutiveFailures >= errorsToOpen {
		b.openUntil = now.Add(openFor)
	}
}

// Rejected records a request that the worker provably did not run, because it is full or is
// changing its stage.
func (b *Breaker) Rejected(now time.Time) {
	pause := min(rejectedFor<<min(b.consecutiveRejections, 4), openFor)
	b.consecutiveRejections++
	if until := now.Add(pause); until.After(b.openUntil) {
		b.openUntil = until
	}
}

// ConsecutiveFailures returns the number of failures and errors since the last success.
func (b *Breaker) ConsecutiveFailures() int { return b.consecutiveFailures }

// Open reports whether the worker should be avoided.
func (b *Breaker) Open(now time.Time) bool { return now.Before(b.openUntil) }

// FailureRate estimates the share of requests that fail, between 0 and 1. While few outcomes
// are known the estimate is biased towards zero.
func (b *Breaker) FailureRate(now time.Time) float64 {
	if b.total == 0 {
		return 0
	}
	const assumedSuccesses = 2
	factor := math.Exp2(-float64(now.Sub(b.updated)) / float64(halfLife))
	return b.failures * factor / (b.total*factor + assumedSuccesses)
}
