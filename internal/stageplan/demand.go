package stageplan

import (
	"math"
	"time"
)

// decayingPeak follows increases at once and decays exponentially: the mix of requests swings,
// so recently needed capacity is likely to be needed again.
type decayingPeak struct {
	value    float64
	observed time.Time
}

// observe records a value and returns the decayed maximum. timeConstant is the time constant of
// the decay.
func (p *decayingPeak) observe(now time.Time, sample float64, timeConstant time.Duration) float64 {
	if !p.observed.IsZero() {
		p.value *= math.Exp(-float64(now.Sub(p.observed)) / float64(timeConstant))
	}
	p.observed = now
	p.value = max(p.value, sample)
	return p.value
}

// movingMean is an exponentially weighted moving average.
type movingMean struct {
	value    float64
	observed time.Time
}

// observe records a value and returns the average over roughly the last span. The first value
// is its own average.
func (s *movingMean) observe(now time.Time, sample float64, span time.Duration) float64 {
	if s.observed.IsZero() {
		s.value = sample
	}
	elapsed := now.Sub(s.observed)
	s.observed = now
	s.value += (sample - s.value) * (1 - math.Exp(-float64(elapsed)/float64(span)))
	return s.value
}
