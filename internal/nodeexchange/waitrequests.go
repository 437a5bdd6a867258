package nodeexchange

import (
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// waitingRequest is a waiting request of this node.
type waitingRequest struct {
	waiter  waitlist.Waiter
	granted chan waitlist.Grant
	// holds is what the request was granted, without an engine if there is nothing, and
	// holdsFrom the arbiter.
	holds     waitlist.Grant
	holdsFrom netip.AddrPort
	// seen are the serial numbers of the last grants, by the incarnation of the arbiter.
	seen map[string]uint64
	// standings are the answers of the present arbiters, nil before the first one. told are all
	// nodes that know the request.
	standings map[netip.AddrPort]*waitlist.Standing
	told      map[netip.AddrPort]bool
}

func (q *waitQueue) join(w waitlist.Waiter, now time.Time) (number uint64, granted <-chan waitlist.Grant) {
	p := &waitingRequest{
		granted: make(chan waitlist.Grant, 1), told: make(map[netip.AddrPort]bool),
		standings: make(map[netip.AddrPort]*waitlist.Standing), seen: make(map[string]uint64),
	}
	q.locked(func() {
		q.lastNumber++
		number = q.lastNumber
		w.ID = waitlist.ID{Node: q.node, Number: number}
		w.Choices = w.Choices[:min(len(w.Choices), waitlist.MaxChoices)]
		p.waiter = w
		if len(q.requests) == 0 {
			q.nextRenewal = now.Add(waitlist.RenewInterval)
		}
		q.requests[number] = p
		q.ask(p, now)
	})
	q.signal()
	return number, p.granted
}

func (q *waitQueue) update(number uint64, choices []waitlist.Choice) {
	q.locked(func() {
		if p := q.requests[number]; p != nil {
			p.waiter.Choices = choices[:min(len(choices), waitlist.MaxChoices)]
		}
	})
}

func (q *waitQueue) standing(number uint64) (best waitlist.Standing, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.requests[number]
	if p == nil {
		return best, false
	}
	for _, standing := range p.standings {
		if standing == nil {
			return waitlist.Standing{}, false
		}
		if standing.Engine != "" && (!known || standing.Wait < best.Wait) {
			best, known = *standing, true
		}
	}
	return best, known
}

func (q *waitQueue) decline(number uint64) {
	q.locked(func() {
		p := q.requests[number]
		if p == nil || p.holds.Engine == "" {
			return
		}
		q.declineAt(p.holdsFrom, p, p.holds)
		p.holds = waitlist.Grant{}
		select {
		case <-p.granted: // it wasn't looked at
		default:
		}
		q.count(grantDeclined)
	})
}

// declineAt tells an arbiter that a grant isn't used.
func (q *waitQueue) declineAt(arbiter netip.AddrPort, p *waitingRequest, granted waitlist.Grant) {
	if arbiter == q.self {
		q.list.Decline(p.waiter.ID, granted.Engine, granted.Serial)
		return
	}
	message := q.messageTo(arbiter)
	message.Declined = append(message.Declined, wireWaitEnd{Number: p.waiter.ID.Number, Engine: granted.Engine, Serial: granted.Serial})
}

func (q *waitQueue) leave(number uint64, used string, now time.Time) {
	q.locked(func() {
		p := q.requests[number]
		if p == nil {
			return
		}
		delete(q.requests, number)
		if p.holds.Engine != "" {
			outcome := grantUnused
			if p.holds.Engine == used {
				outcome = grantUsed
			}
			q.count(outcome)
		}
		for arbiter := range p.told {
			if arbiter == q.self {
				q.list.Leave(p.waiter.ID, used, now)
				continue
			}
			message := q.messageTo(arbiter)
			message.Ended = append(message.Ended, wireWaitEnd{Number: number, Engine: used})
		}
	})
	q.signal()
}

// ask tells the arbiters of a request's choices that it waits, or at first only that of the engine
// that it prefers.
func (q *waitQueue) ask(p *waitingRequest, now time.Time) {
	silent := func(node netip.AddrPort) bool { return q.isSilent(node, now) }
	asked := make(map[netip.AddrPort]*waitlist.Waiter)
	for i, choice := range p.waiter.Choices {
		if p.waiter.Prefer != "" && choice.Engine != p.waiter.Prefer {
			continue
		}
		arbiter := q.arbiter(choice.Engine, silent, now)
		if asked[arbiter] == nil {
			w := p.waiter
			w.Choices = append([]waitlist.Choice(nil), w.Choices...)
			asked[arbiter] = &w
		}
		asked[arbiter].Choices[i].Here = true
	}
	standings := make(map[netip.AddrPort]*waitlist.Standing, len(asked))
	for arbiter, w := range asked {
		standings[arbiter] = p.standings[arbiter]
		p.told[arbiter] = true
		if arbiter != q.self {
			q.askNode(arbiter, *w, now)
		}
	}
	p.standings = standings
	if here := asked[q.self]; here != nil {
		here.Address, here.Sent = q.self, now.Sub(q.started)
		q.register([]waitlist.Waiter{*here}, now)
	}
}

// askNode adds a request to the message to an arbiter.
func (q *waitQueue) askNode(arbiter netip.AddrPort, w waitlist.Waiter, now time.Time) {
	message := q.messageTo(arbiter)
	message.Sent = now.Sub(q.started).Microseconds()
	message.Waiters = append(message.Waiters, renderWaiter(w, now))
	known := q.unanswered[arbiter]
	if known == nil {
		known = &arbiterState{}
		q.unanswered[arbiter] = known
	}
	if known.since.IsZero() {
		known.since = now
	}
}

// receiveGrant passes a grant to the request that waits for it. A request holds one at a time,
// and none that it has given back already.
func (q *waitQueue) receiveGrant(from netip.AddrPort, arbiter string, number uint64, granted waitlist.Grant) {
	p := q.requests[number]
	switch {
	case p == nil:
		q.count(grantEnded)
	case granted.Serial <= p.seen[arbiter]:
		q.count(grantDoubled)
	case p.holds.Engine != "":
		p.seen[arbiter] = granted.Serial
		q.count(grantDoubled)
		q.declineAt(from, p, granted)
	default:
		p.seen[arbiter] = granted.Serial
		p.holds, p.holdsFrom = granted, from
		p.granted <- granted
	}
}

// receiveStanding records what an arbiter expects for a request. If that is the arbiter of the
// engine that the request prefers, and it has not granted it, the others are asked.
func (q *waitQueue) receiveStanding(from netip.AddrPort, number uint64, standing waitlist.Standing, now time.Time) {
	p := q.requests[number]
	if p == nil {
		return
	}
	if _, asked := p.standings[from]; asked {
		p.standings[from] = &standing
	}
	if p.waiter.Prefer != "" && p.holds.Engine == "" {
		p.waiter.Prefer = ""
		q.ask(p, now)
	}
}

// receiveWireGrant passes on a grant of another node unless it has ended. The latest time at
// which it can have been given is known by this node's own clock: the answered message was sent
// at f.Sent, and arrived f.Age before.
func (q *waitQueue) receiveWireGrant(from netip.AddrPort, arbiter string, f wireGrant, now time.Time) {
	if f.Engine == "" {
		return // malformed
	}
	given := q.started.Add(time.Duration(f.Sent)*time.Microsecond + milliseconds(f.Age))
	until := given.Add(waitlist.GrantUse)
	if !now.Before(until) {
		q.count(grantLate)
		return
	}
	q.receiveGrant(from, arbiter, f.Number, waitlist.Grant{Engine: f.Engine, Until: until, Serial: f.Serial})
}
