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

// Workers in need take no more than so many requests a second from all nodes together. What
// each has said is told to the nodes that keep its account; these also count what all nodes
// send there, as tenants' quotas are counted: a node asks for its turn before it sends.

// The figures of turns.
const (
	// turnKeepers is the most nodes that count a worker's requests, as for a tenant's quota.
	turnKeepers = quotaKeeperCount
	// turnBurst is how many requests a worker takes at once that got none for a while.
	turnBurst = 1
	// limitTimeSlack is by how much earlier than told a worker may have been asked: the longest way
	// of a message between two nodes as a rule.
	limitTimeSlack = 50 * time.Millisecond
	// maxLimitsPerMessage bounds the limits in one message: of some 80 bytes each, they stay below
	// maxDatagram.
	maxLimitsPerMessage = 150
)

// wireLimit is a worker.LimitStatement, with its times as ages in milliseconds.
type wireLimit struct {
	Named       bool    `json:"n,omitempty"`
	Rate        float64 `json:"r,omitempty"`
	SentMillis  int64   `json:"s"`
	HeardMillis int64   `json:"h"`
}

func renderLimit(said worker.LimitStatement, now time.Time) wireLimit {
	return wireLimit{
		Named: said.Named, Rate: said.Rate,
		SentMillis: now.Sub(said.Sent).Milliseconds(), HeardMillis: now.Sub(said.Heard).Milliseconds(),
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
	for id, said := range limits {
		if rendered == nil {
			rendered = make(map[string]wireLimit, len(limits))
		}
		rendered[id] = renderLimit(said, now)
	}
	return rendered
}

// receiveLimits takes in what workers said to other nodes.
func (e *Exchange) receiveLimits(node string, limits map[string]wireLimit, now time.Time) {
	for id, form := range limits {
		e.registry.MergeLimit(id, node, form.statement(now))
	}
}

// shareLimits tells a node that is heard for the first time, or again, of the limits of the
// workers whose accounts it keeps.
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

// SetTurns has the exchange count the requests to workers that take no more than so many a
// second, with what these bear beyond that. It is called before Run.
func (e *Exchange) SetTurns(tolerance quota.Tolerance) {
	e.turns = newQuotaExchange(e, accountKind{
		tolerance: tolerance, keepers: (*peerSet).turnKeepers,
		message: func(form *quotaMessage) Message { return Message{Node: e.node, Turns: form} },
		limits:  &turnLimits{registry: e.registry},
	})
}

// turnKeepers returns the nodes that count the requests to a worker: the first of those that
// keep its account, since these are told what it says.
func (s *peerSet) turnKeepers(account string) []netip.AddrPort {
	homes := s.homes(workerOfAccount(account))
	return homes[:min(len(homes), turnKeepers)]
}

// turnCharge is that of one request to a worker.
func turnCharge(id string) quota.Charge {
	return quota.Charge{Account: quota.AccountName(id, quota.Requests), Cost: 1}
}

// workerOfAccount is the worker whose requests an account counts.
func workerOfAccount(account string) string {
	return strings.TrimPrefix(account, quota.AccountName("", quota.Requests))
}

// TakeTurn asks for a request's turn at a worker, for which it can wait for a time. A turn that
// was given is the request's alone: it is sent after the verdict's delay, or given back.
func (e *Exchange) TakeTurn(ctx context.Context, id string, patience time.Duration) quota.Outcome {
	limit, version := e.turns.limits.of(id)
	return e.turns.charge(ctx, quota.ChargeRequest{Tenant: id, Limit: limit, Version: version, Cost: 1, Patience: patience})
}

// IsFirstTurnKeeper reports whether this node is the first of those that count a worker's requests
// and aren't out of reach.
func (e *Exchange) IsFirstTurnKeeper(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, keeper := range e.peers.turnKeepers(turnCharge(id).Account) {
		if keeper == e.peers.address {
			return true
		}
		if known, exists := e.peers.peers[keeper]; exists && known.present && !e.peers.suspected(keeper, now) {
			return false
		}
	}
	return false
}

// ReturnTurn gives a turn back that was not used: the worker got nothing.
func (e *Exchange) ReturnTurn(id string) { e.turns.refund(turnCharge(id)) }

// CountTurn counts a request that a worker gets without its turn, if it has a limit.
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

// turnLimits are the limits that workers have named, as accounts have them. A nil turnLimits
// knows none: the nodes that ask tell them.
type turnLimits struct{ registry *worker.Registry }

// of returns a worker's limit, and a version that is this node's own.
func (l *turnLimits) of(id string) (quota.Limit, uint64) {
	said, version, _ := l.registry.Limit(id)
	return limitOf(said.Rate), version
}

func limitOf(perSecond float64) quota.Limit {
	return quota.Limit{Rate: max(perSecond, worker.MinRate), Burst: turnBurst, Unit: quota.Requests}
}

// apply puts the limit that is known here in the place of the one that a report tells: versions
// of different nodes can't be compared. It reports whether the account has a limit.
func (l *turnLimits) apply(account string, report *quota.Report) (limited bool) {
	if l == nil {
		return true
	}
	said, version, known := l.registry.Limit(workerOfAccount(account))
	switch {
	case !known:
		report.Version = 0 // any that becomes known here replaces it
		return true
	case !said.Named:
		report.Version = 0
		return false
	}
	report.Limit, report.Version = limitOf(said.Rate), version
	return true
}

// currentLimit tells what is known of an account's limit, nil where nothing is.
func (l *turnLimits) currentLimit(account string, now time.Time) *wireLimit {
	if l == nil {
		return nil
	}
	said, _, _ := l.registry.Limit(workerOfAccount(account))
	if said.Heard.IsZero() {
		return nil
	}
	form := renderLimit(said, now)
	return &form
}

// receive takes in what another node knows of an account's limit.
func (l *turnLimits) receive(account, node string, form *wireLimit, now time.Time) {
	if l != nil && form != nil {
		l.registry.MergeLimit(workerOfAccount(account), node, form.statement(now))
	}
}
