// Package pace learns how long engines take to read prompts, from the times that
// they took. It is pure.
package latency

import (
	"math"
	"time"
)

// The figures of the estimate. None is a time or a pace of some engine but for the
// first guess, which holds until anything was measured.
const (
	// guessFixed, guessPerThousand and guessPerMillion are the first guess, in
	// milliseconds.
	guessFixed       = 10
	guessPerThousand = 20
	guessPerMillion  = 0
	// remembered is the number of readings that a model is fitted to.
	remembered = 64
	// refitEvery is the number of new readings after which it is fitted again, once
	// there are as many.
	refitEvery = 4
	// guessWeight is the number of readings that the guess weighs as much as.
	guessWeight = 2
	// excess is the weight of a reading that took longer than predicted, against one
	// that took less: readings of other nodes that are not known of make them longer.
	excess = 0.15
	// rounds bounds the repetitions of a fit.
	rounds = 4
	// lowestPace keeps predictions finite, in tokens a millisecond.
	lowestPace = 0.1
)

// Reading is one measurement.
type Reading struct {
	// Tokens were read after Context tokens that were kept.
	Tokens, Context int
	// Ahead counts tokens of others that were placed before it. How many of these were
	// really read in the time isn't known: engines read several prompts by turns, and
	// some were nearly done.
	Ahead   int
	Elapsed time.Duration
}

func (r Reading) milliseconds() float64 { return float64(r.Elapsed) / float64(time.Millisecond) }

// Model is the learned time of one group of engines. The zero value is a model that
// has seen nothing.
type Model struct {
	fitted   Coefficients
	known    bool
	readings []Reading
	next     int
	samples  int
	// pace is the mean pace of the readings remembered, zero before any.
	pace float64
}

// Coefficients returns the terms as they are estimated now.
func (m *Model) Coefficients() Coefficients {
	if !m.known {
		return guess
	}
	return m.fitted
}

// Samples returns the number of readings seen.
func (m *Model) Samples() int { return m.samples }

// Throughput is the mean pace at which prompts such as those seen are read, without the
// fixed part, in tokens a millisecond.
func (m *Model) Throughput() float64 {
	if m.pace > 0 {
		return m.pace
	}
	return max(thousand/m.Coefficients().PerThousand, lowestPace)
}

// AssumeSlower makes the first guess that of an engine which is slower by a factor.
func (m *Model) AssumeSlower(by float64) {
	if !m.known {
		m.fitted, m.known = guess.Scaled(by), true
	}
}

// Assume takes over what was learned elsewhere, where nothing was seen here yet.
func (m *Model) Assume(learned Coefficients, pace float64) {
	if m.samples == 0 && learned.valid() && pace >= lowestPace {
		m.fitted, m.known, m.pace = learned, true, pace
	}
}

// Observe records a reading.
func (m *Model) Observe(reading Reading) {
	if reading.Tokens <= 0 || reading.Elapsed <= 0 {
		return
	}
	m.samples++
	if len(m.readings) < remembered {
		m.readings = append(m.readings, reading)
	} else {
		m.readings[m.next] = reading
		m.next = (m.next + 1) % remembered
	}
	if m.samples <= refitEvery || m.samples%refitEvery == 0 {
		m.fit()
	}
}

// bounds returns the least and the most time that a reading alone can have taken.
func (m *Model) bounds(reading Reading, pace float64) (least, most float64) {
	most = reading.milliseconds()
	return max(most-float64(reading.Ahead)/pace, 0), most
}

// fit estimates the terms anew by asymmetric least squares (expectiles: Newey and
// Powell, 1987): of the time that a reading alone took only bounds are known, and what
// exceeds the prediction weighs less than what falls short of it.
func (m *Model) fit() {
	base := guess
	if m.known {
		base = m.fitted
	}
	base = base.Scaled(m.ratio(base))
	current := base
	for range rounds {
		current = m.step(base, current)
	}
	if !current.valid() {
		return
	}
	m.fitted, m.known = current, true
	m.pace = m.paceOf(current)
}

// ratio is by how much the readings take longer than terms predict, judged by the
// fastest of them. Once there are enough to tell the terms apart it is 1.
func (m *Model) ratio(terms Coefficients) float64 {
	if m.samples > guessWeight*refitEvery {
		return 1
	}
	ratio, pace := math.Inf(1), m.paceOf(terms)
	for _, reading := range m.readings {
		_, most := m.bounds(reading, pace)
		ratio = min(ratio, most/terms.Milliseconds(reading.Tokens, reading.Context))
	}
	return ratio
}

// paceOf is the mean pace of the readings under given terms.
func (m *Model) paceOf(terms Coefficients) float64 {
	tokens, own := 0.0, 0.0
	for _, reading := range m.readings {
		tokens += float64(reading.Tokens)
		own += terms.VariableMilliseconds(reading.Tokens, reading.Context)
	}
	return max(tokens/max(own, 1e-3), lowestPace)
}

// step solves the weighted least squares around current, with base as readings of
// its own.
func (m *Model) step(base, current Coefficients) Coefficients {
	var normal system
	pace := m.paceOf(current)
	scale := 0.0
	for _, reading := range m.readings {
		predicted := current.Milliseconds(reading.Tokens, reading.Context)
		least, most := m.bounds(reading, pace)
		target, weight := min(max(predicted, least), most), 1.0
		if target > predicted {
			weight = excess
		}
		weight /= max(predicted, 1) // errors grow with the time
		normal.add(terms(reading.Tokens, reading.Context), target, weight)
		scale += weight
	}
	scale *= guessWeight / float64(len(m.readings))
	for i, term := range []float64{base.Fixed, base.PerThousand, base.PerMillion} {
		normal.pull(i, term, scale)
	}
	solved := normal.solvePositive()
	return Coefficients{Fixed: solved[0], PerThousand: solved[1], PerMillion: solved[2]}
}
