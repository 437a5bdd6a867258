package latency

import "time"

// newSampleWeight is the weight of a new measurement in a moving mean.
const newSampleWeight = 0.15

// MovingMean is an exponentially weighted moving mean of durations. The zero value has no
// samples.
type MovingMean struct {
	milliseconds float64
	samples      int
}

// Observe records a duration.
func (m *MovingMean) Observe(elapsed time.Duration) {
	m.samples++
	share := max(newSampleWeight, 1/float64(m.samples))
	m.milliseconds += (float64(elapsed)/float64(time.Millisecond) - m.milliseconds) * share
}

// Milliseconds returns the mean, or the assumed value if there are no samples.
func (m *MovingMean) Milliseconds(assumed float64) float64 {
	if m.samples == 0 {
		return assumed
	}
	return m.milliseconds
}

// Slowdown is the factor by which an engine is slower than others of its group. The zero value
// is the factor 1, that of an engine without samples.
type Slowdown struct {
	deviation float64
	samples   int
}

// maxSlowdown and minSlowdown bound the factor that a single measurement can show.
const maxSlowdown, minSlowdown = 8, 0.25

// Value returns the factor, 1 if there are no samples.
func (f *Slowdown) Value() float64 { return 1 + f.deviation }

// Observe compares a measured prefill of the engine with what the model of its group predicts.
func (f *Slowdown) Observe(reading Reading, group *Model) {
	least, most := group.bounds(reading, group.Throughput()/f.Value())
	predicted := reading.Predicted(group.Coefficients())
	if predicted <= 0 {
		return
	}
	f.samples++
	allowed := min(max(f.Value(), least/predicted), most/predicted)
	allowed = min(max(allowed, minSlowdown), maxSlowdown)
	f.deviation += (allowed - 1 - f.deviation) * newSampleWeight
}

// NeededShare is the fraction of an expected time that turns out to be needed. The zero value
// has no samples.
type NeededShare struct {
	needed, expected float64
	samples          int
}

// Observe records the time that was needed and the time that was expected, both in
// milliseconds.
func (s *NeededShare) Observe(needed, expected float64) {
	s.samples++
	s.needed += (min(max(needed, 0), maxNeededRatio*expected) - s.needed) * newSampleWeight
	s.expected += (expected - s.expected) * newSampleWeight
}

// maxNeededRatio bounds the time needed in a single measurement, as a multiple of that
// expected.
const maxNeededRatio = 3

// Value returns the fraction, 1 if there are fewer than 8 samples.
func (s *NeededShare) Value() float64 {
	const fewSamples = 8
	if s.samples < fewSamples || s.expected <= 0 {
		return 1
	}
	return s.needed / s.expected
}

// MovingRatio is the ratio of two exponentially weighted moving means. The zero value has no
// samples.
type MovingRatio struct {
	numerator, denominator float64
	samples                int
}

// Observe records a sample of the numerator and one of the denominator.
func (r *MovingRatio) Observe(numerator, denominator float64) {
	r.samples++
	share := max(newSampleWeight, 1/float64(r.samples))
	r.numerator += (numerator - r.numerator) * share
	r.denominator += (denominator - r.denominator) * share
}

// Value returns the ratio, 0 if there are no samples.
func (r *MovingRatio) Value() float64 {
	if r.denominator <= 0 {
		return 0
	}
	return r.numerator / r.denominator
}
