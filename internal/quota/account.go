package quota

import (
	"math"
	"net/netip"
	"time"
)

// Divisors that bound how much of the tolerance is spent where usage reports are missing.
const (
	// coldStartDivisor sets the level at which a keeper starts an account whose earlier usage
	// it doesn't know: a fourth of Tolerance.Slack.
	coldStartDivisor = 4
	// coldStartKeepers is how many keepers of an account may start at the same time. Until they
	// hear each other, they share the cold-start level.
	coldStartKeepers = 3
	// debtFloorDivisor bounds the debt that late reports can cause, to a fourth of
	// Tolerance.MaxExcess. Usage that this keeper didn't hear of in time was granted by other
	// keepers within the limit, so the tenant doesn't owe it again in full.
	debtFloorDivisor = 4
)

// account is the state of one tenant's quota at a keeper.
type account struct {
	limit   Limit
	version uint64
	// buckets has one token bucket for each of burstFractions.
	buckets [len(burstFractions)]Bucket
	// usageKnownSince is the time from which on all usage has been reported to this keeper;
	// created is when this keeper made the account, which may be earlier or later.
	usageKnownSince, created time.Time
	// promised is the total cost of refused requests that were told a time to retry and may
	// still come again.
	promised Bucket
	spenders map[string]*spender
	// total is the recent usage of all nodes.
	total recentUse
	// lastUsed is when usage was last reported or granted.
	lastUsed time.Time
	// reserved is the fraction of the limit that is held back for silent nodes.
	reserved float64
	// noOtherKeeper means that this keeper is cold and has heard of no other keeper of the
	// account since it started (DecisionRequest.NoKeeperHeard). Others may have started in the
	// same way and grant as well.
	noOtherKeeper bool
}

// refill refills the account's buckets up to now.
func (k *Keeper) refill(a *account, now time.Time) {
	for i := range a.buckets {
		rate, size := k.bucketRateAndSize(a, i)
		a.buckets[i].Fill(rate, size, now)
	}
}

// newAccount returns an account that starts at the cold-start level. If this node was already a
// keeper of the account (isKeeper), all usage since reportsSince would have been reported here,
// so the bucket has refilled since then.
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

// spender is the state of one node's usage of an account.
type spender struct {
	address    netip.AddrPort
	counters   Counters
	recent     recentUse
	lastReport time.Time
	// stopped means that the process has ended.
	stopped bool
	// skipNextCharge means that reports may have been missed: the next report only sets the
	// counters that later ones are compared with, and isn't charged.
	skipNextCharge bool
	// shareWhenSilent is the node's share of the recent usage when it became silent, zero while
	// it is heard.
	shareWhenSilent float64
}

// mergeReport charges the account with the usage that a report adds to earlier reports of the
// same node.
func (k *Keeper) mergeReport(a *account, from Spender, report Report, now time.Time) *spender {
	s, known := a.spenders[from.Node]
	if !known {
		s = &spender{address: from.Address, skipNextCharge: !a.observesWholeUse(report, now)}
		s.counters.Taken = report.Before // usage before the pause has been refilled long ago
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
		// Turns that another keeper has granted lie up to Tolerance.Ahead in the future, but
		// are charged at once. They are owed in full, so the floor is lower by what is refilled
		// in that time.
		floor := -k.tolerance.MaxExcess(a.limit)/debtFloorDivisor - a.limit.Rate*k.tolerance.Ahead.Seconds()
		for i := range a.buckets {
			a.buckets[i].level = max(a.buckets[i].level, min(before[i].level, floor))
		}
	}
	return s
}

// observesWholeUse reports whether the usage period that a report covers began after this
// keeper began to know the account. If not, its counters only serve as the baseline for later
// reports.
func (a *account) observesWholeUse(report Report, now time.Time) bool {
	return report.Age < IdleTTL && !now.Add(-report.Age).Before(a.usageKnownSince)
}

// supersede marks earlier processes at the same address as stopped.
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

// recentUse is a sum of usage that decays exponentially; the window is its time constant.
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
