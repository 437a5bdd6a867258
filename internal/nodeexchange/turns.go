package nodeexchange

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/worker"
)

// Overloaded workers may limit the requests per second that they take from all nodes together.
// The limit that a worker states is reported to the nodes that track its load. Some of these
// also count the requests that all nodes send to the worker, in the same way as tenants' quotas
// are counted: before it sends a request, a node asks them for a turn, which is a rate-limit
// slot.

// Numbers and times of turns.
const (
	// turnKeepers is the largest number of keepers of a worker's turns, which count its
	// requests; the same as for a tenant's quota.
	turnKeepers = quotaKeeperCount
	// turnBurst is the burst of a worker's limit: an idle worker is sent one request at once.
	turnBurst = 1
	// limitTimeSlack is subtracted from the time at which the request was sent whose response
	// stated the limit. That time is computed from the age in a message, which doesn't include
	// the message's transit time; between two nodes this is usually no longer than the slack.
	limitTimeSlack = 50 * time.Millisecond
	// maxLimitsPerMessage bounds the limits in one message: at some 80 bytes each, they stay
	// below maxDatagram.
	maxLimitsPerMessage = 150
)

// wireLimit is a worker.LimitStatement with its times as ages in milliseconds.
type wireLimit struct {
	Named       bool    `json:"n,omitempty"`
	Rate        float64 `json:"r,omitempty"`
	SentMillis  int64   `json:"s"`
	HeardMillis int64   `json:"h"`
}

func renderLimit(stated worker.LimitStatement, now time.Time) wireLimit {
	return wireLimit{
		Named: stated.Named, Rate: stated.Rate,
		SentMillis: now.Sub(stated.Sent).Milliseconds(), HeardMillis: now.Sub(stated.Heard).Milliseconds(),
	}
}

func (f wireLimit) statement(now time.Time) worker.LimitStatement {
	return worker.LimitStatement{
		Named: f.Named, Rate: f.Rate,
		Sent:  now.Add(-time.Duration(f.SentMillis)*time.Millisecond - limitTimeSlack),
		Heard: now.Add(-time.Duration(f.HeardMillis) * time.Millisecond),
	}
}

func renderLimits(limits map[string]worker.LimitStatement, now time.Time) map[string]wireLimit {
	var rendered map[string]wireLimit
	for id, stated := range limits {
		if rendered == nil {
			rendered = make(map[string]wireLimit, len(limits))
		}
		rendered[id] = renderLimit(stated, now)
	}
	return rendered
}

// receiveLimits records the limits that workers stated to another node.
func (e *Exchange) receiveLimits(node string, limits map[string]wireLimit, now time.Time) {
	for id, form := range limits {
		e.registry.MergeLimit(id, node, form.statement(now))
	}
}

// shareLimits sends a node that is heard for the first time, or again after a silence, the
// limits of the workers that it is a home of.
func (e *Exchange) shareLimits(with netip.AddrPort) {
	limited := e.registry.LimitedWorkers()
	e.mu.Lock()
	limited = slices.DeleteFunc(limited, func(id string) bool { return !slices.Contains(e.peers.homes(id), with) })
	e.mu.Unlock()
	for part := range slices.Chunk(limited, maxLimitsPerMessage) {
		limits := renderLimits(e.registry.Limits(part), time.Now())
		e.sendTo(with, Message{Node: e.node, Reply: &reply{Limits: limits}})
	}
}

// SetTurns turns on the accounting of requests to workers that limit their requests per second,
// with the tolerance that they have beyond their limits. It must be called before Run.
func (e *Exchange) SetTurns(tolerance quota.Tolerance) {
	e.turns = newQuotaExchange(e, accountKind{
		tolerance: tolerance, keepers: (*peerSet).turnKeepers,
		message: func(form *quotaMessage) Message { return Message{Node: e.node, Turns: form} },
		limits:  &turnLimits{registry: e.registry},
	})
}

