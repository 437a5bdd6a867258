package nodeexchange

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
)

// Times and bounds of the exchange about quotas.
const (
	// quotaKeeperTimeout is how long a keeper's answer is waited for before the next keeper is
	// asked too; the same as askTimeout.
	quotaKeeperTimeout = askTimeout
	// quotaTotalTimeout is how long the answer of any keeper is waited for: four times
	// quotaKeeperTimeout, a tenth of the shortest objectives.
	quotaTotalTimeout = 4 * quotaKeeperTimeout
	// quotaReportInterval is the time between two reports of a recently used account even if
	// nothing has changed. keeperReportInterval is the time between two reports of its keepers
	// to each other.
	quotaReportInterval  = time.Second
	keeperReportInterval = 500 * time.Millisecond
	// probeAfter is how long a keeper must be silent before another one probes the nodes that
	// use the account: as soon as one report is late, so that two probes can be answered before
	// quota.SilentAfter.
	probeAfter = keeperReportInterval + 100*time.Millisecond
	// maxQuotaReports bounds the reports in one datagram: at up to 200 bytes each, they stay
	// below maxDatagram.
	maxQuotaReports = 80
)

// accountKind tells apart the accounts of tenants' quotas from those of workers' request
// limits.
type accountKind struct {
	// tolerance is by how much limits may be exceeded.
	tolerance quota.Tolerance
	// keepers returns the keepers of an account, in the order in which they are to be asked.
	// The caller must hold the lock of the exchange.
	keepers func(peers *peerSet, account string) []netip.AddrPort
	// message wraps a quotaMessage for another node.
	message func(form *quotaMessage) Message
	// limits holds the limits that this node knows of accounts. It is nil where the asking
	// nodes send the limits, which they have from their configuration.
	limits *turnLimits
}

// quotaExchange is this node's part in accounting of one kind: tenants' quotas, or turns at
// workers that limit their requests per second. The node may be a keeper of an account, which
// decides charges to it, a user of it, or both.
type quotaExchange struct {
	accountKind
	exchange *Exchange
	// wake receives a token when this node's own counters have changed.
	wake chan struct{}

	mu     sync.Mutex
	keeper *quota.Keeper
	meter  *quota.Meter
	// pendingCharges are the charges that wait for answers of keepers, by ID.
	pendingCharges map[uint64]*pendingCharge
	lastCharge     uint64
	// heard is when the last message about accounts of this kind arrived, by node, and
	// lastHeard when the last one of any node did.
	heard     map[netip.AddrPort]time.Time
	lastHeard time.Time
	// lastInUse is when accounts were last in use on this node, so that reports of other nodes
	// were due.
	lastInUse time.Time
	// lastRan is when this process last recorded that it runs, by clock.Boottime.
	lastRan time.Time
	// generation is the generation of the nodes by which the keeper's accounts were last
	// selected.
	generation uint64
	// coldKeepers tells since when cold keepers have known all usage of accounts.
	coldKeepers coldKeepers
	// reserving holds the accounts of which a part is reserved for silent nodes.
	reserving map[string]bool
}

// SetQuota turns on the accounting of tenants' quotas. It must be called before Run.
func (e *Exchange) SetQuota(tolerance quota.Tolerance) {
	e.quota = newQuotaExchange(e, accountKind{
		tolerance: tolerance, keepers: (*peerSet).quotaKeepers,
		message: func(form *quotaMessage) Message { return Message{Node: e.node, Quota: form} },
	})
}

func newQuotaExchange(e *Exchange, kind accountKind) *quotaExchange {
	return &quotaExchange{
		accountKind: kind, exchange: e, wake: make(chan struct{}, 1),
		keeper: quota.NewKeeper(kind.tolerance, e.started), meter: quota.NewMeter(kind.tolerance),
		pendingCharges: make(map[uint64]*pendingCharge), heard: make(map[netip.AddrPort]time.Time), reserving: make(map[string]bool), coldKeepers: make(coldKeepers),
	}
}

