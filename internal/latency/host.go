package latency

import (
	"math"
	"slices"
	"time"
)

const (
	// hostLoadLasts is the time after which a statement of a host's slowdown has lost all but
	// 1/e of its weight against the mean: about as long as the load of neighbours lasts.
	hostLoadLasts = 500 * time.Millisecond
	// hostSpan is the time within which statements count as one sample, so that a worker with
	// many requests doesn't fill its samples during one period of load.
	hostSpan = 300 * time.Millisecond
	// maxHostSamples is the number of samples kept. At one in hostSpan they reach back 5 s,
	// several times as long as the load of neighbours lasts.
	maxHostSamples = 16
	// usualQuantile is the quantile of the samples that counts as usual. It leaves out single
	// statements that are too low, and holds while neighbours load the host for up to three
	// quarters of the time.
	usualQuantile = 0.25
)

// Host estimates the factor by which work takes longer on a worker's host, from what the worker
// states. The factor has a lasting part, the hardware, and one that changes, the load of
// neighbours. The zero value has no statements.
type Host struct {
	samples []hostSample
	next    int
	last    float64
	lastAt  time.Time
}

// hostSample sums up the statements of one hostSpan.
type hostSample struct {
	begun           time.Time
	lowest, highest float64
	sum             float64
	count           int
}

func (s *hostSample) add(factor float64) {
	s.lowest, s.highest = min(s.lowest, factor), max(s.highest, factor)
	s.sum += factor
	s.count++
}

func (s *hostSample) mean() float64 { return min(max(s.sum/float64(s.count), s.lowest), s.highest) }

// Observe records a statement. It ignores those that are no positive number, and those older
// than the last one. It reports whether the statement was recorded.
func (h *Host) Observe(factor float64, at time.Time) bool {
	if !(factor > 0) || math.IsInf(factor, 0) || at.Before(h.lastAt) {
		return false
	}
	h.last, h.lastAt = factor, at
	if newest := h.newest(); newest != nil && at.Sub(newest.begun) < hostSpan {
		newest.add(factor)
		return true
	}
	sample := hostSample{begun: at, lowest: factor, highest: factor, sum: factor, count: 1}
	if len(h.samples) < maxHostSamples {
		h.samples = append(h.samples, sample)
	} else {
		h.samples[h.next] = sample
		h.next = (h.next + 1) % maxHostSamples
	}
	return true
}

func (h *Host) newest() *hostSample {
	if len(h.samples) == 0 {
		return nil
	}
	return &h.samples[(h.next+len(h.samples)-1)%len(h.samples)]
}

// Known reports whether there is any statement.
func (h *Host) Known() bool { return len(h.samples) > 0 }

// LastAt returns when the last statement was made, zero if there is none.
func (h *Host) LastAt() time.Time { return h.lastAt }

// Last returns the factor that was stated last, zero if there is none.
func (h *Host) Last() float64 { return h.last }

// Usual returns the factor while neighbours don't load the host, zero if nothing is known.
func (h *Host) Usual() float64 {
	if !h.Known() {
		return 0
	}
	var kept [maxHostSamples]float64
	lowest := kept[:0]
	for _, sample := range h.samples {
		lowest = append(lowest, sample.lowest)
	}
	slices.Sort(lowest)
	return lowest[int(usualQuantile*float64(len(lowest)-1))]
}

// Mean returns the factor on the average, zero if nothing is known.
func (h *Host) Mean() float64 {
	if !h.Known() {
		return 0
	}
	sum, lowest, highest := 0.0, math.Inf(1), 0.0
	for i := range h.samples {
		mean := h.samples[i].mean()
		sum += mean
		lowest, highest = min(lowest, mean), max(highest, mean)
	}
	return min(max(sum/float64(len(h.samples)), lowest), highest)
}

// Expected returns the factor expected at a time, zero if nothing is known. It is the last
// statement at first and approaches the mean from there.
func (h *Host) Expected(now time.Time) float64 { return h.Factor(now).Present }

// Factor returns the estimate as of a time, the zero Factor if nothing is known.
func (h *Host) Factor(now time.Time) Factor {
	if !h.Known() {
		return Factor{}
	}
	age := max(now.Sub(h.lastAt), 0)
	mean := h.Mean()
	return Factor{
		Present: interpolate(h.last, mean, lossOf(age)), Usual: h.Usual(), Mean: mean, Age: age,
	}
}

// lossOf returns the share of its weight that a statement has lost after a time.
func lossOf(age time.Duration) float64 { return -math.Expm1(-float64(age) / float64(hostLoadLasts)) }

// interpolate goes a share of the way between two values, and never past either.
func interpolate(from, to, share float64) float64 {
	return min(max(from+(to-from)*share, min(from, to)), max(from, to))
}

// Factor is what is expected of a worker's host: by which factor work takes longer there than
// on one that is as fast as usual. The zero value means that nobody states it, and all work
// takes as long as usual.
type Factor struct {
	// Present is the factor expected now, Usual that without load of neighbours, zero if it
	// isn't known, and Mean that on the average.
	Present, Usual, Mean float64
	// Fleet is the mean factor of the service's workers.
	Fleet float64
	// Age is the time since the last statement.
	Age time.Duration
}

// Stated reports whether there is an estimate.
func (f Factor) Stated() bool { return f.Present > 0 }

// Average returns the factor to be expected over a long time, 1 if there is no estimate.
func (f Factor) Average() float64 {
	if !f.Stated() {
		return 1
	}
	return f.Mean
}

// Of returns how long work takes that begins now and takes the given time on a host that is as
// fast as usual, both in milliseconds.
func (f Factor) Of(usual float64) float64 {
	if !f.Stated() || usual <= 0 {
		return usual
	}
	return usual * f.over(usual*f.Present)
}

// Relative returns how much longer work of the given time takes, that begins now, than it does
// on the average of the service's workers.
func (f Factor) Relative(usual float64) float64 {
	if !f.Stated() || f.Fleet <= 0 {
		return 1
	}
	return f.over(usual*f.Present) / f.Fleet
}

// over returns the mean factor expected for the next span, in milliseconds.
func (f Factor) over(span float64) float64 {
	spans := span / (float64(hostLoadLasts) / float64(time.Millisecond))
	if spans <= 0 {
		return f.Present
	}
	presentShare := -math.Expm1(-spans) / spans
	return interpolate(f.Mean, f.Present, presentShare)
}

// Fleet sums up the hosts of workers that are alike.
type Fleet struct {
	count        int
	sum, squares float64
}

// Add adds a host, unless nothing is known of it.
func (f *Fleet) Add(host *Host) {
	if !host.Known() {
		return
	}
	mean := host.Mean()
	f.count++
	f.sum += mean
	f.squares += mean * mean
}

// Mean returns the mean factor of the hosts, 1 if there are none.
func (f Fleet) Mean() float64 {
	if f.count == 0 {
		return 1
	}
	return f.sum / float64(f.count)
}

// Unknown returns the estimate for a host without statements: the mean of the others and their
// standard deviation, since it may be one of the slow ones.
func (f Fleet) Unknown() Factor {
	mean, spread := f.Mean(), 0.0
	if f.count > 0 {
		spread = math.Sqrt(max(f.squares/float64(f.count)-mean*mean, 0))
	}
	return Factor{Present: mean + spread, Mean: mean + spread, Fleet: mean}
}
