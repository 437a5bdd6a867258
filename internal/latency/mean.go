package latency

import "time"

// weight is that of a new measurement in a mean.
const weight = 0.15

// MovingMean is a moving mean of times. The zero value has seen nothing.
type MovingMean struct {
	milliseconds float64
	samples      int
}

// Observe records a time.
func (m *MovingMean) Observe(elapsed time.Duration) {
	m.samples++
	share := max(weight, 1/float64(m.samples))
	m.milliseconds += (float64(elapsed)/float64(time.Millisecond) - m.milliseconds) * share
}

// Milliseconds returns the mean, or assumed where nothing was seen.
func (m *MovingMean) Milliseconds(assumed float64) float64 {
	if m.samples == 0 {
		return assumed
	}
	return m.milliseconds
}

// Slowdown is by how much one engine is slower than its group. The zero value is an
// engine of which nothing is known.
type Slowdown struct {
	deviation float64
	samples   int
}

// slowest and fastest bound a single measurement.
const slowest, fastest = 8, 0.25

// Value returns the factor, 1 where nothing is known.
func (f *Slowdown) Value() float64 { return 1 + f.deviation }

// Observe records a reading of the engine, which its group predicts by a model.
func (f *Slowdown) Observe(reading Reading, group *Model) {
	least, most := group.bounds(reading, group.Throughput()/f.Value())
	predicted := group.Coefficients().Milliseconds(reading.Tokens, reading.Context)
	if predicted <= 0 {
		return
	}
	f.samples++
	allowed := min(max(f.Value(), least/predicted), most/predicted)
	allowed = min(max(allowed, fastest), slowest)
	f.deviation += (allowed - 1 - f.deviation) * weight
}

// NeededShare is which part of an expected time is really needed. The zero value has seen
// nothing.
type NeededShare struct {
	needed, expected float64
	samples          int
}

// Observe records a time that was needed where another was expected, both in
// milliseconds.
func (s *NeededShare) Observe(needed, expected float64) {
	s.samples++
	s.needed += (min(max(needed, 0), mostNeeded*expected) - s.needed) * weight
	s.expected += (expected - s.expected) * weight
}

// mostNeeded bounds a single measurement, as a multiple of what was expected.
const mostNeeded = 3

// Value returns the share, 1 where little was seen.
func (s *NeededShare) Value() float64 {
	const fewSamples = 8
	if s.samples < fewSamples || s.expected <= 0 {
		return 1
	}
	return s.needed / s.expected
}

// MovingRatio is the ratio of two sums of which the newest terms weigh most. The zero value
// has seen nothing.
type MovingRatio struct {
	numerator, denominator float64
	samples                int
}

// Observe records a term of each sum.
func (r *MovingRatio) Observe(numerator, denominator float64) {
	r.samples++
	share := max(weight, 1/float64(r.samples))
	r.numerator += (numerator - r.numerator) * share
	r.denominator += (denominator - r.denominator) * share
}

// Value returns the ratio, 0 where nothing was seen.
func (r *MovingRatio) Value() float64 {
	if r.denominator <= 0 {
		return 0
	}
	return r.numerator / r.denominator
}
