// Package latency learns how long engines take to prefill prompts, from measured times. It is
// pure: it does no I/O and reads no clock. In names, a reading is a measured prefill.
package latency

import (
	"math"
	"time"
)

// Parameters of the estimate. Only the guess describes an engine; it is used until a prefill
// was measured.
const (
	// guessFixed, guessPerThousand and guessPerMillion are the coefficients assumed at first,
	// in milliseconds.
	guessFixed       = 10
	guessPerThousand = 20
	guessPerMillion  = 0
	// maxReadings is the number of readings to which a model is fitted.
	maxReadings = 64
	// refitEvery is the number of new readings after which a model is fitted again. The first
	// refitEvery readings are each followed by a fit.
	refitEvery = 4
	// priorWeight is the weight in a fit of the previous coefficients, which are the guess at
	// first: they count like this number of readings.
	priorWeight = 2
	// overrunWeight is the weight of a reading that took longer than predicted, relative to one
	// that took less: prefills for other nodes that are not known here make readings longer.
	overrunWeight = 0.15
	// fitIterations is the number of iterations of a fit.
	fitIterations = 4
	// minThroughput is the least throughput assumed, in tokens per millisecond. It keeps
	// predictions finite.
	minThroughput = 0.1
)

// Reading is one measured prefill.
type Reading struct {
	// Tokens were prefilled after Context tokens that were cached.
	Tokens, Context int
	// Ahead counts the tokens of others that were queued before. How many of these were really
	// prefilled during Elapsed is unknown: engines alternate between prompts, and some of these
	// were nearly done.
	Ahead   int
	Elapsed time.Duration
	// Slowdown is the factor by which work took longer on the worker's host, zero if it isn't
	// known. A Model predicts the time on a host that is as fast as usual.
	Slowdown float64
}

// slowdown returns the reading's Slowdown, 1 if it isn't known.
func (r Reading) slowdown() float64 {
	if r.Slowdown <= 0 {
		return 1
	}
	return r.Slowdown
}

// Predicted returns the time of the reading under coefficients, in milliseconds, without the
// queue ahead. The fixed part doesn't depend on the host.
func (r Reading) Predicted(c Coefficients) float64 {
	return c.Fixed + r.slowdown()*c.VariableMilliseconds(r.Tokens, r.Context)
}

// AheadMilliseconds returns the time to prefill the tokens ahead at a throughput in tokens per
// millisecond, on the reading's host.
func (r Reading) AheadMilliseconds(throughput float64) float64 {
	return r.slowdown() * float64(r.Ahead) / throughput
}

func (r Reading) milliseconds() float64 { return float64(r.Elapsed) / float64(time.Millisecond) }

// Model predicts the prefill time of a group of engines that are alike. The zero value has no
// readings.
type Model struct {
	fitted   Coefficients
	known    bool
	readings []Reading
	next     int
	samples  int
	// throughput is the mean throughput of the remembered readings, zero if there are none.
	throughput float64
}

// Coefficients returns the current estimate.
func (m *Model) Coefficients() Coefficients {
	if !m.known {
		return guess
	}
	return m.fitted
}

// Samples returns the number of readings that were observed.
func (m *Model) Samples() int { return m.samples }

// Throughput returns the mean rate at which prompts such as those observed are prefilled, not
// counting the fixed part, in tokens per millisecond.
func (m *Model) Throughput() float64 {
	if m.throughput > 0 {
		return m.throughput
	}
	return max(thousand/m.Coefficients().PerThousand, minThroughput)
}

// AssumeSlower scales the first guess to an engine that is slower by a factor.
func (m *Model) AssumeSlower(by float64) {
	if !m.known {
		m.fitted, m.known = guess.Scaled(by), true
	}
}

// Assume adopts what another node has learned, unless this model has readings of its own.
func (m *Model) Assume(learned Coefficients, throughput float64) {
	if m.samples == 0 && learned.valid() && throughput >= minThroughput {
		m.fitted, m.known, m.throughput = learned, true, throughput
	}
}

// Observe records a reading.
func (m *Model) Observe(reading Reading) {
	if reading.Tokens <= 0 || reading.Elapsed <= 0 {
		return
	}
	m.samples++
	if len(m.readings) < maxReadings {
		m.readings = append(m.readings, reading)
	} else {
		m.readings[m.next] = reading
		m.next = (m.next + 1) % maxReadings
	}
	if m.samples <= refitEvery || m.samples%refitEvery == 0 {
		m.fit()
	}
}

// bounds returns the least and the most time that the prefill itself can have taken, without
// the queue ahead of it.
func (m *Model) bounds(reading Reading, throughput float64) (least, most float64) {
	most = reading.milliseconds()
	return max(most-reading.AheadMilliseconds(throughput), 0), most
}

// fit estimates the coefficients by asymmetric least squares (expectiles: Newey and Powell,
// 1987). Only bounds of the time that a prefill itself took are known, and a time above the
// prediction weighs less than one below it.
func (m *Model) fit() {
	base := guess
	if m.known {
		base = m.fitted
	}
	base = base.Scaled(m.scale(base))
	current := base
	for range fitIterations {
		current = m.reweightedFit(base, current)
	}
	if !current.valid() {
		return
	}
	m.fitted, m.known = current, true
	m.throughput = m.throughputOf(current)
}

// scale returns how much longer the readings take than the coefficients predict, judged by the
// fastest of them. It is 1 once there were more than priorWeight*refitEvery readings, which
// count as enough to tell the coefficients apart.
func (m *Model) scale(coefficients Coefficients) float64 {
	if m.samples > priorWeight*refitEvery {
		return 1
	}
	scale, throughput := math.Inf(1), m.throughputOf(coefficients)
	for _, reading := range m.readings {
		_, most := m.bounds(reading, throughput)
		scale = min(scale, most/reading.Predicted(coefficients))
	}
	return scale
}

// throughputOf returns the mean throughput of the readings under given coefficients.
func (m *Model) throughputOf(coefficients Coefficients) float64 {
	tokens, own := 0.0, 0.0
	for _, reading := range m.readings {
		tokens += float64(reading.Tokens)
		own += coefficients.VariableMilliseconds(reading.Tokens, reading.Context)
	}
	return max(tokens/max(own, 1e-3), minThroughput)
}

// reweightedFit solves one weighted least-squares problem with the weights that current
// implies, in which base counts as some readings of its own.
func (m *Model) reweightedFit(base, current Coefficients) Coefficients {
	var normal system
	throughput := m.throughputOf(current)
	scale := 0.0
	for _, reading := range m.readings {
		predicted := reading.Predicted(current)
		least, most := m.bounds(reading, throughput)
		target, weight := min(max(predicted, least), most), 1.0
		if target > predicted {
			weight = overrunWeight
		}
		weight /= max(predicted, 1) // errors grow with the time
		normal.add(reading.regressors(), target, weight)
		scale += weight
	}
	scale *= priorWeight / float64(len(m.readings))
	for i, term := range []float64{base.Fixed, base.PerThousand, base.PerMillion} {
		normal.addPrior(i, term, scale)
	}
	solved := normal.solvePositive()
	return Coefficients{Fixed: solved[0], PerThousand: solved[1], PerMillion: solved[2]}
}
