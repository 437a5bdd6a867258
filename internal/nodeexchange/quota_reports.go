package nodeexchange

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// receiveReports processes what a node reports to have used.
func (q *quotaExchange) receiveReports(from quota.Spender, reports map[string]wireQuotaReport, now time.Time) {
	q.dropMovedAccounts(now)
	for account, form := range reports {
		keeps := slices.Contains(q.keepersOf(account), q.exchange.peers.address)
		report := form.report()
		q.limits.apply(account, &report)
		q.mu.Lock()
		q.keeper.Report(account, from, report, keeps, now)
		q.mu.Unlock()
	}
}

// reportAll reports to the keepers what this node has used, after each change and periodically,
// until ctx ends.
func (q *quotaExchange) reportAll(ctx context.Context) {
	ticker := time.NewTicker(keeperReportInterval)
	defer ticker.Stop()
	var soon <-chan time.Time
	lastPeriodic := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			if soon == nil {
				soon = time.After(minSendInterval)
			}
		case <-soon:
			soon = nil
			q.reportChanged(time.Now())
		case now := <-ticker.C:
			q.checkForPause(now)
			periodic := now.Sub(lastPeriodic) >= quotaReportInterval
			if periodic {
				lastPeriodic = now
			}
			q.reportPeriodic(periodic, now)
		}
	}
}

// reportChanged reports the accounts that this node has used since the last report.
func (q *quotaExchange) reportChanged(now time.Time) {
	q.mu.Lock()
	reports := q.meter.Reports(q.meter.Changed(), now)
	q.mu.Unlock()
	q.sendReports(reports, now)
}

// reportPeriodic sends periodic reports: of the accounts that this node keeps, so that their
// keepers hear from each other, and, if all is set, of all accounts that it uses.
func (q *quotaExchange) reportPeriodic(all bool, now time.Time) {
	q.dropMovedAccounts(now)
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

// probeQuiet asks the nodes that use an account and weren't heard recently for a report, if
// another keeper of the account is silent. The answers show that these nodes reach this keeper,
// so that their part of the limit needn't be reserved.
func (q *quotaExchange) probeQuiet(now time.Time) {
	q.mu.Lock()
	accounts := slices.Collect(maps.Keys(q.keeper.InUse(now)))
	q.mu.Unlock()
	for _, account := range accounts {
		keepers := q.keepersOf(account)
		q.mu.Lock()
		var quiet []netip.AddrPort
		if q.hasSilentKeeper(account, keepers, q.exchange.peers.address, probeAfter, now) {
			quiet = q.keeper.SilentNodes(account, keeperReportInterval, now)
		}
		q.mu.Unlock()
		q.exchange.sendAll(quiet, q.message(&quotaMessage{Probe: account}))
	}
}

// reportProbed answers a probe.
func (q *quotaExchange) reportProbed(to netip.AddrPort, account string, now time.Time) {
	q.mu.Lock()
	report := q.meter.Report(account, now)
	q.mu.Unlock()
	if report.Limit.Limited() {
		q.exchange.sendTo(to, q.message(&quotaMessage{Reports: map[string]wireQuotaReport{account: renderQuotaReport(report)}}))
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

// sendReports sends reports to the keepers of their accounts, usually one message to each
// keeper. If this node is a keeper, it processes its own reports.
func (q *quotaExchange) sendReports(reports map[string]quota.Report, now time.Time) {
	reportsByKeeper := make(map[netip.AddrPort]map[string]wireQuotaReport)
	for account, report := range reports {
		for _, keeper := range q.keepersOf(account) {
			if reportsByKeeper[keeper] == nil {
				reportsByKeeper[keeper] = make(map[string]wireQuotaReport)
			}
			reportsByKeeper[keeper][account] = renderQuotaReport(report)
			if len(reportsByKeeper[keeper]) == maxQuotaReports {
				q.sendReportsTo(keeper, reportsByKeeper[keeper], now)
				delete(reportsByKeeper, keeper)
			}
		}
	}
	for keeper, forms := range reportsByKeeper {
		q.sendReportsTo(keeper, forms, now)
	}
}

func (q *quotaExchange) sendReportsTo(to netip.AddrPort, reports map[string]wireQuotaReport, now time.Time) {
	if to == q.exchange.peers.address {
		q.receiveReports(q.self(), reports, now)
		return
	}
	q.exchange.sendTo(to, q.message(&quotaMessage{Reports: reports}))
}