// quotas returns the exchanges of all kinds of accounts that are turned on.
func (e *Exchange) quotas() []*quotaExchange {
	var kinds []*quotaExchange
	for _, q := range []*quotaExchange{e.quota, e.turns} {
		if q != nil {
			kinds = append(kinds, q)
		}
	}
	return kinds
}

// pendingCharge is a charge that is being decided by the keepers of its account.
type pendingCharge struct {
	id      uint64
	request quota.ChargeRequest
	account string
	report  quota.Report
	// keepers are in the order in which they are asked. allUnresponsive tells that none of them
	// answered when it was last asked.
	keepers         []netip.AddrPort
	unresponsive    map[netip.AddrPort]bool
	allUnresponsive bool
	// asked holds when each keeper was asked, for those that haven't answered.
	asked map[netip.AddrPort]time.Time
	// extraWait is how much longer than within the region to wait for each keeper's answer.
	extraWait map[netip.AddrPort]time.Duration
	// count is the number of keepers asked, and answered the number of those that answered.
	count, answered int
	answers         chan quotaAnswer
	// best is the answer so far of the keeper that knows most, and anyGranted tells that some
	// keeper has granted the charge.
	best       *quotaAnswer
	anyGranted bool
}

// quotaAnswer is a keeper's decision.
type quotaAnswer struct {
	from     netip.AddrPort
	decision quota.Decision
}

// final reports whether no other keeper needs to be asked: what a cold keeper decides, which
// doesn't know yet what was used, isn't final.
func (a quotaAnswer) final() bool { return !a.decision.Cold }

// knowsMoreThan reports whether the keeper of an answer knows more usage than that of another.
func (a quotaAnswer) knowsMoreThan(other quotaAnswer) bool {
	if a.decision.Cold && other.decision.Cold {
		return a.decision.KnownFor-other.decision.KnownFor >= minMoreKnown
	}
	return other.decision.Cold
}

// ChargeQuota charges the cost of a request to a tenant's account.
func (e *Exchange) ChargeQuota(ctx context.Context, request quota.ChargeRequest) quota.Outcome {
	return e.quota.charge(ctx, request)
}

// charge asks the keepers of an account to decide a charge. It asks the next keeper if one
// doesn't answer in time or decides without knowing what was used. If none answers, this node's
// own allowance decides.
func (q *quotaExchange) charge(ctx context.Context, request quota.ChargeRequest) quota.Outcome {
	begun := time.Now()
	pending := q.beginCharge(request, begun)
	for i, keeper := range pending.keepers {
		if q.knowsNoMore(pending, keeper) || pending.anyGranted && pending.unresponsive[keeper] {
			continue
		}
		q.askKeeper(pending, keeper)
		last := i == len(pending.keepers)-1
		if pending.allUnresponsive && !last {
			continue
		}
		timeout := pending.timeout(keeper)
		if last && !pending.allUnresponsive && !pending.anyGranted {
			timeout = max(quotaTotalTimeout+pending.extraWait[keeper]-time.Since(begun), timeout)
		}
		if pending.await(ctx, timeout) {
			break
		}
	}
	verdict := q.finishCharge(ctx, pending, time.Now())
	verdict.Took = time.Since(begun)
	return verdict
}

// timeout returns how long to wait for one keeper's answer.
func (a *pendingCharge) timeout(keeper netip.AddrPort) time.Duration {
	return quotaKeeperTimeout + a.extraWait[keeper]
}

