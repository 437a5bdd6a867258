package retry

import "time"

// Outage predicts when a service that no worker serves will be available again, from how long
// it was unavailable before. Callers are told to retry then. The zero value has seen no outage.
// It is pure: time is an argument.
type Outage struct {
	// begun and last are when the first and the last call failed since one succeeded, zero if
	// none has failed since.
	begun, last time.Time
	// usualDuration is a moving mean of the durations of past outages, zero if there was none.
	usualDuration time.Duration
}

const (
	// newestWeight is the weight of the newest outage in usualDuration.
	newestWeight = 0.5
	// overdueShare is the expected rest of an outage that has lasted longer than usual, as a
	// fraction of the time since it began.
	overdueShare = 0.5
	// shortestOutage is how long calls must keep failing, without a success between them, to
	// count as an outage.
	shortestOutage = 300 * time.Millisecond
	// outageGap is the time without a call after which a failure begins a new outage.
	outageGap = 5 * time.Second
	// maxExpected bounds the time that callers are told.
	maxExpected = 8 * time.Second
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
	case o.usualDuration == 0:
		o.usualDuration = lasted
	default:
		o.usualDuration += time.Duration(newestWeight * float64(lasted-o.usualDuration))
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
	left := max(o.usualDuration-elapsed, time.Duration(overdueShare*float64(elapsed)))
	return min(left, maxExpected)
}
