// Package pace learns how fast workers read prompts, from the times that they
// took. It is pure.
package pace

import "time"

// The figures of the estimate.
const (
	// initialTokensPerMillisecond holds until anything was measured.
	initialTokensPerMillisecond = 30
	// fixedCost is the part of a reading that does not depend on its length.
	fixedCost = 25 * time.Millisecond
	// weight of a new measurement in the mean.
	weight = 0.15
	// minTokens is the shortest reading that tells anything about the pace.
	minTokens = 1000
	// lowest and highest bound a single measurement.
	lowest, highest = 1, 1000
)

// Reader is the learned pace of one worker, or of a group of them.
type Reader struct {
	tokensPerMillisecond float64
	samples              int
}

// TokensPerMillisecond returns the estimate.
func (r *Reader) TokensPerMillisecond() float64 {
	if r.samples == 0 {
		return initialTokensPerMillisecond
	}
	return r.tokensPerMillisecond
}

// Assume takes over an estimate that was learned elsewhere, where nothing was
// measured here yet.
func (r *Reader) Assume(tokensPerMillisecond float64) {
	if r.samples == 0 && tokensPerMillisecond > 0 {
		r.samples = 1
		r.tokensPerMillisecond = min(max(tokensPerMillisecond, lowest), highest)
	}
}

// Samples returns the number of measurements.
func (r *Reader) Samples() int { return r.samples }

// Observe records that tokens, those that waited ahead included, took elapsed.
func (r *Reader) Observe(tokens int, elapsed time.Duration) {
	if tokens < minTokens {
		return
	}
	reading := max(elapsed-fixedCost, time.Millisecond)
	measured := float64(tokens) / (float64(reading) / float64(time.Millisecond))
	measured = min(max(measured, lowest), highest)
	r.samples++
	share := max(weight, 1/float64(r.samples))
	r.tokensPerMillisecond += (measured - r.tokensPerMillisecond) * share
}

// Time predicts how long reading tokens takes, the fixed cost included.
func (r *Reader) Time(tokens int) time.Duration {
	if tokens <= 0 {
		return fixedCost
	}
	return fixedCost + time.Duration(float64(tokens)/r.TokensPerMillisecond()*float64(time.Millisecond))
}
