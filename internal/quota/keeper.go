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
	inUseFor = 30 * time.Second
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
	since    time.Time
	accounts map[string]*account
	// heard is when each node's last report came, of whichever account.
	heard map[string]time.Time
}

// NewKeeper returns a keeper that hears of all use from a time on.
func NewKeeper(tolerance Tolerance, since time.Time) *Keeper {
	return &Keeper{
		tolerance: tolerance, since: since, accounts: make(map[string]*account), heard: make(map[string]time.Time),
	}
}

// Report takes in what a node has used. Keeps tells that this node is one of the account's
// keepers, so that reports came here before.
func (k *Keeper) Report(name string, from Spender, report Report, keeps bool, now time.Time) {
	k.merge(k.account(name, report, keeps, now), from, report, now)
}

// Decide grants a request or refuses it.
func (k *Keeper) Decide(ask DecisionRequest, keeps bool, now time.Time) Decision {
	a := k.account(ask.Account, ask.Report, keeps, now)
	s := k.merge(a, ask.From, ask.Report, now)
	a.reserved, a.alone = 0, ask.Alone && k.cold(a, now)
	if ask.Split {
		a.reserved = k.silentShare(a, ask.From.Node, now)
	}
	decision := k.weigh(a, ask.Cost, ask.Patience, now)
	if decision.Granted {
		s.counters.Taken += ask.Cost
		k.spend(a, s, ask.Cost, now)
		decision.Next, _ = k.shortest(a, ask.Cost, now)
	}
	decision.Share = k.shareOf(a, s, now)
	return decision
}

// account returns the account of a name, and takes in a newer configuration.
func (k *Keeper) account(name string, report Report, keeps bool, now time.Time) *account {
	a, known := k.accounts[name]
	if !known {
		a = k.newAccount(report, keeps, now)
		k.accounts[name] = a
	}
	if report.Version > a.version && report.Limit.Limited() {
		k.fill(a, now)
		a.limit, a.version = report.Limit, report.Version
	}
	k.fill(a, now)
	return a
}

// NodeStopped records that a process has ended as planned.
func (k *Keeper) NodeStopped(node string) {
	for _, a := range k.accounts {
		if s, known := a.spenders[node]; known {
			s.gone = true
		}
	}
}

// ReportsMissed records that reports were missed until now: accounts hold only what is sure to
// be left, and the next report of each node is what later ones are compared with.
func (k *Keeper) ReportsMissed(now time.Time) {
	k.since = now
	for _, a := range k.accounts {
		a.born = now
		k.fill(a, now)
		for i := range a.buckets {
			a.buckets[i].level = min(a.buckets[i].level, k.coldLevel(a.limit))
		}
		for _, s := range a.spenders {
			s.stale = true
		}
	}
}

// KeepersChanged records that the nodes that keep accounts have changed: this one keeps on with
// those that it keeps still. New ones it knows from now on.
func (k *Keeper) KeepersChanged(keeps func(name string) bool, now time.Time) {
	k.since = now
	for name := range k.accounts {
		if !keeps(name) {
			delete(k.accounts, name)
		}
	}
}

// Accounts returns the names of the accounts that are known here.
func (k *Keeper) Accounts() []string { return slices.Collect(maps.Keys(k.accounts)) }

// KnownSince returns since when an account is known here.
func (k *Keeper) KnownSince(name string, now time.Time) time.Time {
	if a, known := k.accounts[name]; known {
		return a.known
	}
	return now
}

// InUse returns the accounts that were used lately, with limit and version.
func (k *Keeper) InUse(now time.Time) map[string]Report {
	used := make(map[string]Report)
	for name, a := range k.accounts {
		if now.Sub(a.used) <= inUseFor {
			used[name] = Report{Limit: a.limit, Version: a.version}
		}
	}
	return used
}

// Forget drops accounts and nodes that have been idle for long.
func (k *Keeper) Forget(now time.Time) {
	for node, heard := range k.heard {
		if now.Sub(heard) > IdleTTL {
			delete(k.heard, node)
		}
	}
	for name, a := range k.accounts {
		for node, s := range a.spenders {
			if now.Sub(s.heard) > IdleTTL {
				delete(a.spenders, node)
			}
		}
		idle := now.Sub(a.used) > IdleTTL
		if idle {
			a.reserved = 0 // nothing is kept for so long
		}
		k.fill(a, now)
		if idle && a.buckets[0].Level() >= a.limit.Burst {
			delete(k.accounts, name)
		}
	}
}
