package nodeexchange

import (
	"maps"
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// minMoreKnown is by how much longer a keeper must have known the usage of an account than a cold
// one that refused a request, so that it may know better. It is several times the delay of a
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

// knowsNoMore reports whether a keeper is known to know no more of an account than one that has
// refused the request. Keepers that start together learn of each other's grants after a delay, so
// that asking all of them would grant several requests in place of one.
func (q *quotaExchange) knowsNoMore(pending *pendingCharge, keeper netip.AddrPort) bool {
	if pending.best == nil || pending.best.decision.KnownFor <= 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	since, known := q.coldKeepers[keeperOfAccount{pending.account, keeper}]
	refused, refusedKnown := q.coldKeepers[keeperOfAccount{pending.account, pending.best.from}]
	return known && refusedKnown && refused.Sub(since) < minMoreKnown
}
