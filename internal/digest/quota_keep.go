package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
)

// takeQuota takes in a message on quotas.
func (e *Exchange) takeQuota(from netip.AddrPort, node string, form quotaForm) {
	if e.quota == nil {
		return
	}
	now := time.Now()
	e.quotaHeard(from, now)
	switch {
	case form.Ask != nil:
		spender := quota.Spender{Node: node, Address: from}
		decision := e.decideQuota(spender, form.Ask.Account, form.Ask.Cost, form.Ask.Report.report(), now)
		e.sendTo(from, Message{Node: e.node, Quota: &quotaForm{Reply: renderQuotaReply(form.Ask.ID, decision)}})
	case form.Probe != "":
		e.reportProbed(from, form.Probe, now)
	case form.Reply != nil:
		e.quota.answered(from, *form.Reply)
	default:
		e.takeQuotaReports(quota.Spender{Node: node, Address: from}, form.Reports, now)
	}
}

// quotaHeard records that a node is in hearing, and that reports were missed where none
// came though some were due.
func (e *Exchange) quotaHeard(from netip.AddrPort, now time.Time) {
	e.mu.Lock()
	e.peers.answered(from)
	e.mu.Unlock()
	missed := e.quota.hear(from, now)
	if missed > 0 {
		e.log.WithField("silent_ms", missed.Milliseconds()).Warn("no other node was heard: what is left of quotas is not known")
	}
}

func (q *quotaExchange) hear(from netip.AddrPort, now time.Time) (missed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if silence := now.Sub(q.lastHeard); !q.lastHeard.IsZero() && silence > quota.SilentAfter {
		if q.lastInUse.Sub(q.lastHeard) > quota.SilentAfter || len(q.keeper.InUse(now)) > 0 {
			q.keeper.Missed(now)
			missed = silence
		}
	}
	q.heard[from], q.lastHeard = now, now
	return missed
}

// decideQuota decides as a keeper.
func (e *Exchange) decideQuota(from quota.Spender, account string, cost float64, report quota.Report, now time.Time) quota.Decision {
	e.moveQuotas(now)
	keepers := e.quotaKeepers(account)
	keeps := slices.Contains(keepers, e.peers.address)
	q := e.quota
	q.mu.Lock()
	split := q.split(account, keepers, e.peers.address, quota.SilentAfter, now)
	decision := q.keeper.Decide(quota.Ask{Account: account, From: from, Report: report, Cost: cost, Split: split}, keeps, now)
	changed := q.reserves(account, decision.Reserved > 0)
	q.mu.Unlock()
	if changed {
		e.log.WithFields(logrus.Fields{"account": account, "reserved": decision.Reserved, "left": decision.Level, "split": split}).
			Warn("the part of a quota that is kept for nodes out of hearing has changed")
	}
	return decision
}

// split reports whether another keeper of an account wasn't heard for a time.
func (q *quotaExchange) split(account string, keepers []netip.AddrPort, self netip.AddrPort, silence time.Duration, now time.Time) bool {
	known := q.keeper.KnownSince(account, now)
	for _, keeper := range keepers {
		heard := q.heard[keeper]
		if heard.Before(known) {
			heard = known
		}
		if keeper != self && now.Sub(heard) > silence {
			return true
		}
	}
	return false
}

// reserves records whether a part of an account is reserved, and reports a change.
func (q *quotaExchange) reserves(account string, reserved bool) (changed bool) {
	if q.reserving[account] == reserved {
		return false
	}
	delete(q.reserving, account)
	if reserved {
		q.reserving[account] = true
	}
	return true
}

func (e *Exchange) quotaKeepers(account string) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.quotaKeepers(account)
}

// moveQuotas has the keeper drop the accounts that other nodes keep, after nodes were added
// or have left. When it returns, the keeper follows the ranking, whoever had it do so: a
// decision by an older one would take an account that is new here for one that is full.
func (e *Exchange) moveQuotas(now time.Time) {
	e.mu.Lock()
	generation := e.peers.generation
	e.mu.Unlock()
	q := e.quota
	accounts, follows := q.followed(generation)
	if follows {
		return
	}
	kept := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		kept[account] = slices.Contains(e.quotaKeepers(account), e.peers.address)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.generation >= generation {
		return // another has had it do so meanwhile
	}
	q.generation = generation
	q.keeper.Moved(func(account string) bool { return kept[account] }, now)
}

// followed reports whether the keeper follows the ranking of a generation of the nodes, else
// with the accounts that it has.
func (q *quotaExchange) followed(generation uint64) (accounts []string, follows bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.generation >= generation {
		return nil, true
	}
	return q.keeper.Accounts(), false
}

// answered hands a keeper's answer to the claim that waits for it.
func (q *quotaExchange) answered(from netip.AddrPort, form quotaReplyForm) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ask, waiting := q.asks[form.ID]
	if !waiting {
		return
	}
	if _, asked := ask.asked[from]; !asked {
		return
	}
	delete(ask.asked, from)
	ask.answers <- quotaAnswer{from: from, decision: form.decision()} // it holds one of each keeper
}

// quotaLeft records that a node stops as planned.
func (e *Exchange) quotaLeft(node string) {
	if e.quota == nil {
		return
	}
	e.quota.mu.Lock()
	defer e.quota.mu.Unlock()
	e.quota.keeper.Left(node)
}
