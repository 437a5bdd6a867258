package quota

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

// The parts of Tolerance.Over that single imprecisions may cost.
const (
	// coldPart is what a keeper that doesn't know the use before it began to keep an
	// account begins with: a fourth of the slack.
	coldPart = 4
	// creditPart is by how much a request may come before the bucket holds it, since a
	// caller counts by the times at which it sends: an eighth.
	creditPart = 8
	// debtPart bounds the debt that a request leaves which costs more than a burst: half.
	debtPart = 2
	// floorPart bounds the debt that late reports leave: what was used out of a keeper's
	// hearing was granted by others within the limit, and isn't owed a second time.
	floorPart = 4
	// maxReserved leaves something to nodes that begin to use an account while others are
	// out of hearing: the overshoot that is commonly tolerated.
	maxReserved = 0.9
)

// burstParts are the parts of a limit's burst of which the buckets of an account hold one
// each. What a bucket lacks in size, it has in rate, so that a window holds the same: a
// tenant that bursts is served out of the first, one that wants more than its rate for long
// out of the last, and either way all buckets are charged.
var burstParts = [...]float64{1, 1.0 / 2, 1.0 / 8}

// The times of a keeper.
const (
	// coldFor is how long a keeper says at most that it doesn't know what was used before.
	// As a rule it is until the burst has come back, a second or two; limits with a burst of
	// hours would else have each refusal asked of all keepers.
	coldFor = IdleLife
	// SilentAfter is when a node counts as out of hearing: two of the reports of a keeper at
	// rest, or two of the answers to such a keeper's probes, may be lost. In that time two
	// halves that have lost each other may use the limit twice: hardly more than is
	// tolerated where the burst is a second's rate and the overshoot a tenth in 8 s.
	SilentAfter = 1100 * time.Millisecond
	// reservedFor is for how long a silent node's share is kept for it. Most cuts end
	// before, and a process that died has a successor.
	reservedFor = 30 * time.Second
	// IdleLife is when an account or a node's counters are forgotten: twice the time for
	// which its keepers tell each other of it.
	IdleLife = 60 * time.Second
	// inUseFor is for how long after a use the account's keepers tell each other of it.
	inUseFor = 30 * time.Second
	// maxWait bounds what a refused request is told to wait; who asks many times the
	// limit isn't better served by more.
	maxWait = 8 * time.Second
	// minWait is the least time: below it, asking costs more than the wait.
	minWait = 50 * time.Millisecond
)

// Spender is a process that uses accounts.
type Spender struct {
	// Node is its incarnation.
	Node    string
	Address netip.AddrPort
}

