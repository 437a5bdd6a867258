package nodeexchange

import (
	"context"
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// Late requests may wait for a prefill engine in an order over all nodes. The arbiter of an
// engine is the first of its homes that answers. It knows the engine's load and the requests
// that wait for it, and grants the engine to the first of them as soon as it is idle. All of
// this expires within a second: a new arbiter starts with an empty list, to which nodes add
// their requests with their next message.

// newExchangeWaits returns the waiting requests of an exchange.
func newExchangeWaits(e *Exchange) *waitQueue {
	return newWaitQueue(waitLinks{
		self: e.peers.address, node: e.node, started: e.started,
		send: func(to netip.AddrPort, message waitMessage) {
			e.sendTo(to, Message{Node: e.node, Waits: &message})
		},
		account: e.registry.PrefillQueue,
		arbiter: func(engine string, silent func(netip.AddrPort) bool, now time.Time) netip.AddrPort {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.peers.arbiter(engine, silent, now)
		},
		count: func(outcome grantOutcome) {
			if e.metrics != nil {
				e.metrics.grants.WithLabelValues(string(outcome)).Inc()
			}
		},
	})
}

// arbiter returns the first home of a worker that answers. It is this node if no other one does,
// also where this node isn't a home: it then knows only its own load.
func (s *peerSet) arbiter(worker string, silent func(netip.AddrPort) bool, now time.Time) netip.AddrPort {
	for _, home := range s.homes(worker) {
		if home == s.address || !s.isUnresponsive(home, now) && !silent(home) {
			return home
		}
	}
	return s.address
}

// runWaits sends and decides what is due, until ctx ends.
func (e *Exchange) runWaits(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.waits.wake:
		case <-timer.C:
		}
		if e.waits.step(time.Now()) {
			timer.Reset(waitStep)
		}
	}
}

// JoinWait makes a request wait for engines. It returns the number by which the other methods
// know it, and a channel that receives the engine that it is granted. The request must end its
// wait with LeaveWait.
func (e *Exchange) JoinWait(w waitlist.Waiter) (number uint64, granted <-chan waitlist.Grant) {
	return e.waits.join(w, time.Now())
}

// UpdateWait replaces the engines for which a request waits.
func (e *Exchange) UpdateWait(number uint64, choices []waitlist.Choice) {
	e.waits.update(number, choices)
}

// WaitStanding returns what is expected for a waiting request at the engine that becomes free
// for it first. It returns false until all arbiters have answered.
func (e *Exchange) WaitStanding(number uint64) (waitlist.Standing, bool) {
	return e.waits.standing(number)
}

// DeclineWait gives back the engine that a request was granted, and that can't be used now. The
// request waits on.
func (e *Exchange) DeclineWait(number uint64) { e.waits.decline(number) }

// LeaveWait ends a request's wait. used is the engine that it was granted and uses, empty if
// there is none.
func (e *Exchange) LeaveWait(number uint64, used string) { e.waits.leave(number, used, time.Now()) }
