package dispatch

import "time"

// turnRatePeriod is the period over which the turns that this node is granted are counted. Two of
// them are less than the time after which a change of the callers' load must show.
const turnRatePeriod = time.Second

// turnRate is the rate at which this node is granted turns at the workers of a service. The zero
// value has granted none.
type turnRate struct {
	began             time.Time
	current, previous int
}

// granted counts a turn.
func (r *turnRate) granted(now time.Time) {
	r.rotate(now)
	r.current++
}

// perSecond returns the rate over the last full period, or the current one if that is higher.
func (r *turnRate) perSecond(now time.Time) float64 {
	r.rotate(now)
	return float64(max(r.previous, r.current)) / turnRatePeriod.Seconds()
}

func (r *turnRate) rotate(now time.Time) {
	elapsed := now.Sub(r.began)
	if elapsed < turnRatePeriod {
		return
	}
	r.previous = r.current
	if elapsed >= 2*turnRatePeriod {
		r.previous = 0
	}
	r.began, r.current = now, 0
}