// beginCharge registers a charge and selects the keepers to be asked, those that know less than
// others late and the unresponsive ones last.
func (q *quotaExchange) beginCharge(request quota.ChargeRequest, now time.Time) *pendingCharge {
	account := request.Charge().Account
	pending := &pendingCharge{
		request: request, account: account, asked: make(map[netip.AddrPort]time.Time),
		answers: make(chan quotaAnswer, quotaKeeperCount), extraWait: make(map[netip.AddrPort]time.Duration),
		unresponsive: make(map[netip.AddrPort]bool),
	}
	q.exchange.mu.Lock()
	var unresponsive []netip.AddrPort
	for _, keeper := range q.keepers(q.exchange.peers, account) {
		pending.extraWait[keeper] = q.exchange.extraWait(q.exchange.peers.regionOf(keeper))
		if q.exchange.peers.isUnresponsive(keeper, now) {
			unresponsive = append(unresponsive, keeper)
			pending.unresponsive[keeper] = true
		} else {
			pending.keepers = append(pending.keepers, keeper)
		}
	}
	q.exchange.mu.Unlock()
	pending.allUnresponsive = len(pending.keepers) == 0
	q.mu.Lock()
	defer q.mu.Unlock()
	pending.keepers = append(q.coldKeepers.demote(account, pending.keepers), unresponsive...)
	pending.report = q.meter.Begin(account, request.Limit, request.Version, now)
	q.lastCharge++
	pending.id = q.lastCharge
	q.pendingCharges[pending.id] = pending
	return pending
}

// askKeeper asks one keeper, which may be this node.
func (q *quotaExchange) askKeeper(pending *pendingCharge, keeper netip.AddrPort) {
	now := time.Now()
	pending.count++
	if keeper == q.exchange.peers.address {
		decision := q.decide(quota.DecisionRequest{
			Account: pending.account, From: q.self(), Report: pending.report, Cost: pending.request.Cost, Patience: pending.request.Patience,
		}, now)
		q.mu.Lock()
		q.coldKeepers.record(pending.account, keeper, decision, now)
		q.mu.Unlock()
		pending.answers <- quotaAnswer{from: keeper, decision: decision}
		return
	}
	q.mu.Lock()
	pending.asked[keeper] = now
	q.mu.Unlock()
	form := &wireQuotaRequest{
		ID: pending.id, Account: pending.account, Cost: pending.request.Cost, PatienceMillis: pending.request.Patience.Milliseconds(),
		Report: renderQuotaReport(pending.report), Limit: q.limits.currentLimit(pending.account, now),
	}
	q.exchange.sendTo(keeper, q.message(&quotaMessage{Ask: form}))
}

// self identifies this node as a user of accounts.
func (q *quotaExchange) self() quota.Spender {
	return quota.Spender{Node: q.exchange.node, Address: q.exchange.peers.address}
}

