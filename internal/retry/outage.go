package retry

import "time"

// Outage tells callers of a service that no worker runs when to come back: when the service is
// expected to be back, by how long it was away before. The zero value has seen no outage. It is
// pure: time is an argument.
type Outage struct {
	// begun and last are when the first and the last call failed since a worker ran one, zero
	// where none has.
	begun, last time.Time
	// usual is how long the service was away lately, zero where it never was.
	usual time.Duration
}

const (
	// usualShare is the share of the newest outage in what is usual.
	usualShare = 0.5
	// longerShare is the share of the time since an outage began for which it is expected to
	// last longer, once it has lasted as long as usual.
	longerShare = 0.5
	// shortestOutage is from when on failures without a success between them are an outage.
	shortestOutage = 300 * time.Millisecond
	// outageGap is the time without a call after which a failure begins another outage.
	outageGap = 5 * time.Second
	// longestExpected bounds what callers are told.
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

// ExpectedRemaining is for how much longer the service is expected to be away, zero where it isn't.
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
