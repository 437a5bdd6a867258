package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/quota"
)

// receive processes a message about accounts of this kind.
func (q *quotaExchange) receive(from netip.AddrPort, node string, form quotaMessage) {
	now := time.Now()
	q.heardFrom(from, now)
	switch {
	case form.Ask != nil:
		q.limits.receive(form.Ask.Account, node, form.Ask.Limit, now)
		decision := q.decide(form.Ask.ask(quota.Spender{Node: node, Address: from}), now)
		q.exchange.sendTo(from, q.message(&quotaMessage{Reply: q.renderReply(*form.Ask, decision, now)}))
	case form.Probe != "":
		q.reportProbed(from, form.Probe, now)
	case form.Reply != nil:
		q.answered(from, node, *form.Reply, now)
	default:
		q.receiveReports(quota.Spender{Node: node, Address: from}, form.Reports, now)
	}
}

// heardFrom records a message from a node. After a silence of all nodes during which reports
// were due, it marks the keeper's counts as incomplete ("not known" in the log): its accounts
// fall at least to the cold-start level, and until it knows the usage again its refusals aren't
// final.
func (q *quotaExchange) heardFrom(from netip.AddrPort, now time.Time) {
	q.exchange.mu.Lock()
	q.exchange.peers.answered(from)
	q.exchange.mu.Unlock()
	missed := q.hear(from, now)
	if missed > 0 {
		q.exchange.log.WithField("silent_ms", missed.Milliseconds()).Warn("no other node was heard: what is left of quotas is not known")
	}
}

func (q *quotaExchange) hear(from netip.AddrPort, now time.Time) (missed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if silence := now.Sub(q.lastHeard); !q.lastHeard.IsZero() && silence > quota.SilentAfter {
		if q.lastInUse.Sub(q.lastHeard) > quota.SilentAfter || len(q.keeper.InUse(now)) > 0 {
			q.keeper.ReportsMissed(now)
			missed = silence
		}
	}
	q.heard[from], q.lastHeard = now, now
	return missed
}

// checkForPause records that this process runs. A keeper whose process was paused ("stood
// still" in the log) has missed what other nodes used in the meantime, and must not decide by
// its old counts, as after a silence of all nodes.
func (q *quotaExchange) checkForPause(now time.Time) {
	running := clock.Boottime()
	q.mu.Lock()
	stood := running.Sub(q.lastRan)
	missed := !q.lastRan.IsZero() && stood > quota.SilentAfter
	if missed {
		q.keeper.ReportsMissed(now)
	}
	q.lastRan = running
	q.mu.Unlock()
	if missed {
		q.exchange.log.WithField("stood_ms", stood.Milliseconds()).Warn("this process stood still: what is left of quotas is not known")
	}
}

// decide decides a request as a keeper. For a worker's turns it applies the limit that this
// node knows; if the worker is known to have none, every request is granted. It logs when a
// part of an account begins or ceases to be reserved for silent nodes ("out of hearing" in the
// log), not when the size of that part changes; the field reserved is zero when it has ceased.
// In these log lines "quota" also stands for a worker's turns.
func (q *quotaExchange) decide(ask quota.DecisionRequest, now time.Time) quota.Decision {
	q.checkForPause(now)
	q.dropMovedAccounts(now)
	account := ask.Account
	limited := q.limits.apply(account, &ask.Report)
	keepers := q.keepersOf(account)
	listed := q.nodesListed()
	// Without the list of nodes this node takes itself for a keeper of all accounts, but others
	// don't report to it.
	keeps := listed && slices.Contains(keepers, q.exchange.peers.address)
	q.mu.Lock()
	split := q.hasSilentKeeper(account, keepers, q.exchange.peers.address, quota.SilentAfter, now)
	ask.Split, ask.NoKeeperHeard = split, !listed && len(keepers) == 1 || q.hasHeardNoKeeper(keepers, q.exchange.peers.address)
	decision := q.keeper.Decide(ask, keeps, now)
	changed := q.setReserved(account, decision.Reserved > 0)
	q.mu.Unlock()
	if changed {
		q.exchange.log.WithFields(logrus.Fields{"account": account, "reserved": decision.Reserved, "left": decision.Level, "split": split}).
			Warn("the part of a quota that is kept for nodes out of hearing has changed")
	}
	if !limited {
		return quota.Decision{Granted: true, Version: decision.Version}
	}
	return decision
}

