package digest

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
)

// The figures of the exchange of quotas.
const (
	// quotaAskTimeout is how long a keeper's answer is waited for before the next is asked
	// too: as askTimeout.
	quotaAskTimeout = askTimeout
	// quotaAskAll is how long any keeper's answer is waited for: four times that, a tenth
	// of the shortest objectives.
	quotaAskAll = 4 * quotaAskTimeout
	// quotaRestEvery is the time between two reports of an account that was used lately,
	// though nothing has changed, and quotaKeepersEvery that between two of its keepers.
	quotaRestEvery    = time.Second
	quotaKeepersEvery = 500 * time.Millisecond
	// quotaQuiet is when a keeper that isn't heard makes another probe the nodes that use the
	// account: when one report is late, so that two probes are answered before SilentAfter.
	quotaQuiet = quotaKeepersEvery + 100*time.Millisecond
	// maxQuotaReports bounds the reports of one datagram: of up to 200 bytes each, they
	// stay below maxDatagram.
	maxQuotaReports = 80
)

// quotaForm is one message on quotas.
type quotaForm struct {
	Ask   *quotaAskForm   `json:"a,omitempty"`
	Reply *quotaReplyForm `json:"r,omitempty"`
	// Reports hold, by account, what the sender has used.
	Reports map[string]quotaReportForm `json:"t,omitempty"`
	// Probe asks for the receiver's report of an account.
	Probe string `json:"p,omitempty"`
}

// quotaReportForm is a quota.Report.
type quotaReportForm struct {
	Taken     float64 `json:"t,omitempty"`
	Returned  float64 `json:"r,omitempty"`
	AgeMillis int64   `json:"a,omitempty"`
	Rate      float64 `json:"l"`
	Burst     float64 `json:"b,omitempty"`
	Unit      string  `json:"u"`
	Version   uint64  `json:"v,omitempty"`
}

// quotaAskForm is a quota.Ask.
type quotaAskForm struct {
	ID      uint64          `json:"i"`
	Account string          `json:"n"`
	Cost    float64         `json:"c"`
	Report  quotaReportForm `json:"t"`
}

// quotaReplyForm is a quota.Decision.
type quotaReplyForm struct {
	ID         uint64  `json:"i"`
	Granted    bool    `json:"g,omitempty"`
	Cold       bool    `json:"c,omitempty"`
	Level      float64 `json:"l"`
	WaitMillis int64   `json:"w,omitempty"`
	Share      float64 `json:"s,omitempty"`
	Reserved   float64 `json:"r,omitempty"`
	Version    uint64  `json:"v,omitempty"`
}

func renderQuotaReport(report quota.Report) quotaReportForm {
	return quotaReportForm{
		Taken: report.Taken, Returned: report.Returned, AgeMillis: report.Age.Milliseconds(),
		Rate: report.Limit.Rate, Burst: report.Limit.Burst, Unit: string(report.Limit.Unit), Version: report.Version,
	}
}

func (f quotaReportForm) report() quota.Report {
	return quota.Report{
		Counters: quota.Counters{Taken: f.Taken, Returned: f.Returned},
		Age:      time.Duration(f.AgeMillis) * time.Millisecond,
		Limit:    quota.Limit{Rate: f.Rate, Burst: f.Burst, Unit: quota.Unit(f.Unit)}, Version: f.Version,
	}
}

func renderQuotaReply(id uint64, decision quota.Decision) *quotaReplyForm {
	return &quotaReplyForm{
		ID: id, Granted: decision.Granted, Cold: decision.Cold, Level: decision.Level,
		WaitMillis: decision.Wait.Milliseconds(), Share: decision.Share, Reserved: decision.Reserved, Version: decision.Version,
	}
}

func (f quotaReplyForm) decision() quota.Decision {
	return quota.Decision{
		Granted: f.Granted, Cold: f.Cold, Level: f.Level,
		Wait: time.Duration(f.WaitMillis) * time.Millisecond, Share: f.Share, Reserved: f.Reserved, Version: f.Version,
	}
}

// quotaExchange is this node's part in the keeping of quotas.
type quotaExchange struct {
	// wake is sent to when a node's own counters have changed.
	wake chan struct{}

	mu     sync.Mutex
	keeper *quota.Keeper
	meter  *quota.Meter
	// asks are those whose answers are awaited.
	asks    map[uint64]*quotaAsk
	lastAsk uint64
	// heard is when each node's last message on quotas came, and lastHeard when any did.
	heard     map[netip.AddrPort]time.Time
	lastHeard time.Time
	// lastInUse is when accounts were in use here, so that reports were due.
	lastInUse time.Time
	// generation is that of the nodes for which the keeper's accounts are.
	generation uint64
	// reserving are the accounts of which a part is kept for nodes out of hearing.
	reserving map[string]bool
}

