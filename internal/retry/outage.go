package retry

import "time"

// Outage predicts when a service that no worker serves will be available again, from how long
// it was unavailable before. Callers are told to retry then. The zero value has seen no outage.
// It is pure: time is an argument.
type Outage struct {
	// begun and last are when the first and the last call failed since one succeeded, zero if
	// none has failed since.
	begun, last time.Time
	// usual is a moving mean of the durations of past outages, zero if there was none.
	usual time.Duration
}

const (
	// usualShare is the weight of the newest outage in usual.
	usualShare = 0.5
	// longerShare is the expected rest of an outage that has lasted longer than usual, as a
	// fraction of the time since it began.
	longerShare = 0.5
	// shortestOutage is how long calls must keep failing, without a success between them, to
	// count as an outage.
	shortestOutage = 300 * time.Millisecond
	// outageGap is the time without a call after which a failure begins a new outage.
	outageGap = 5 * time.Second
	// longestExpected bounds the time that callers are told.
	longestExpected = 8 * time.Second
)

// Failed records a call that no worker ran.
func (o *Outage) Failed(now time.Time) {
	if o.begun.IsZero() || now.Sub(o.last) > outageGap {
		o.begun = now
	}
	o.last = now
}

// Served records a call that a worker ran.
func (o *Outage) Served(now time.Time) {
	if o.begun.IsZero() {
		return
	}
	lasted := now.Sub(o.begun)
	switch {
	case now.Sub(o.last) > outageGap || lasted < shortestOutage:
	case o.usual == 0:
		o.usual = lasted
	default:
		o.usual += time.Duration(usualShare * float64(lasted-o.usual))
	}
	o.begun, o.last = time.Time{}, time.Time{}
}

// ExpectedRemaining is how much longer the service is expected to be unavailable, zero if no
// outage is under way.
func (o *Outage) ExpectedRemaining(now time.Time) time.Duration {
	if o.begun.IsZero() {
		return 0
	}
	elapsed := now.Sub(o.begun)
	if elapsed < shortestOutage {
		return 0
	}
	left := max(o.usual-elapsed, time.Duration(longerShare*float64(elapsed)))
	return min(left, longestExpected)
}
