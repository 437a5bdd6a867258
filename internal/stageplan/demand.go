package stageplan

import (
	"math"
	"time"
)

// peak follows a figure upwards at once and downwards slowly: what was needed lately
// is needed again when the mix of requests swings back.
type peak struct {
	value    float64
	observed time.Time
}

// observe records a figure, and returns what is remembered of it.
func (p *peak) observe(now time.Time, figure float64, memory time.Duration) float64 {
	if !p.observed.IsZero() {
		p.value *= math.Exp(-float64(now.Sub(p.observed)) / float64(memory))
	}
	p.observed = now
	p.value = max(p.value, figure)
	return p.value
}

// smooth is a moving mean.
type smooth struct {
	value    float64
	observed time.Time
}

// observe records a figure, and returns the mean. The mean of one figure is the figure.
func (s *smooth) observe(now time.Time, figure float64, over time.Duration) float64 {
	if s.observed.IsZero() {
		s.value = figure
	}
	elapsed := now.Sub(s.observed)
	s.observed = now
	s.value += (figure - s.value) * (1 - math.Exp(-float64(elapsed)/float64(over)))
	return s.value
}