// SetQuota has the exchange keep and use the accounts of quotas. It is called before Run.
func (e *Exchange) SetQuota(tolerance quota.Tolerance) {
	e.quota = &quotaExchange{
		wake:   make(chan struct{}, 1),
		keeper: quota.NewKeeper(tolerance, e.begun), meter: quota.NewMeter(tolerance),
		asks: make(map[uint64]*quotaAsk), heard: make(map[netip.AddrPort]time.Time), reserving: make(map[string]bool),
	}
}

// quotaAsk is a claim for which keepers are asked.
type quotaAsk struct {
	id      uint64
	claim   quota.Claim
	account string
	report  quota.Report
	// keepers are in the order in which they are asked, and suspected tells that none of
	// them has answered lately.
	keepers   []netip.AddrPort
	suspected bool
	// asked holds when each keeper was asked that hasn't answered.
	asked map[netip.AddrPort]time.Time
	// count and answered count the keepers asked and those of them that answered.
	count, answered int
	answers         chan quotaAnswer
	// best is the decision so far, by a keeper.
	best *quotaAnswer
}

// quotaAnswer is a keeper's decision.
type quotaAnswer struct {
	from     netip.AddrPort
	decision quota.Decision
}

// final reports whether no other keeper is to be asked.
func (a quotaAnswer) final() bool { return a.decision.Granted || !a.decision.Cold }

// ChargeQuota asks the keepers of a tenant's account for the cost of a request, one after
// another where they don't answer in time or don't know enough to refuse. Where none
// answers, this node's own allowance decides.
func (e *Exchange) ChargeQuota(ctx context.Context, claim quota.Claim) quota.Verdict {
	begun := time.Now()
	ask := e.beginQuotaAsk(claim, begun)
	for i, keeper := range ask.keepers {
		e.askKeeper(ask, keeper)
		last := i == len(ask.keepers)-1
		if ask.suspected && !last {
			continue
		}
		patience := quotaAskTimeout
		if last && !ask.suspected {
			patience = max(quotaAskAll-time.Since(begun), quotaAskTimeout)
		}
		if ask.await(ctx, patience) {
			break
		}
	}
	verdict := e.settleQuota(ctx, ask, time.Now())
	verdict.Took = time.Since(begun)
	return verdict
}

// beginQuotaAsk finds the keepers of an account and what to tell them.
func (e *Exchange) beginQuotaAsk(claim quota.Claim, now time.Time) *quotaAsk {
	account := claim.Charge().Account
	ask := &quotaAsk{
		claim: claim, account: account, asked: make(map[netip.AddrPort]time.Time),
		answers: make(chan quotaAnswer, quotaKeeperCount),
	}
	e.mu.Lock()
	var suspected []netip.AddrPort
	for _, keeper := range e.peers.quotaKeepers(account) {
		if e.peers.suspected(keeper, now) {
			suspected = append(suspected, keeper)
		} else {
			ask.keepers = append(ask.keepers, keeper)
		}
	}
	e.mu.Unlock()
	ask.suspected = len(ask.keepers) == 0
	ask.keepers = append(ask.keepers, suspected...)
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	ask.report = q.meter.Begin(account, claim.Limit, claim.Version, now)
	q.lastAsk++
	ask.id = q.lastAsk
	q.asks[ask.id] = ask
	return ask
}

// askKeeper asks one keeper, which may be this node.
func (e *Exchange) askKeeper(ask *quotaAsk, keeper netip.AddrPort) {
	now := time.Now()
	ask.count++
	if keeper == e.peers.address {
		decision := e.decideQuota(e.self(), ask.account, ask.claim.Cost, ask.report, now)
		ask.answers <- quotaAnswer{from: keeper, decision: decision}
		return
	}
	e.quota.mu.Lock()
	ask.asked[keeper] = now
	e.quota.mu.Unlock()
	form := &quotaAskForm{ID: ask.id, Account: ask.account, Cost: ask.claim.Cost, Report: renderQuotaReport(ask.report)}
	e.sendTo(keeper, Message{Node: e.node, Quota: &quotaForm{Ask: form}})
}

// self is this node as one that uses accounts.
func (e *Exchange) self() quota.Spender {
	return quota.Spender{Node: e.node, Address: e.peers.address}
}

// await takes answers until one is final, all keepers asked so far have answered, or the
// time is over. It reports whether no other is to be asked.
func (a *quotaAsk) await(ctx context.Context, patience time.Duration) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case answer := <-a.answers:
			a.take(answer)
		case <-ctx.Done():
			return true
		case <-timer.C:
			return false
		}
		if a.best.final() {
			return true
		}
		if a.answered == a.count {
			return false
		}
	}
}

// take keeps the better of the decisions: one that grants, else one that knows.
func (a *quotaAsk) take(answer quotaAnswer) {
	a.answered++
	if a.best == nil || !a.best.final() || answer.decision.Granted {
		a.best = &answer
	}
}

