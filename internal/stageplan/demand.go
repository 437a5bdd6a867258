package stageplan

import (
	"math"
	"time"
)

// decayingPeak follows a figure upwards at once and downwards slowly: what was needed lately
// is needed again when the mix of requests swings back.
type decayingPeak struct {
	value    float64
	observed time.Time
}

// observe records a figure, and returns what is remembered of it.
func (p *decayingPeak) observe(now time.Time, sample float64, timeConstant time.Duration) float64 {
	if !p.observed.IsZero() {
		p.value *= math.Exp(-float64(now.Sub(p.observed)) / float64(timeConstant))
	}
	p.observed = now
	p.value = max(p.value, sample)
	return p.value
}

// movingMean is a moving mean.
type movingMean struct {
	value    float64
	observed time.Time
}

// observe records a figure, and returns the mean. The mean of one figure is the figure.
func (s *movingMean) observe(now time.Time, sample float64, span time.Duration) float64 {
	if s.observed.IsZero() {
		s.value = sample
	}
	elapsed := now.Sub(s.observed)
	s.observed = now
	s.value += (sample - s.value) * (1 - math.Exp(-float64(elapsed)/float64(span)))
	return s.value
}