// hasSilentKeeper reports whether another keeper of the account has been silent for longer than
// silence.
func (q *quotaExchange) hasSilentKeeper(account string, keepers []netip.AddrPort, self netip.AddrPort, silence time.Duration, now time.Time) bool {
	created := q.keeper.CreatedAt(account, now)
	for _, keeper := range keepers {
		heard := q.heard[keeper]
		if heard.Before(created) {
			heard = created
		}
		if keeper != self && now.Sub(heard) > silence {
			return true
		}
	}
	return false
}

// hasHeardNoKeeper reports whether there are other keepers of an account and none of them has
// ever been heard.
func (q *quotaExchange) hasHeardNoKeeper(keepers []netip.AddrPort, self netip.AddrPort) bool {
	others := 0
	for _, keeper := range keepers {
		if keeper == self {
			continue
		}
		if !q.heard[keeper].IsZero() {
			return false
		}
		others++
	}
	return others > 0
}

// setReserved records whether a part of an account is reserved, and reports whether this has
// changed.
func (q *quotaExchange) setReserved(account string, reserved bool) (changed bool) {
	if q.reserving[account] == reserved {
		return false
	}
	delete(q.reserving, account)
	if reserved {
		q.reserving[account] = true
	}
	return true
}

// nodesListed reports whether this node knows the store's list of nodes.
func (q *quotaExchange) nodesListed() bool {
	q.exchange.mu.Lock()
	defer q.exchange.mu.Unlock()
	return q.exchange.peers.listed
}

func (q *quotaExchange) keepersOf(account string) []netip.AddrPort {
	q.exchange.mu.Lock()
	defer q.exchange.mu.Unlock()
	return q.keepers(q.exchange.peers, account)
}

// dropMovedAccounts lets the keeper drop the accounts that other nodes keep after nodes were
// added or removed. When it returns, the keeper follows the current ranking, even if another
// goroutine updated it: a decision by an older ranking would take an account that has just
// moved to this node for one of which nothing was used.
func (q *quotaExchange) dropMovedAccounts(now time.Time) {
	q.exchange.mu.Lock()
	generation := q.exchange.peers.generation
	q.exchange.mu.Unlock()
	accounts, follows := q.isUpToDate(generation)
	if follows {
		return
	}
	kept := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		kept[account] = slices.Contains(q.keepersOf(account), q.exchange.peers.address)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.generation >= generation {
		return // another goroutine updated it in the meantime
	}
	q.generation = generation
	q.keeper.KeepersChanged(func(account string) bool { return kept[account] }, now)
}

// isUpToDate reports whether the keeper follows the ranking of a generation of the nodes. If
// not, it returns the keeper's accounts.
func (q *quotaExchange) isUpToDate(generation uint64) (accounts []string, follows bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.generation >= generation {
		return nil, true
	}
	return q.keeper.Accounts(), false
}

// answered passes a keeper's answer to the charge that waits for it.
func (q *quotaExchange) answered(from netip.AddrPort, node string, form wireQuotaReply, now time.Time) {
	q.limits.receive(form.Account, node, form.Limit, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	pending, waiting := q.pendingCharges[form.ID]
	if !waiting {
		return
	}
	if _, asked := pending.asked[from]; !asked {
		return
	}
	delete(pending.asked, from)
	q.coldKeepers.record(pending.account, from, form.decision(), now)
	pending.answers <- quotaAnswer{from: from, decision: form.decision()} // the channel has room for one answer of each keeper
}

// left records that a node shuts down as planned.
func (q *quotaExchange) left(node string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.NodeStopped(node)
}
