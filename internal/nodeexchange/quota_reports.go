package nodeexchange

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// takeReports takes in what a node has used.
func (q *quotaExchange) takeReports(from quota.Spender, reports map[string]quotaReportForm, now time.Time) {
	q.move(now)
	for account, form := range reports {
		keeps := slices.Contains(q.keepersOf(account), q.exchange.peers.address)
		report := form.report()
		q.limits.apply(account, &report)
		q.mu.Lock()
		q.keeper.Report(account, from, report, keeps, now)
		q.mu.Unlock()
	}
}

// reportAll reports to the keepers what this node has used, when it has changed and at
// rest, until ctx ends.
func (q *quotaExchange) reportAll(ctx context.Context) {
	ticker := time.NewTicker(quotaKeepersEvery)
	defer ticker.Stop()
	var soon <-chan time.Time
	rested := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			if soon == nil {
				soon = time.After(sendEvery)
			}
		case <-soon:
			soon = nil
			q.reportChanged(time.Now())
		case now := <-ticker.C:
			q.awaken(now)
			atRest := now.Sub(rested) >= quotaRestEvery
			if atRest {
				rested = now
			}
			q.reportAtRest(atRest, now)
		}
	}
}

// reportChanged reports the accounts that this node has used since it did last.
func (q *quotaExchange) reportChanged(now time.Time) {
	q.mu.Lock()
	reports := q.meter.Reports(q.meter.Changed(), now)
	q.mu.Unlock()
	q.sendReports(reports, now)
}

// reportAtRest reports the accounts that this node keeps, so that their keepers hear
// each other, and all that it uses where that is due.
func (q *quotaExchange) reportAtRest(all bool, now time.Time) {
	q.move(now)
	q.mu.Lock()
	reports := q.keeper.InUse(now)
	if len(reports) > 0 {
		q.lastInUse = now
	}
	for account := range reports {
		if own := q.meter.Report(account, now); own.Limit.Limited() {
			reports[account] = own
		}
	}
	if all {
		for account, report := range q.meter.Reports(q.meter.RecentlyUsed(now), now) {
			reports[account] = report
		}
		q.forget(now)
	}
	q.mu.Unlock()
	q.sendReports(reports, now)
	q.probeQuiet(now)
}

// probeQuiet asks the nodes that use accounts and weren't heard lately for a report, where
// another keeper isn't heard: those that answer have their part of the limit here.
func (q *quotaExchange) probeQuiet(now time.Time) {
	q.mu.Lock()
	accounts := slices.Collect(maps.Keys(q.keeper.InUse(now)))
	q.mu.Unlock()
	for _, account := range accounts {
		keepers := q.keepersOf(account)
		q.mu.Lock()
		var quiet []netip.AddrPort
		if q.split(account, keepers, q.exchange.peers.address, quotaQuiet, now) {
			quiet = q.keeper.SilentNodes(account, quotaKeepersEvery, now)
		}
		q.mu.Unlock()
		q.exchange.sendAll(quiet, q.message(&quotaForm{Probe: account}))
	}
}

// reportProbed answers a probe.
func (q *quotaExchange) reportProbed(to netip.AddrPort, account string, now time.Time) {
	q.mu.Lock()
	report := q.meter.Report(account, now)
	q.mu.Unlock()
	if report.Limit.Limited() {
		q.exchange.sendTo(to, q.message(&quotaForm{Reports: map[string]quotaReportForm{account: renderQuotaReport(report)}}))
	}
}

func (q *quotaExchange) forget(now time.Time) {
	q.keeper.Forget(now)
	q.meter.Forget(now)
	for address, heard := range q.heard {
		if now.Sub(heard) > quota.IdleTTL {
			delete(q.heard, address)
		}
	}
}

// sendReports sends reports to the keepers of their accounts, each keeper one message
// as a rule. Where this node is one, it takes them in itself.
func (q *quotaExchange) sendReports(reports map[string]quota.Report, now time.Time) {
	parcels := make(map[netip.AddrPort]map[string]quotaReportForm)
	for account, report := range reports {
		for _, keeper := range q.keepersOf(account) {
			if parcels[keeper] == nil {
				parcels[keeper] = make(map[string]quotaReportForm)
			}
			parcels[keeper][account] = renderQuotaReport(report)
			if len(parcels[keeper]) == maxQuotaReports {
				q.sendParcel(keeper, parcels[keeper], now)
				delete(parcels, keeper)
			}
		}
	}
	for keeper, parcel := range parcels {
		q.sendParcel(keeper, parcel, now)
	}
}

func (q *quotaExchange) sendParcel(to netip.AddrPort, parcel map[string]quotaReportForm, now time.Time) {
	if to == q.exchange.peers.address {
		q.takeReports(q.self(), parcel, now)
		return
	}
	q.exchange.sendTo(to, q.message(&quotaForm{Reports: parcel}))
}