// drain takes the answers that have come already.
func (a *quotaAsk) drain() {
	for {
		select {
		case answer := <-a.answers:
			a.take(answer)
		default:
			return
		}
	}
}

// silent returns the keepers that had all the time that an answer is given.
func (a *quotaAsk) silent(now time.Time) []netip.AddrPort {
	var silent []netip.AddrPort
	for keeper, at := range a.asked {
		if now.Sub(at) >= quotaAskTimeout {
			silent = append(silent, keeper)
		}
	}
	return silent
}

// settled is what became of a claim, for the log.
type settled struct {
	// alone tells that this node has begun to decide without a keeper, and back that it
	// doesn't any more.
	alone, back bool
	silent      []netip.AddrPort
}

// settleQuota ends an ask and counts what became of its claim.
func (e *Exchange) settleQuota(ctx context.Context, ask *quotaAsk, now time.Time) quota.Verdict {
	verdict, end := e.quota.settle(ask, e.Nodes(), ctx.Err() != nil, now)
	e.quota.awake()
	e.suspect(end.silent, now)
	e.logSettled(ask, verdict, end)
	if !verdict.Granted {
		verdict.RetryAfter = quota.Spread(verdict.RetryAfter, rand.Float64())
	}
	return verdict
}

func (q *quotaExchange) settle(ask *quotaAsk, nodes int, callerGone bool, now time.Time) (quota.Verdict, settled) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.asks, ask.id)
	ask.drain()
	end := settled{silent: ask.silent(now)}
	verdict := quota.Verdict{Asked: ask.count, Unanswered: len(ask.asked), Version: ask.claim.Version}
	switch {
	case ask.best != nil:
		end.back = q.meter.Heard(ask.account, ask.best.decision.Share)
		verdict = decidedBy(verdict, *ask.best)
	case !callerGone:
		private := q.meter.Private(ask.account, nodes, ask.claim.Cost, now)
		end.alone = private.First
		verdict.Private, verdict.Granted = true, private.Granted
		verdict.Level, verdict.RetryAfter = private.Level, private.Wait
	}
	switch {
	case verdict.Granted:
		q.meter.Take(ask.account, ask.claim.Cost, now)
	case len(ask.asked) > 0:
		q.meter.Void(ask.account, ask.claim.Cost, now)
	}
	return verdict, end
}

func decidedBy(verdict quota.Verdict, answer quotaAnswer) quota.Verdict {
	decision := answer.decision
	verdict.Granted, verdict.RetryAfter = decision.Granted, decision.Wait
	verdict.Keeper, verdict.Level, verdict.Reserved = answer.from.String(), decision.Level, decision.Reserved
	verdict.Version = decision.Version
	return verdict
}

// awake has the changed counters told.
func (q *quotaExchange) awake() {
	select {
	case q.wake <- struct{}{}:
	default: // it is awake already
	}
}

// suspect records that nodes gave no answer.
func (e *Exchange) suspect(silent []netip.AddrPort, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range silent {
		e.peers.suspect(address, now)
	}
}

func (e *Exchange) logSettled(ask *quotaAsk, verdict quota.Verdict, end settled) {
	entry := e.log.WithFields(logrus.Fields{
		"account": ask.account, "asked": verdict.Asked, "unanswered": verdict.Unanswered, "left": verdict.Level,
	})
	if end.alone {
		entry.Warn("no keeper of a quota answers: this node's own allowance decides")
	}
	if end.back {
		entry.Info("a keeper of a quota answers again")
	}
}

// ReturnQuota gives back what was charged for a request that proved not to have run.
func (e *Exchange) ReturnQuota(charge quota.Charge) {
	e.quota.mu.Lock()
	e.quota.meter.Return(charge.Account, charge.Cost)
	e.quota.mu.Unlock()
	e.quota.awake()
}

// RepeatQuota charges for another run of a request that may have run already.
func (e *Exchange) RepeatQuota(charge quota.Charge) {
	e.quota.mu.Lock()
	e.quota.meter.Take(charge.Account, charge.Cost, time.Now())
	e.quota.mu.Unlock()
	e.quota.awake()
}

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
// or have left.
func (e *Exchange) moveQuotas(now time.Time) {
	e.mu.Lock()
	generation := e.peers.generation
	e.mu.Unlock()
	q := e.quota
	q.mu.Lock()
	moved := q.generation != generation
	q.generation = generation
	accounts := q.keeper.Accounts()
	q.mu.Unlock()
	if !moved {
		return
	}
	kept := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		kept[account] = slices.Contains(e.quotaKeepers(account), e.peers.address)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Moved(func(account string) bool { return kept[account] }, now)
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

// quotaLeft records that a node stops as planned.
func (e *Exchange) quotaLeft(node string) {
	if e.quota == nil {
		return
	}
	e.quota.mu.Lock()
	defer e.quota.mu.Unlock()
	e.quota.keeper.Left(node)
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
