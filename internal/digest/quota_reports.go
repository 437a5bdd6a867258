package digest

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// takeQuotaReports takes in what a node has used.
func (e *Exchange) takeQuotaReports(from quota.Spender, reports map[string]quotaReportForm, now time.Time) {
	e.moveQuotas(now)
	for account, form := range reports {
		keeps := slices.Contains(e.quotaKeepers(account), e.peers.address)
		e.quota.mu.Lock()
		e.quota.keeper.Report(account, from, form.report(), keeps, now)
		e.quota.mu.Unlock()
	}
}

// reportQuotas reports to the keepers what this node has used, when it has changed and at
// rest, until ctx ends.
func (e *Exchange) reportQuotas(ctx context.Context) {
	ticker := time.NewTicker(quotaKeepersEvery)
	defer ticker.Stop()
	var soon <-chan time.Time
	rested := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quota.wake:
			if soon == nil {
				soon = time.After(sendEvery)
			}
		case <-soon:
			soon = nil
			e.reportChangedQuotas(time.Now())
		case now := <-ticker.C:
			atRest := now.Sub(rested) >= quotaRestEvery
			if atRest {
				rested = now
			}
			e.reportQuotasAtRest(atRest, now)
		}
	}
}

// reportChangedQuotas reports the accounts that this node has used since it did last.
func (e *Exchange) reportChangedQuotas(now time.Time) {
	if e.quota == nil {
		return
	}
	e.quota.mu.Lock()
	reports := e.quota.meter.Reports(e.quota.meter.Changed(), now)
	e.quota.mu.Unlock()
	e.sendQuotaReports(reports, now)
}

// reportQuotasAtRest reports the accounts that this node keeps, so that their keepers hear
// each other, and all that it uses where that is due.
func (e *Exchange) reportQuotasAtRest(all bool, now time.Time) {
	e.moveQuotas(now)
	q := e.quota
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
		for account, report := range q.meter.Reports(q.meter.Repeated(now), now) {
			reports[account] = report
		}
		q.forget(now)
	}
	q.mu.Unlock()
	e.sendQuotaReports(reports, now)
	e.probeQuiet(now)
}

// probeQuiet asks the nodes that use accounts and weren't heard lately for a report, where
// another keeper isn't heard: those that answer have their part of the limit here.
func (e *Exchange) probeQuiet(now time.Time) {
	q := e.quota
	q.mu.Lock()
	accounts := slices.Collect(maps.Keys(q.keeper.InUse(now)))
	q.mu.Unlock()
	for _, account := range accounts {
		keepers := e.quotaKeepers(account)
		q.mu.Lock()
		var quiet []netip.AddrPort
		if q.split(account, keepers, e.peers.address, quotaQuiet, now) {
			quiet = q.keeper.Quiet(account, quotaKeepersEvery, now)
		}
		q.mu.Unlock()
		e.sendAll(quiet, Message{Node: e.node, Quota: &quotaForm{Probe: account}})
	}
}

// reportProbed answers a probe.
func (e *Exchange) reportProbed(to netip.AddrPort, account string, now time.Time) {
	q := e.quota
	q.mu.Lock()
	report := q.meter.Report(account, now)
	q.mu.Unlock()
	if report.Limit.Limited() {
		e.sendTo(to, Message{Node: e.node, Quota: &quotaForm{Reports: map[string]quotaReportForm{account: renderQuotaReport(report)}}})
	}
}

func (q *quotaExchange) forget(now time.Time) {
	q.keeper.Forget(now)
	for address, heard := range q.heard {
		if now.Sub(heard) > quota.IdleLife {
			delete(q.heard, address)
		}
	}
}

// sendQuotaReports sends reports to the keepers of their accounts, each keeper one message
// as a rule. Where this node is one, it takes them in itself.
func (e *Exchange) sendQuotaReports(reports map[string]quota.Report, now time.Time) {
	parcels := make(map[netip.AddrPort]map[string]quotaReportForm)
	for account, report := range reports {
		for _, keeper := range e.quotaKeepers(account) {
			if parcels[keeper] == nil {
				parcels[keeper] = make(map[string]quotaReportForm)
			}
			parcels[keeper][account] = renderQuotaReport(report)
			if len(parcels[keeper]) == maxQuotaReports {
				e.sendQuotaParcel(keeper, parcels[keeper], now)
				delete(parcels, keeper)
			}
		}
	}
	for keeper, parcel := range parcels {
		e.sendQuotaParcel(keeper, parcel, now)
	}
}

func (e *Exchange) sendQuotaParcel(to netip.AddrPort, parcel map[string]quotaReportForm, now time.Time) {
	if to == e.peers.address {
		e.takeQuotaReports(e.self(), parcel, now)
		return
	}
	e.sendTo(to, Message{Node: e.node, Quota: &quotaForm{Reports: parcel}})
}
