package quota

import (
	"math"
	"net/netip"
	"time"
)

// The parts of Tolerance that a lack of reports may cost.
const (
	// coldPart is what a keeper that doesn't know the use before it began to keep an
	// account begins with: a fourth of the slack.
	coldStartDivisor = 4
	// coldKeepers is how many may begin together, and share that until they hear each other.
	coldStartKeepers = 3
	// floorPart bounds the debt that late reports leave: what was used out of a keeper's
	// hearing was granted by others within the limit, and isn't owed a second time.
	debtFloorDivisor = 4
)

// account is what is known of one tenant's use.
type account struct {
	limit   Limit
	version uint64
	// buckets are those of burstParts.
	buckets [len(burstFractions)]Bucket
	// born is from when on the use is known, and known when the account was made here.
	usageKnownSince, created time.Time
	// promised is the cost of refused requests that were told when to come back.
	promised Bucket
	spenders map[string]*spender
	// total is the recent use of all.
	total recentUse
	// used is when use was last heard of.
	lastUsed time.Time
	// reserved is the part of the limit that is kept for nodes out of hearing.
	reserved float64
	// alone tells that others may have begun to keep the account just as this keeper has.
	noOtherKeeper bool
}

// fill brings the account's levels to a time.
func (k *Keeper) refill(a *account, now time.Time) {
	for i := range a.buckets {
		rate, size := k.bucketRateAndSize(a, i)
		a.buckets[i].Fill(rate, size, now)
	}
}

// newAccount holds what is sure to be left: something at the time from which on all use
// was reported here, and what has come back since.
func (k *Keeper) newAccount(report Report, isKeeper bool, now time.Time) *account {
	usageKnownSince := now
	if isKeeper {
		usageKnownSince = k.reportsSince
	}
	made := &account{
		limit: report.Limit, version: report.Version, usageKnownSince: usageKnownSince, created: now, lastUsed: now,
		promised: NewBucket(0, now), spenders: make(map[string]*spender),
	}
	for i := range made.buckets {
		made.buckets[i] = NewBucket(k.coldStartLevel(report.Limit), usageKnownSince)
	}
	return made
}

func (k *Keeper) coldStartLevel(limit Limit) float64 {
	return min(limit.Burst, k.tolerance.Slack/coldStartDivisor)
}

// spender is what is known of one node's use of an account.
type spender struct {
	address    netip.AddrPort
	counters   Counters
	recent     recentUse
	lastReport time.Time
	// gone tells that the process has ended.
	stopped bool
	// stale tells that reports may have been missed, so that the next isn't charged.
	skipNextCharge bool
	// lostShare is its part of the recent use when it fell out of hearing, zero while it
	// is heard.
	shareWhenSilent float64
}

// merge charges the account with what a report tells beyond those before it.
func (k *Keeper) mergeReport(a *account, from Spender, report Report, now time.Time) *spender {
	s, known := a.spenders[from.Node]
	if !known {
		s = &spender{address: from.Address, skipNextCharge: !a.observesWholeUse(report, now)}
		s.counters.Taken = report.Before // what was used before the pause is long paid
		a.supersede(from)
		a.spenders[from.Node] = s
	}
	merged := s.counters.Merge(report.Counters)
	increase := merged.Net() - s.counters.Net()
	s.counters, s.lastReport, s.stopped = merged, now, false
	k.lastHeard[from.Node] = now
	if s.skipNextCharge {
		s.skipNextCharge = false
		return s
	}
	if increase != 0 {
		before := a.buckets
		k.charge(a, s, increase, now)
		// Turns that another keeper has given ahead are no debt of late reports: all are owed.
		floor := -k.tolerance.MaxExcess(a.limit)/debtFloorDivisor - a.limit.Rate*k.tolerance.Ahead.Seconds()
		for i := range a.buckets {
			a.buckets[i].level = max(a.buckets[i].level, min(before[i].level, floor))
		}
	}
	return s
}

// hearsAll reports whether all of the present use that a report tells was while this keeper
// knew the account. Else its counters are only what later ones are compared with.
func (a *account) observesWholeUse(report Report, now time.Time) bool {
	return report.Age < IdleTTL && !now.Add(-report.Age).Before(a.usageKnownSince)
}

// supersede marks the processes that had the address before as ended.
func (a *account) supersede(newer Spender) {
	for _, s := range a.spenders {
		if s.address == newer.Address {
			s.stopped = true
		}
	}
}

func (k *Keeper) charge(a *account, s *spender, amount float64, now time.Time) {
	for i := range a.buckets {
		a.buckets[i].Spend(amount)
	}
	a.total.add(amount, k.tolerance.Window, now)
	s.recent.add(amount, k.tolerance.Window, now)
	a.lastUsed = now
}

// recentUse is a use that decays with a window.
type recentUse struct {
	amount float64
	at     time.Time
}

func (r *recentUse) decay(window time.Duration, now time.Time) float64 {
	if elapsed := now.Sub(r.at); elapsed > 0 && window > 0 {
		r.amount *= math.Exp(-elapsed.Seconds() / window.Seconds())
		r.at = now
	}
	return r.amount
}

func (r *recentUse) add(amount float64, window time.Duration, now time.Time) {
	r.decay(window, now)
	r.amount = max(r.amount+amount, 0)
}