// Ask asks a keeper for a request's cost.
type Ask struct {
	Account string
	From    Spender
	// Report holds the asker's counters without the request.
	Report Report
	Cost   float64
	// Split tells that another keeper of the account is out of hearing and may grant too.
	Split bool
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

// account is what is known of one tenant's use.
type account struct {
	limit   Limit
	version uint64
	// buckets are those of burstParts.
	buckets [len(burstParts)]Bucket
	// born is from when on the use is known, and known when the account was made here.
	born, known time.Time
	// promised is the cost of refused requests that were told when to come back.
	promised Bucket
	spenders map[string]*spender
	// total is the recent use of all.
	total recentUse
	// used is when use was last heard of.
	used time.Time
	// reserved is the part of the limit that is kept for nodes out of hearing.
	reserved float64
}

// fill brings the account's levels to a time.
func (k *Keeper) fill(a *account, now time.Time) {
	for i := range a.buckets {
		rate, size := k.shape(a, i)
		a.buckets[i].Fill(rate, size, now)
	}
}

// shape is the rate and the size of one of the account's buckets, without what is reserved.
func (k *Keeper) shape(a *account, bucket int) (rate, size float64) {
	size = a.limit.Burst * burstParts[bucket]
	rate = a.limit.Rate
	if k.tolerance.Window > 0 {
		rate += (a.limit.Burst - size) / k.tolerance.Window.Seconds()
	}
	return rate * (1 - a.reserved), size * (1 - a.reserved)
}

// usable reports whether one of the account's buckets may decide. The first may always;
// the others need all use of a window known, since nothing tells which of them granted it.
func (k *Keeper) usable(a *account, bucket int, now time.Time) bool {
	return bucket == 0 || k.tolerance.Window > 0 && now.Sub(a.born) >= k.tolerance.Window
}

// spender is what is known of one node's use of an account.
type spender struct {
	address  netip.AddrPort
	counters Counters
	recent   recentUse
	heard    time.Time
	// gone tells that the process has ended.
	gone bool
	// stale tells that reports may have been missed, so that the next isn't charged.
	stale bool
	// lostShare is its part of the recent use when it fell out of hearing, zero while it
	// is heard.
	lostShare float64
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

// Report takes in what a node has used. Keeps tells that this node is one of the account's
// keepers, so that reports came here before.
func (k *Keeper) Report(name string, from Spender, report Report, keeps bool, now time.Time) {
	k.merge(k.account(name, report, keeps, now), from, report, now)
}

// Decide grants a request or refuses it.
func (k *Keeper) Decide(ask Ask, keeps bool, now time.Time) Decision {
	a := k.account(ask.Account, ask.Report, keeps, now)
	s := k.merge(a, ask.From, ask.Report, now)
	a.reserved = 0
	if ask.Split {
		a.reserved = k.silentShare(a, ask.From.Node, now)
	}
	decision := k.weigh(a, ask.Cost, now)
	if decision.Granted {
		s.counters.Taken += ask.Cost
		k.spend(a, s, ask.Cost, now)
	}
	decision.Share = k.shareOf(a, s, now)
	return decision
}

// weigh decides by the account's levels alone.
func (k *Keeper) weigh(a *account, cost float64, now time.Time) Decision {
	k.fill(a, now)
	decision := Decision{
		Level: a.buckets[0].Level(), Cold: k.cold(a, now), Reserved: a.reserved, Limit: a.limit, Version: a.version,
	}
	short, rate := math.Inf(1), 0.0
	for i := range a.buckets {
		lacks, fits := k.lacks(a, i, cost)
		if !fits || !k.usable(a, i, now) {
			continue
		}
		bucketRate, _ := k.shape(a, i)
		if rate == 0 || lacks/bucketRate < short/rate {
			short, rate, decision.Level = lacks, bucketRate, a.buckets[i].Level()
		}
	}
	if short <= 0 {
		decision.Granted = true
		return decision
	}
	decision.Wait = k.promise(a, short, rate, cost, now)
	return decision
}

// lacks is by how much a bucket falls short of a cost. It fits where the debt that it
// leaves is borne: one larger than a burst may leave one in the first bucket.
func (k *Keeper) lacks(a *account, bucket int, cost float64) (short float64, fits bool) {
	over := k.tolerance.Over(a.limit)
	_, size := k.shape(a, bucket)
	short = min(cost, size) - over/creditPart - a.buckets[bucket].Level()
	if bucket > 0 {
		return short, cost <= size
	}
	return short, a.limit.Unit != Tokens || cost-a.limit.Burst <= over/debtPart
}

// promise returns when a refused cost can be served, after those refused before it.
func (k *Keeper) promise(a *account, short, rate, cost float64, now time.Time) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	a.promised.Fill(-rate, math.Inf(1), now)
	before := max(a.promised.Level(), 0)
	a.promised.level = min(before+cost, rate*maxWait.Seconds())
	return waitFor(short+before, rate)
}

// waitFor is the time in which an amount comes back.
func waitFor(amount, rate float64) time.Duration {
	seconds := min(amount/rate, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// Spread lengthens a wait by up to an eighth, so that callers who were refused together
// don't come back together. Draw is from 0 to 1.
func Spread(wait time.Duration, draw float64) time.Duration {
	const spreadPart = 8
	return wait + time.Duration(draw*float64(wait)/spreadPart)
}

// cold reports whether use before the account's time may still count.
func (k *Keeper) cold(a *account, now time.Time) bool {
	age := now.Sub(a.born)
	return age < k.tolerance.Window || age < coldFor && a.limit.Rate*age.Seconds() < a.limit.Burst
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

// newAccount holds what is sure to be left: something at the time from which on all use
// was reported here, and what has come back since.
func (k *Keeper) newAccount(report Report, keeps bool, now time.Time) *account {
	born := now
	if keeps {
		born = k.since
	}
	made := &account{
		limit: report.Limit, version: report.Version, born: born, known: now, used: now,
		promised: NewBucket(0, now), spenders: make(map[string]*spender),
	}
	for i := range made.buckets {
		made.buckets[i] = NewBucket(k.coldLevel(report.Limit), born)
	}
	return made
}

func (k *Keeper) coldLevel(limit Limit) float64 {
	return min(limit.Burst, k.tolerance.Slack/coldPart)
}

// merge charges the account with what a report tells beyond those before it.
func (k *Keeper) merge(a *account, from Spender, report Report, now time.Time) *spender {
	s, known := a.spenders[from.Node]
	if !known {
		s = &spender{address: from.Address, stale: !a.hearsAll(report, now)}
		a.supersede(from)
		a.spenders[from.Node] = s
	}
	merged := s.counters.Merge(report.Counters)
	increase := merged.Net() - s.counters.Net()
	s.counters, s.heard, s.gone = merged, now, false
	k.heard[from.Node] = now
	if s.stale {
		s.stale = false
		return s
	}
	if increase != 0 {
		before := a.buckets
		k.spend(a, s, increase, now)
		floor := -k.tolerance.Over(a.limit) / floorPart
		for i := range a.buckets {
			a.buckets[i].level = max(a.buckets[i].level, min(before[i].level, floor))
		}
	}
	return s
}

// hearsAll reports whether all that the counters of a report hold was used while this
// keeper knew the account. Else they are only what later ones are compared with.
func (a *account) hearsAll(report Report, now time.Time) bool {
	return report.Age < IdleLife && !now.Add(-report.Age).Before(a.born)
}

// supersede marks the processes that had the address before as ended.
func (a *account) supersede(newer Spender) {
	for _, s := range a.spenders {
		if s.address == newer.Address {
			s.gone = true
		}
	}
}

func (k *Keeper) spend(a *account, s *spender, amount float64, now time.Time) {
	for i := range a.buckets {
		a.buckets[i].Spend(amount)
	}
	a.total.add(amount, k.tolerance.Window, now)
	s.recent.add(amount, k.tolerance.Window, now)
	a.used = now
}

// silentShare is the part of the use of nodes that are out of hearing, other than the one
// that asks.
func (k *Keeper) silentShare(a *account, asker string, now time.Time) float64 {
	sum := 0.0
	for node, s := range a.spenders {
		silence := now.Sub(k.heard[node])
		if node == asker || s.gone || silence <= SilentAfter || silence > reservedFor {
			s.lostShare = 0
			continue
		}
		if s.lostShare == 0 {
			s.lostShare = k.shareOf(a, s, now)
		}
		sum += s.lostShare
	}
	return min(sum, maxReserved)
}

// shareOf is a node's part of the recent use.
func (k *Keeper) shareOf(a *account, s *spender, now time.Time) float64 {
	total := a.total.decay(k.tolerance.Window, now)
	if total <= 0 {
		return 0
	}
	return min(s.recent.decay(k.tolerance.Window, now)/total, 1)
}

// Quiet returns the nodes with recent use of an account that weren't heard for a time, as
// those that may have to be probed.
func (k *Keeper) Quiet(name string, quiet time.Duration, now time.Time) []netip.AddrPort {
	a, known := k.accounts[name]
	if !known {
		return nil
	}
	var addresses []netip.AddrPort
	for node, s := range a.spenders {
		silence := now.Sub(k.heard[node])
		if !s.gone && silence >= quiet && silence <= reservedFor {
			addresses = append(addresses, s.address)
		}
	}
	return addresses
}

// Left records that a process has ended as planned.
func (k *Keeper) Left(node string) {
	for _, a := range k.accounts {
		if s, known := a.spenders[node]; known {
			s.gone = true
		}
	}
}

// Missed records that reports were missed until now: accounts hold only what is sure to
// be left, and the next report of each node is what later ones are compared with.
func (k *Keeper) Missed(now time.Time) {
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

// Moved records that the nodes that keep accounts have changed: this one keeps on with
// those that it keeps still. New ones it knows from now on.
func (k *Keeper) Moved(keeps func(name string) bool, now time.Time) {
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
		if now.Sub(heard) > IdleLife {
			delete(k.heard, node)
		}
	}
	for name, a := range k.accounts {
		for node, s := range a.spenders {
			if now.Sub(s.heard) > IdleLife {
				delete(a.spenders, node)
			}
		}
		k.fill(a, now)
		if now.Sub(a.used) > IdleLife && a.buckets[0].Level() >= a.limit.Burst {
			delete(k.accounts, name)
		}
	}
}
