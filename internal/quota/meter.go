package quota

import (
	"slices"
	"time"
)

// privateDivisor bounds what nodes that reach no keeper may use together in a window, to half
// of Tolerance.MaxExcess.
const privateDivisor = 2

// repeatPeriod is how long after usage its report is repeated in the periodic messages, because
// datagrams may be lost. That makes two repetitions; of three datagrams at least one arrives in
// 99 of 100 cases, even if a fifth of all are lost.
const repeatPeriod = 2 * time.Second

// minPause is the gap after which usage counts as a new period of use. It is shorter than
// IdleTTL, so that keepers that have dropped this node's counters learn from Report.Age that
// the period is new to them, and charge all of it.
const minPause = IdleTTL / 2

// Meter counts what this node has charged to accounts since the process started. It does no I/O
// and takes the time as an argument. It is not safe for concurrent use.
type Meter struct {
	tolerance Tolerance
	accounts  map[string]*meteredAccount
	// changed holds the accounts to be reported.
	changed map[string]bool
}

// meterTTL is how long an unused account is kept. By then all keepers have dropped this node's
// counters for it, so they can start at zero again.
const meterTTL = 3 * IdleTTL

// meteredAccount is this node's usage of one account.
type meteredAccount struct {
	counters Counters
	limit    Limit
	version  uint64
	// useBegan is the start of the current period of use, and netBefore the net usage at that
	// time. lastUsed is the time of the last charge, and lastAsked that of the last Begin.
	useBegan, lastUsed, lastAsked time.Time
	netBefore                     float64
	// share is this node's share of the recent usage that a keeper reported at shareAt, zero if
	// none has.
	share   float64
	shareAt time.Time
	// allowance is what this node may use without a keeper.
	allowance Bucket
	// private means that no keeper answered the last request.
	private bool
}

// NewMeter returns a meter without any usage.
func NewMeter(tolerance Tolerance) *Meter {
	return &Meter{tolerance: tolerance, accounts: make(map[string]*meteredAccount), changed: make(map[string]bool)}
}

// Begin returns the report to send with a request for a decision. limit is the account's limit
// in the given configuration version.
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

// Report returns the current report for an account.
func (m *Meter) Report(name string, now time.Time) Report {
	a, known := m.accounts[name]
	if !known {
		return Report{}
	}
	return Report{Counters: a.counters, Age: now.Sub(a.useBegan), Before: a.netBefore, Limit: a.limit, Version: a.version}
}

// Reports returns the current reports for several accounts.
func (m *Meter) Reports(names []string, now time.Time) map[string]Report {
	reports := make(map[string]Report, len(names))
	for _, name := range names {
		reports[name] = m.Report(name, now)
	}
	return reports
}

// Take adds a cost to the usage of an account.
func (m *Meter) Take(name string, cost float64, now time.Time) {
	if a, known := m.accounts[name]; known {
		a.counters.Taken += cost
		a.lastUsed = now
		m.changed[name] = true
	}
}

// Refund records that a cost counted by Take was not used after all.
func (m *Meter) Refund(name string, cost float64) {
	if a, known := m.accounts[name]; known {
		a.counters.Returned += cost
		m.changed[name] = true
	}
}

// TakeAndRefund counts a cost as both taken and returned. It is for requests to a keeper that
// didn't answer: the keeper may have granted and charged the cost, and Merge then cancels the
// charge.
func (m *Meter) TakeAndRefund(name string, cost float64, now time.Time) {
	m.Take(name, cost, now)
	m.Refund(name, cost)
}

// SetShare records this node's share of the usage as reported by a keeper. It returns whether
// the previous decision was made without a keeper.
func (m *Meter) SetShare(name string, share float64, now time.Time) (wasPrivate bool) {
	a, known := m.accounts[name]
	if !known {
		return false
	}
	a.share, a.shareAt = share, now
	wasPrivate, a.private = a.private, false
	return wasPrivate
}

// PrivateDecision is a decision that this node made without a keeper.
type PrivateDecision struct {
	Granted bool
	// First means that the previous decision was made by a keeper.
	First bool
	// Level is the level of the allowance before the decision.
	Level float64
	Wait  time.Duration
}

// DecidePrivately decides on a request that no keeper has answered. The allowance is this
// node's share of half of MaxExcess per window. A request that costs more than the allowance
// can ever hold is granted at random, with probability level/cost (draw is a random number in
// [0, 1)), and empties the allowance either way. Letting it leave a debt instead would let many
// nodes together use more than the tolerance.
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

// shareOf returns this node's share of the usage of an account. Without a report from a keeper
// in the last window it is an equal share among nodes: shares reported at different times don't
// add up to one.
func (m *Meter) shareOf(a *meteredAccount, nodes int, now time.Time) float64 {
	if a.share > 0 && now.Sub(a.shareAt) <= m.tolerance.Window {
		return a.share
	}
	return 1 / float64(max(nodes, 1))
}

// Changed returns the accounts whose usage has changed since the last call.
func (m *Meter) Changed() []string {
	names := make([]string, 0, len(m.changed))
	for name := range m.changed {
		names = append(names, name)
	}
	clear(m.changed)
	slices.Sort(names)
	return names
}

// Forget drops the accounts without usage or requests for meterTTL.
func (m *Meter) Forget(now time.Time) {
	for name, a := range m.accounts {
		if now.Sub(a.lastUsed) > meterTTL && now.Sub(a.lastAsked) > meterTTL {
			delete(m.accounts, name)
			delete(m.changed, name)
		}
	}
}

// RecentlyUsed returns the accounts whose reports are to be repeated in the periodic message.
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
