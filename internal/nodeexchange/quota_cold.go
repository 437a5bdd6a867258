package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// minMoreKnown is by how much longer a keeper must have known the usage of an account than a cold
// one that decided a charge, so that it may know better. It is several times the delay of a
// report.
const minMoreKnown = 100 * time.Millisecond

// keeperOfAccount is a keeper of an account.
type keeperOfAccount struct {
	account string
	keeper  netip.AddrPort
}

// coldKeepers holds since when cold keepers have known all usage of accounts, as their last
// answers told.
type coldKeepers map[keeperOfAccount]time.Time

// record records an answer of a keeper.
func (c coldKeepers) record(account string, keeper netip.AddrPort, decision quota.Decision, now time.Time) {
	key := keeperOfAccount{account, keeper}
	if !decision.Cold || decision.KnownFor <= 0 {
		delete(c, key)
		return
	}
	c[key] = now.Add(-decision.KnownFor)
	maps.DeleteFunc(c, func(_ keeperOfAccount, since time.Time) bool { return now.Sub(since) > quota.IdleTTL })
}

// demote returns the keepers of an account in the order in which they are asked: those that are
// known to know less usage than another one come last.
func (c coldKeepers) demote(account string, keepers []netip.AddrPort) []netip.AddrPort {
	knowsLess := func(keeper netip.AddrPort) bool {
		since, cold := c[keeperOfAccount{account, keeper}]
		return cold && slices.ContainsFunc(keepers, func(other netip.AddrPort) bool {
			otherSince, otherCold := c[keeperOfAccount{account, other}]
			return other != keeper && (!otherCold || since.Sub(otherSince) >= minMoreKnown)
		})
	}
	var kept, demoted []netip.AddrPort
	for _, keeper := range keepers {
		if knowsLess(keeper) {
			demoted = append(demoted, keeper)
		} else {
			kept = append(kept, keeper)
		}
	}
	return append(kept, demoted...)
}

// knowsNoMore reports whether a keeper is known to know no more of an account than one that has
// decided the charge. Keepers that start together learn of each other's grants after a delay, so
// that asking all of them would grant several requests in place of one.
func (q *quotaExchange) knowsNoMore(pending *pendingCharge, keeper netip.AddrPort) bool {
	if pending.best == nil || pending.best.decision.KnownFor <= 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	since, known := q.coldKeepers[keeperOfAccount{pending.account, keeper}]
	decided, decidedKnown := q.coldKeepers[keeperOfAccount{pending.account, pending.best.from}]
	return known && decidedKnown && decided.Sub(since) < minMoreKnown
}
