package returns

import (
	"math"
	"slices"
	"time"
)

const (
	// busyQueue is the queue at which engines count as busy, as a fraction of the objective: a
	// request that waits for half of it shows that they serve as much as they can.
	busyQueue = 0.5
	// busyFor is how long after a refusal, or a request with a queue, the engines count as busy.
	// In a longer time without a request nothing is learned: the node may have been suspended.
	busyFor = time.Second
	// learnedFor is for how long the engines must have been busy until the rate is known.
	learnedFor = 500 * time.Millisecond
	// throughputMemory is the time constant, counted in busy time, of the learned throughput:
	// short enough to follow engines that are lost or change their stage within seconds.
	throughputMemory = 5 * time.Second
	// restShare is the expected rest of a time in which requests are refused, as a fraction of
	// what has passed of it: nothing tells how long a burst lasts, and most of those that have
	// lasted last about as long again.
	restShare = 0.5
	// throughputLife is how long after the last refusal the learned throughput is forgotten.
	throughputLife = time.Minute
	// refusedMemory is the time constant of the rate of refused requests: about as long as a
	// refused caller waits.
	refusedMemory = 2 * time.Second
)

// throughput learns how many tokens per second the engines serve for this node while they are
// busy, which is when requests are refused. It needs no count of engines or nodes.
type throughput struct {
	work, seconds float64
	last, busy    time.Time
	// begun is when the busy time began.
	begun time.Time
}

// pass counts the time since the last request if the engines were busy.
func (t *throughput) pass(now time.Time) bool {
	elapsed := now.Sub(t.last)
	if t.last.IsZero() || elapsed > 0 {
		t.last = now
	}
	if now.Sub(t.busy) > throughputLife {
		t.work, t.seconds = 0, 0
	}
	if now.Sub(t.busy) > busyFor || elapsed > busyFor {
		return false
	}
	kept := math.Exp(-max(elapsed.Seconds(), 0) / throughputMemory.Seconds())
	t.work, t.seconds = t.work*kept, t.seconds*kept+max(elapsed.Seconds(), 0)
	return true
}

func (t *throughput) served(work float64, queued bool, now time.Time) {
	if t.pass(now) {
		t.work += work
	}
	if queued {
		t.setBusy(now)
	}
}

func (t *throughput) refused(now time.Time) {
	t.pass(now)
	t.setBusy(now)
}

func (t *throughput) setBusy(now time.Time) {
	if now.Sub(t.busy) > busyFor {
		t.begun = now
	}
	t.busy = now
}

// rest is how much longer the engines are expected to be busy.
func (t *throughput) rest(now time.Time) time.Duration {
	return time.Duration(restShare * float64(now.Sub(t.begun)))
}

func (t *throughput) perSecond() (float64, bool) {
	if t.seconds < learnedFor.Seconds() || t.work <= 0 {
		return 0, false
	}
	return t.work / t.seconds, true
}

const (
	// slotsPerSecond is the number of slots in a second.
	slotsPerSecond = int64(time.Second / slotLength)
	// usualSeconds is the time over which the usual demand is observed, in seconds. Bursts that
	// last less than half of it don't change the median.
	usualSeconds = 16
	// longestGap is the number of seconds without a request that count as seconds without
	// demand. In a longer time the node may have been suspended.
	longestGap = 3
)

// arrivals learns how much work arrives for the first time in a usual second: the median of the
// last seconds, without the callers that were asked to return then.
type arrivals struct {
	second int64
	// now is the work of the current second, and past that of the last ones.
	now  float64
	past []float64
}

// advance moves to the second of a slot.
func (a *arrivals) advance(slot int64) {
	passed := slot/slotsPerSecond - a.second
	if passed > longestGap {
		passed = 1
	}
	for range passed {
		a.past = append(a.past, max(a.now, 0))
		a.past = a.past[max(len(a.past)-usualSeconds, 0):]
		a.now = 0
	}
	a.second = slot / slotsPerSecond
}

func (a *arrivals) add(work float64) { a.now += work }

// expect leaves out callers that were asked to return in the current second.
func (a *arrivals) expect(work float64) { a.now -= work }

// usual returns the usual work of a second, and false within the first second.
func (a *arrivals) usual() (float64, bool) {
	if len(a.past) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(a.past))
	return sorted[len(sorted)/2], true
}

// average is an exponentially weighted moving average of work per second.
type average struct {
	rate    float64
	updated time.Time
}

func (a *average) perSecond(now time.Time) float64 {
	if a.updated.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-max(now.Sub(a.updated).Seconds(), 0)/refusedMemory.Seconds())
}

func (a *average) add(work float64, now time.Time) {
	a.rate, a.updated = a.perSecond(now)+work/refusedMemory.Seconds(), now
}
