package quota

import (
	"slices"
	"time"
)

// privatePart is the part of Tolerance.Over that nodes which reach no keeper may use
// between them in a window: half.
const privateDivisor = 2

// repeatFor is for how long after a use it is reported again at rest, since a datagram may
// be lost: twice. Of three datagrams one arrives in 99 of 100 cases though a fifth is lost.
const repeatPeriod = 2 * time.Second

// pauseAfter is from when on a use counts as one after a pause. It is less than IdleLife, so
// that keepers which have forgotten this node hear when it began again.
const minPause = IdleTTL / 2

// Meter counts what this node has used of accounts, for its life. It is pure, and not safe
// for concurrent use.
type Meter struct {
	tolerance Tolerance
	accounts  map[string]*meteredAccount
	// changed are the accounts to be reported.
	changed map[string]bool
}

// meterLife is how long an account is kept without use: until all keepers have forgotten this
// node's counters of it, which begin at zero then.
const meterTTL = 3 * IdleTTL

// metered is this node's use of one account.
type meteredAccount struct {
	counters Counters
	limit    Limit
	version  uint64
	// begun is when the present use began, before its net then, and used when it last rose;
	// asked is when a request was last asked for.
	useBegan, lastUsed, lastAsked time.Time
	netBefore                     float64
	// share is this node's part of the recent use as a keeper told it at shareAt, zero where
	// none has.
	share   float64
	shareAt time.Time
	// allowance is what may be used without a keeper.
	allowance Bucket
	// private tells that no keeper answered last.
	private bool
}

// NewMeter returns a meter at zero.
func NewMeter(tolerance Tolerance) *Meter {
	return &Meter{tolerance: tolerance, accounts: make(map[string]*meteredAccount), changed: make(map[string]bool)}
}

// Begin returns what to report with an ask for an account, whose limit is that of a
// version of the configuration.
func (m *Meter) Begin(name string, limit Limit, version uint64, now time.Time) Report {
	a, known := m.accounts[name]
	if !known {
		a = &meteredAccount{}
		m.accounts[name] = a
	}
	a.lastAsked = now
	if now.Sub(a.lastUsed) > minPause {
		a.useBegan, a.netBefore = now, a.counters.Net()
	}
	if version >= a.version {
		a.limit, a.version = limit, version
	}
	return m.Report(name, now)
}

// Report returns what to report of an account now.
func (m *Meter) Report(name string, now time.Time) Report {
	a, known := m.accounts[name]
	if !known {
		return Report{}
	}
	return Report{Counters: a.counters, Age: now.Sub(a.useBegan), Before: a.netBefore, Limit: a.limit, Version: a.version}
}

// Reports returns what to report of accounts now.
func (m *Meter) Reports(names []string, now time.Time) map[string]Report {
	reports := make(map[string]Report, len(names))
	for _, name := range names {
		reports[name] = m.Report(name, now)
	}
	return reports
}

// Take counts a cost as used.
func (m *Meter) Take(name string, cost float64, now time.Time) {
	if a, known := m.accounts[name]; known {
		a.counters.Taken += cost
		a.lastUsed = now
		m.changed[name] = true
	}
}

// Refund counts a cost that was taken as not used.
func (m *Meter) Refund(name string, cost float64) {
	if a, known := m.accounts[name]; known {
		a.counters.Returned += cost
		m.changed[name] = true
	}
}

// TakeAndRefund counts a cost as taken and returned, since a keeper that didn't answer may have
// granted it.
func (m *Meter) TakeAndRefund(name string, cost float64, now time.Time) {
	m.Take(name, cost, now)
	m.Refund(name, cost)
}

// SetShare takes in this node's share, as a keeper tells it. It reports whether the node got
// along without a keeper before.
func (m *Meter) SetShare(name string, share float64, now time.Time) (wasPrivate bool) {
	a, known := m.accounts[name]
	if !known {
		return false
	}
	a.share, a.shareAt = share, now
	wasPrivate, a.private = a.private, false
	return wasPrivate
}

// PrivateDecision is a decision without a keeper.
type PrivateDecision struct {
	Granted bool
	// First tells that keepers answered before.
	First bool
	// Level is what the allowance held.
	Level float64
	Wait  time.Duration
}

// DecidePrivately decides on a cost that no keeper has answered for. The allowance is this node's
// share of half of what may be used past the limit in a window. A request that costs more
// than the allowance ever holds passes by a draw from 0 to 1, as probably as it is held, and
// takes what is held either way: a debt at each of many nodes would be more than all of them
// may use.
func (m *Meter) DecidePrivately(name string, nodes int, cost, draw float64, now time.Time) PrivateDecision {
	a, known := m.accounts[name]
	if !known {
		return PrivateDecision{Wait: maxWait}
	}
	size := m.shareOf(a, nodes, now) * m.tolerance.MaxExcess(a.limit) / privateDivisor
	rate := size / m.tolerance.Window.Seconds()
	if a.allowance.at.IsZero() {
		a.allowance = NewBucket(size, now)
	}
	a.allowance.Fill(rate, size, now)
	held := a.allowance.Level()
	decision := PrivateDecision{First: !a.private, Level: held, Wait: maxWait}
	a.private = true
	switch {
	case size <= 0:
		return decision
	case held >= cost:
		a.allowance.Spend(cost)
		decision.Granted = true
	case cost > size:
		a.allowance.Spend(held)
		decision.Granted = draw*cost < held
	}
	decision.Wait = refillTime(min(cost, size)-a.allowance.Level(), rate)
	return decision
}

// shareOf is this node's part of the use, one of nodes where no keeper has told it within a
// window: shares told at different times don't add up to one.
func (m *Meter) shareOf(a *meteredAccount, nodes int, now time.Time) float64 {
	if a.share > 0 && now.Sub(a.shareAt) <= m.tolerance.Window {
		return a.share
	}
	return 1 / float64(max(nodes, 1))
}

// Changed returns the accounts that have changed since the last call.
func (m *Meter) Changed() []string {
	names := make([]string, 0, len(m.changed))
	for name := range m.changed {
		names = append(names, name)
	}
	clear(m.changed)
	slices.Sort(names)
	return names
}

// Forget drops the accounts that were neither used nor asked for in a long time.
func (m *Meter) Forget(now time.Time) {
	for name, a := range m.accounts {
		if now.Sub(a.lastUsed) > meterTTL && now.Sub(a.lastAsked) > meterTTL {
			delete(m.accounts, name)
			delete(m.changed, name)
		}
	}
}

// RecentlyUsed returns the accounts that are to be reported at rest.
func (m *Meter) RecentlyUsed(now time.Time) []string {
	var names []string
	for name, a := range m.accounts {
		if now.Sub(a.lastUsed) <= repeatPeriod {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
