package quota

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// How long use is kept.
const (
	// IdleTTL is when an account or a node's counters are forgotten: twice the time for
	// which its keepers tell each other of it.
	IdleTTL = 60 * time.Second
	// inUseFor is for how long after a use the account's keepers tell each other of it.
	inUsePeriod = 30 * time.Second
)

// Spender is a process that uses accounts.
type Spender struct {
	// Node is its incarnation.
	Node    string
	Address netip.AddrPort
}

// DecisionRequest asks a keeper for a request's cost.
type DecisionRequest struct {
	Account string
	From    Spender
	// Report holds the asker's counters without the request.
	Report Report
	Cost   float64
	// Patience is for how long the request may wait for its turn.
	Patience time.Duration
	// Split tells that another keeper of the account is out of hearing and may grant too.
	Split bool
	// Alone tells that no other keeper of the account was heard since this one began.
	Alone bool
}

// Decision is a keeper's answer.
type Decision struct {
	Granted bool
	// Cold tells that the keeper doesn't know what was used before it began, so that
	// another may know better than to refuse.
	Cold bool
	// Level is what the bucket held that came nearest to the request, before it.
	Level float64
	// Wait is when a refused request can be served, given those refused before it.
	Wait time.Duration
	// Delay is when a request that was granted has its turn, which nobody else is given, and
	// Next when a further one of the same cost would be served at once.
	Delay, Next time.Duration
	// Share is the asker's part of the recent use, up to 1.
	Share float64
	// Reserved is the part of the limit that is kept for nodes out of hearing.
	Reserved float64
	// Limit and Version are those decided by.
	Limit   Limit
	Version uint64
}

// Keeper decides what nodes may use of accounts. It is pure, and not safe for concurrent
// use.
type Keeper struct {
	tolerance Tolerance
	// since is from when on all use was reported here.
	reportsSince time.Time
	accounts     map[string]*account
	// heard is when each node's last report came, of whichever account.
	lastHeard map[string]time.Time
}

// NewKeeper returns a keeper that hears of all use from a time on.
func NewKeeper(tolerance Tolerance, since time.Time) *Keeper {
	return &Keeper{
		tolerance: tolerance, reportsSince: since, accounts: make(map[string]*account), lastHeard: make(map[string]time.Time),
	}
}

// Report takes in what a node has used. Keeps tells that this node is one of the account's
// keepers, so that reports came here before.
func (k *Keeper) Report(name string, from Spender, report Report, isKeeper bool, now time.Time) {
	k.mergeReport(k.account(name, report, isKeeper, now), from, report, now)
}

// Decide grants a request or refuses it.
func (k *Keeper) Decide(request DecisionRequest, isKeeper bool, now time.Time) Decision {
	a := k.account(request.Account, request.Report, isKeeper, now)
	s := k.mergeReport(a, request.From, request.Report, now)
	a.reserved, a.noOtherKeeper = 0, request.Alone && k.isCold(a, now)
	if request.Split {
		a.reserved = k.silentShare(a, request.From.Node, now)
	}
	decision := k.decide(a, request.Cost, request.Patience, now)
	if decision.Granted {
		s.counters.Taken += request.Cost
		k.charge(a, s, request.Cost, now)
		decision.Next, _ = k.soonest(a, request.Cost, now)
	}
	decision.Share = k.shareOf(a, s, now)
	return decision
}

// account returns the account of a name, and takes in a newer configuration.
func (k *Keeper) account(name string, report Report, isKeeper bool, now time.Time) *account {
	a, known := k.accounts[name]
	if !known {
		a = k.newAccount(report, isKeeper, now)
		k.accounts[name] = a
	}
	if report.Version > a.version && report.Limit.Limited() {
		k.refill(a, now)
		a.limit, a.version = report.Limit, report.Version
	}
	k.refill(a, now)
	return a
}

// NodeStopped records that a process has ended as planned.
func (k *Keeper) NodeStopped(node string) {
	for _, a := range k.accounts {
		if s, known := a.spenders[node]; known {
			s.stopped = true
		}
	}
}

// ReportsMissed records that reports were missed until now: accounts hold only what is sure to
// be left, and the next report of each node is what later ones are compared with.
func (k *Keeper) ReportsMissed(now time.Time) {
	k.reportsSince = now
	for _, a := range k.accounts {
		a.usageKnownSince = now
		k.refill(a, now)
		for i := range a.buckets {
			a.buckets[i].level = min(a.buckets[i].level, k.coldStartLevel(a.limit))
		}
		for _, s := range a.spenders {
			s.skipNextCharge = true
		}
	}
}

// KeepersChanged records that the nodes that keep accounts have changed: this one keeps on with
// those that it keeps still. New ones it knows from now on.
func (k *Keeper) KeepersChanged(isKeeper func(name string) bool, now time.Time) {
	k.reportsSince = now
	for name := range k.accounts {
		if !isKeeper(name) {
			delete(k.accounts, name)
		}
	}
}

// Accounts returns the names of the accounts that are known here.
func (k *Keeper) Accounts() []string { return slices.Collect(maps.Keys(k.accounts)) }

// KnownSince returns since when an account is known here.
func (k *Keeper) KnownSince(name string, now time.Time) time.Time {
	if a, known := k.accounts[name]; known {
		return a.created
	}
	return now
}

// InUse returns the accounts that were used lately, with limit and version.
func (k *Keeper) InUse(now time.Time) map[string]Report {
	used := make(map[string]Report)
	for name, a := range k.accounts {
		if now.Sub(a.lastUsed) <= inUsePeriod {
			used[name] = Report{Limit: a.limit, Version: a.version}
		}
	}
	return used
}

// Forget drops accounts and nodes that have been idle for long.
func (k *Keeper) Forget(now time.Time) {
	for node, heard := range k.lastHeard {
		if now.Sub(heard) > IdleTTL {
			delete(k.lastHeard, node)
		}
	}
	for name, a := range k.accounts {
		for node, s := range a.spenders {
			if now.Sub(s.lastReport) > IdleTTL {
				delete(a.spenders, node)
			}
		}
		idle := now.Sub(a.lastUsed) > IdleTTL
		if idle {
			a.reserved = 0 // nothing is kept for so long
		}
		k.refill(a, now)
		if idle && a.buckets[0].Level() >= a.limit.Burst {
			delete(k.accounts, name)
		}
	}
}