// await processes answers until one is final, all keepers asked so far have answered, or the
// timeout ends. It reports whether no other keeper is to be asked.
func (a *pendingCharge) await(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
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

// take keeps the answer of the keeper that knows more, or else the one that grants the charge.
func (a *pendingCharge) take(answer quotaAnswer) {
	a.answered++
	a.anyGranted = a.anyGranted || answer.decision.Granted
	switch {
	case a.best == nil || answer.knowsMoreThan(*a.best):
		a.best = &answer
	case !a.best.knowsMoreThan(answer) && answer.decision.Granted:
		a.best = &answer
	}
}

// drain processes the answers that have arrived already.
func (a *pendingCharge) drain() {
	for {
		select {
		case answer := <-a.answers:
			a.take(answer)
		default:
			return
		}
	}
}

// silent returns the keepers that haven't answered within their timeouts.
func (a *pendingCharge) silent(now time.Time) []netip.AddrPort {
	var silent []netip.AddrPort
	for keeper, at := range a.asked {
		if now.Sub(at) >= a.timeout(keeper) {
			silent = append(silent, keeper)
		}
	}
	return silent
}

// chargeResult is what a charge revealed about the keepers, for the log.
type chargeResult struct {
	// alone tells that this node has begun to decide without a keeper, and back that keepers
	// answer again.
	alone, back bool
	silent      []netip.AddrPort
}

// finishCharge ends a charge, logs what it revealed about the keepers, and returns its outcome.
func (q *quotaExchange) finishCharge(ctx context.Context, pending *pendingCharge, now time.Time) quota.Outcome {
	verdict, result := q.finish(pending, q.exchange.Nodes(), ctx.Err() != nil, now)
	q.wakeReporter()
	q.exchange.markUnresponsive(result.silent, now)
	q.logResult(pending, verdict, result)
	if !verdict.Granted {
		verdict.RetryAfter = quota.AddJitter(verdict.RetryAfter, rand.Float64())
	}
	return verdict
}

// finish ends a pending charge: it determines the outcome, by this node's own allowance if no
// keeper has answered, and counts what was granted.
func (q *quotaExchange) finish(pending *pendingCharge, nodes int, callerGone bool, now time.Time) (quota.Outcome, chargeResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pendingCharges, pending.id)
	pending.drain()
	result := chargeResult{silent: pending.silent(now)}
	verdict := quota.Outcome{Asked: pending.count, Unanswered: len(pending.asked), Version: pending.request.Version}
	switch {
	case pending.best != nil:
		result.back = q.meter.SetShare(pending.account, pending.best.decision.Share, now)
		verdict = outcomeOf(verdict, *pending.best)
	case !callerGone:
		private := q.meter.DecidePrivately(pending.account, nodes, pending.request.Cost, rand.Float64(), now)
		result.alone = private.First
		verdict.Private, verdict.Granted = true, private.Granted
		verdict.Level, verdict.RetryAfter = private.Level, private.Wait
	}
	switch {
	case verdict.Granted:
		q.meter.Take(pending.account, pending.request.Cost, now)
	case len(pending.asked) > 0 || pending.anyGranted:
		q.meter.TakeAndRefund(pending.account, pending.request.Cost, now)
	}
	return verdict, result
}

func outcomeOf(verdict quota.Outcome, answer quotaAnswer) quota.Outcome {
	decision := answer.decision
	verdict.Granted, verdict.RetryAfter = decision.Granted, decision.Wait
	verdict.Keeper, verdict.Level, verdict.Reserved = answer.from.String(), decision.Level, decision.Reserved
	verdict.Version, verdict.Delay, verdict.Next = decision.Version, decision.Delay, decision.Next
	return verdict
}

// wakeReporter lets reportAll report the changed counters.
func (q *quotaExchange) wakeReporter() {
	select {
	case q.wake <- struct{}{}:
	default: // a token is waiting already
	}
}

// markUnresponsive records that nodes didn't answer.
func (e *Exchange) markUnresponsive(silent []netip.AddrPort, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range silent {
		e.peers.markUnresponsive(address, now)
	}
}

func (q *quotaExchange) logResult(pending *pendingCharge, verdict quota.Outcome, result chargeResult) {
	entry := q.exchange.log.WithFields(logrus.Fields{
		"account": pending.account, "asked": verdict.Asked, "unanswered": verdict.Unanswered, "left": verdict.Level,
	})
	if result.alone {
		entry.Warn("no keeper of a quota answers: this node's own allowance decides")
	}
	if result.back {
		entry.Info("a keeper of a quota answers again")
	}
}

// ReturnQuota refunds what was charged for a request that turned out not to have run.
func (e *Exchange) ReturnQuota(charge quota.Charge) {
	e.quota.refund(charge)
}

func (q *quotaExchange) refund(charge quota.Charge) {
	q.mu.Lock()
	q.meter.Refund(charge.Account, charge.Cost)
	q.mu.Unlock()
	q.wakeReporter()
}

// RecordQuotaCharge charges for another run of a request that may have run before, without
// asking a keeper.
func (e *Exchange) RecordQuotaCharge(charge quota.Charge) {
	e.quota.record(charge, time.Now())
}

// record counts a charge without asking a keeper.
func (q *quotaExchange) record(charge quota.Charge, now time.Time) {
	q.mu.Lock()
	q.meter.Take(charge.Account, charge.Cost, now)
	q.mu.Unlock()
	q.wakeReporter()
}
