package quota

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Periods for which usage is kept.
const (
	// IdleTTL is the time without usage after which an account, or the counters of a node, are
	// dropped: twice the time for which keepers exchange them.
	IdleTTL = 60 * time.Second
	// inUsePeriod is how long after the last usage of an account its keepers keep exchanging
	// it.
	inUsePeriod = 30 * time.Second
)

// Spender is a process whose requests are charged to accounts.
type Spender struct {
	// Node is the process's incarnation.
	Node    string
	Address netip.AddrPort
}

// DecisionRequest asks a keeper whether a request may be charged to an account.
type DecisionRequest struct {
	Account string
	From    Spender
	// Report holds the asking node's counters without this request.
	Report Report
	Cost   float64
	// Patience is how long the request may wait for its turn; see Tolerance.Ahead.
	Patience time.Duration
	// Split means that another keeper of the account is silent and may be granting too, as in a
	// network partition.
	Split bool
	// NoKeeperHeard means that no other keeper of the account has been heard since this one
	// started, although there are others.
	NoKeeperHeard bool
}

// Decision is a keeper's answer to a DecisionRequest.
type Decision struct {
	Granted bool
	// Cold means that the keeper doesn't know the usage before it started. Its refusals are not
	// final: another keeper may know better.
	Cold bool
	// KnownFor is how long the keeper has known all usage of the account.
	KnownFor time.Duration
	// Level is the level, before this request, of the bucket that could serve it soonest.
	Level float64
	// Wait is the time until a refused request can be served, after those refused earlier.
	Wait time.Duration
	// Delay is the time until the turn of a granted request; no other request gets the same
	// turn. Next is the time until another request of the same cost would be served at once.
	Delay, Next time.Duration
	// Share is the asking node's share of the recent usage, at most 1.
	Share float64
	// Reserved is the fraction of the limit that is held back for silent nodes.
	Reserved float64
	// Limit and Version are the limit that was applied and its configuration version.
	Limit   Limit
	Version uint64
}

// Keeper decides which requests may be charged to accounts. Each account has a few keepers,
// which all nodes report their usage to; see docs/design/quotas.md. A Keeper does no I/O and
// takes the time as an argument. It is not safe for concurrent use.
type Keeper struct {
	tolerance Tolerance
	// reportsSince is the time from which on all usage was reported here.
	reportsSince time.Time
	accounts     map[string]*account
	// lastHeard is the time of each node's last report, for any account.
	lastHeard map[string]time.Time
}

// NewKeeper returns a keeper to which all usage is reported from a time on.
func NewKeeper(tolerance Tolerance, since time.Time) *Keeper {
	return &Keeper{
		tolerance: tolerance, reportsSince: since, accounts: make(map[string]*account), lastHeard: make(map[string]time.Time),
	}
}

// Report merges a node's report of its usage. isKeeper means that this node already was one of
// the account's keepers, so that earlier reports were sent here as well.
func (k *Keeper) Report(name string, from Spender, report Report, isKeeper bool, now time.Time) {
	k.mergeReport(k.account(name, report, isKeeper, now), from, report, now)
}

// Decide grants or refuses a request, and charges it if granted.
func (k *Keeper) Decide(request DecisionRequest, isKeeper bool, now time.Time) Decision {
	a := k.account(request.Account, request.Report, isKeeper, now)
	s := k.mergeReport(a, request.From, request.Report, now)
	a.reserved, a.noOtherKeeper = 0, request.NoKeeperHeard && k.isCold(a, now)
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

// account returns the named account, creating it if needed, and applies a newer limit.
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

// NodeStopped records that a process has shut down as planned, so that nothing is reserved for
// it.
func (k *Keeper) NodeStopped(node string) {
	for _, a := range k.accounts {
		if s, known := a.spenders[node]; known {
			s.stopped = true
		}
	}
}

// ReportsMissed records that reports may have been missed until now, because this process was
// paused or heard no other node. It lowers all accounts to the cold-start level, and uses the
// next report of each node only as the baseline for later ones.
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

// KeepersChanged records that accounts have been assigned to other keepers. It drops the
// accounts that this node no longer keeps; accounts newly assigned to it are unknown before
// now.
func (k *Keeper) KeepersChanged(isKeeper func(name string) bool, now time.Time) {
	k.reportsSince = now
	for name := range k.accounts {
		if !isKeeper(name) {
			delete(k.accounts, name)
		}
	}
}

// Accounts returns the names of all known accounts.
func (k *Keeper) Accounts() []string { return slices.Collect(maps.Keys(k.accounts)) }

// CreatedAt returns the time at which this keeper created an account, or now if it has none.
func (k *Keeper) CreatedAt(name string, now time.Time) time.Time {
	if a, known := k.accounts[name]; known {
		return a.created
	}
	return now
}

// InUse returns the recently used accounts with their limits and configuration versions.
func (k *Keeper) InUse(now time.Time) map[string]Report {
	used := make(map[string]Report)
	for name, a := range k.accounts {
		if now.Sub(a.lastUsed) <= inUsePeriod {
			used[name] = Report{Limit: a.limit, Version: a.version}
		}
	}
	return used
}

// Forget drops accounts and nodes that have been idle for IdleTTL.
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
			a.reserved = 0 // reservations never last as long as IdleTTL
		}
		k.refill(a, now)
		if idle && a.buckets[0].Level() >= a.limit.Burst {
			delete(k.accounts, name)
		}
	}
}