// turnKeepers returns the nodes that count the requests to a worker: the first of its homes,
// since these are told the limit that the worker states.
func (s *peerSet) turnKeepers(account string) []netip.AddrPort {
	homes := s.homes(workerOfAccount(account))
	return homes[:min(len(homes), turnKeepers)]
}

// turnCharge returns the charge for one request to a worker.
func turnCharge(id string) quota.Charge {
	return quota.Charge{Account: quota.AccountName(id, quota.Requests), Cost: 1}
}

// workerOfAccount returns the worker whose requests an account counts.
func workerOfAccount(account string) string {
	return strings.TrimPrefix(account, quota.AccountName("", quota.Requests))
}

// TakeTurn asks for a turn at a worker for a request that can wait for the given time. A
// granted turn belongs to the request: the request is sent after the delay in the outcome, or
// the turn must be returned.
func (e *Exchange) TakeTurn(ctx context.Context, id string, patience time.Duration) quota.Outcome {
	limit, version := e.turns.limits.of(id)
	return e.turns.charge(ctx, quota.ChargeRequest{Tenant: id, Limit: limit, Version: version, Cost: 1, Patience: patience})
}

// IsFirstTurnKeeper reports whether this node is the first reachable keeper of a worker's
// turns.
func (e *Exchange) IsFirstTurnKeeper(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, keeper := range e.peers.turnKeepers(turnCharge(id).Account) {
		if keeper == e.peers.address {
			return true
		}
		if known, exists := e.peers.peers[keeper]; exists && known.present && !e.peers.isUnresponsive(keeper, now) {
			return false
		}
	}
	return false
}

// ReturnTurn returns an unused turn: the worker got no request.
func (e *Exchange) ReturnTurn(id string) { e.turns.refund(turnCharge(id)) }

// CountTurn counts a request that is sent to a worker without a turn, if the worker has a
// limit.
func (e *Exchange) CountTurn(id string) {
	if !e.registry.HasLimit(id) {
		return
	}
	now := time.Now()
	limit, version := e.turns.limits.of(id)
	e.turns.mu.Lock()
	e.turns.meter.Begin(turnCharge(id).Account, limit, version, now)
	e.turns.mu.Unlock()
	e.turns.record(turnCharge(id), now)
}

// turnLimits are the limits that workers have stated, as limits of accounts. A nil turnLimits
// knows none: the asking nodes send the limits.
type turnLimits struct{ registry *worker.Registry }

// of returns a worker's limit with its version, which is valid on this node only.
func (l *turnLimits) of(id string) (quota.Limit, uint64) {
	stated, version, _ := l.registry.Limit(id)
	return limitFor(stated.Rate), version
}

func limitFor(perSecond float64) quota.Limit {
	return quota.Limit{Rate: max(perSecond, worker.MinRate), Burst: turnBurst, Unit: quota.Requests}
}

// apply replaces the limit in a report by the one that this node knows, since versions of
// different nodes can't be compared. It returns false only if the worker is known to have no
// limit. Without a turnLimits, or if nothing is known of the worker, the limit in the report
// applies.
func (l *turnLimits) apply(account string, report *quota.Report) (limited bool) {
	if l == nil {
		return true
	}
	stated, version, known := l.registry.Limit(workerOfAccount(account))
	switch {
	case !known:
		report.Version = 0 // any limit that becomes known here replaces it
		return true
	case !stated.Named:
		report.Version = 0
		return false
	}
	report.Limit, report.Version = limitFor(stated.Rate), version
	return true
}

// currentLimit returns what this node knows of an account's limit, or nil if it knows nothing.
func (l *turnLimits) currentLimit(account string, now time.Time) *wireLimit {
	if l == nil {
		return nil
	}
	stated, _, _ := l.registry.Limit(workerOfAccount(account))
	if stated.Heard.IsZero() {
		return nil
	}
	form := renderLimit(stated, now)
	return &form
}

// receive records what another node knows of an account's limit.
func (l *turnLimits) receive(account, node string, form *wireLimit, now time.Time) {
	if l != nil && form != nil {
		l.registry.MergeLimit(workerOfAccount(account), node, form.statement(now))
	}
}
