package latency

import "time"

// Handover learns the time from sending a request whose prompt another engine has prefilled to
// the first byte of its answer. A part of it is work of the engine and takes longer on a slow
// host; the other is the transfer of the KV cache, which grows with the prompt and doesn't
// depend on the host. The zero value has no samples.
type Handover struct {
	// The sums are of products of the slowdown s, thousands of tokens t and milliseconds y,
	// each weighted by age.
	ss, st, tt, sy, ty float64
	samples            int
}

const (
	// handoverKept is the weight that earlier samples keep with each new one: the last 30 or so
	// count.
	handoverKept = 0.97
	// minHandoverSamples is the number of samples from which both parts are told apart.
	minHandoverSamples = 8
)

// Observe records a measured time of a prompt of so many tokens. slowdown is that of the host,
// zero if it isn't known.
func (h *Handover) Observe(elapsed time.Duration, tokens int, slowdown float64) {
	s, t := Reading{Slowdown: slowdown}.slowdown(), float64(tokens)/thousand
	y := float64(elapsed) / float64(time.Millisecond)
	h.samples++
	for _, sum := range []struct {
		of    *float64
		value float64
	}{{&h.ss, s * s}, {&h.st, s * t}, {&h.tt, t * t}, {&h.sy, s * y}, {&h.ty, t * y}} {
		*sum.of = *sum.of*handoverKept + sum.value
	}
}

// Milliseconds returns the time that depends on the host and the time of each prompt token. It
// reports false while there are too few samples to tell.
func (h *Handover) Milliseconds() (work, perToken float64, known bool) {
	determinant := h.ss*h.tt - h.st*h.st
	if h.samples < minHandoverSamples || determinant <= 1e-9*h.ss*h.tt {
		return 0, 0, false
	}
	work, perToken = (h.sy*h.tt-h.ty*h.st)/determinant, (h.ty*h.ss-h.sy*h.st)/determinant
	switch {
	case work < 0:
		work, perToken = 0, h.ty/h.tt
	case perToken < 0:
		work, perToken = h.sy/h.ss, 0
	}
	return work, perToken / thousand, true
}
