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

// Observe records that a prompt of own tokens was read in the time elapsed, with
// ahead tokens of others placed before it. How many of these were really read in
// that time isn't known: engines read several prompts by turns, and some of those
// ahead were nearly done. So the worker read at least own and at most own + ahead
// tokens, and the estimate moves only towards the paces that this allows.
func (r *Reader) Observe(own, ahead int, elapsed time.Duration) {
	if own < minTokens {
		return
	}
	least, most := paceOf(own, elapsed), paceOf(own+ahead, elapsed)
	r.samples++
	if r.samples == 1 {
		r.tokensPerMillisecond = min(max(initialTokensPerMillisecond, least), most)
		return
	}
	allowed := min(max(r.tokensPerMillisecond, least), most)
	share := max(weight, 1/float64(r.samples))
	r.tokensPerMillisecond += (allowed - r.tokensPerMillisecond) * share
}

func paceOf(tokens int, elapsed time.Duration) float64 {
	reading := max(elapsed-fixedCost, time.Millisecond)
	measured := float64(tokens) / (float64(reading) / float64(time.Millisecond))
	return min(max(measured, lowest), highest)
}

// Time predicts how long reading tokens takes, the fixed cost included.
func (r *Reader) Time(tokens int) time.Duration {
	if tokens <= 0 {
		return fixedCost
	}
	return fixedCost + time.Duration(float64(tokens)/r.TokensPerMillisecond()*float64(time.Millisecond))
}
