package nodeexchange

import (
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// register puts requests on the list, grants what they can be granted, and answers them.
func (q *waitQueue) register(waiters []waitlist.Waiter, now time.Time) {
	q.list.Expire(now)
	account := q.accountAt(now)
	var engines []string
	for _, w := range waiters {
		if !q.list.Register(w, now) {
			continue
		}
		for _, choice := range w.Choices {
			if choice.Here {
				engines = append(engines, choice.Engine)
			}
		}
	}
	q.grantIdle(engines, now)
	for _, w := range waiters {
		standing, _ := q.list.Standing(w.ID, account, now)
		if w.Address == q.self {
			q.receiveStanding(q.self, w.ID.Number, standing, now)
			continue
		}
		message := q.messageTo(w.Address)
		message.Standings = append(message.Standings, wireStanding{
			Number: w.ID.Number, Engine: standing.Engine, Ahead: standing.Ahead, Wait: standing.Wait.Milliseconds(),
		})
	}
}

// grantIdle grants those of the engines that are idle.
func (q *waitQueue) grantIdle(engines []string, now time.Time) {
	account := q.accountAt(now)
	for _, engine := range engines {
		q.deliver(q.list.Next(engine, account, now))
	}
}

// accountAt returns the accounts of engines at a time, each computed once.
func (q *waitQueue) accountAt(now time.Time) waitlist.Account {
	type account struct {
		queue  time.Duration
		usable bool
	}
	accounts := make(map[string]account)
	return func(engine string) (time.Duration, bool) {
		known, computed := accounts[engine]
		if !computed {
			known.queue, known.usable = q.account(engine, now)
			accounts[engine] = known
		}
		return known.queue, known.usable
	}
}

// deliver tells a request's node of a grant.
func (q *waitQueue) deliver(granted waitlist.Grant, ok bool) {
	switch {
	case !ok:
	case granted.To.Address == q.self:
		q.receiveGrant(q.self, q.node, granted.To.ID.Number, granted)
	default:
		message := q.messageTo(granted.To.Address)
		message.Grants = append(message.Grants, wireGrant{
			Number: granted.To.ID.Number, Engine: granted.Engine, Serial: granted.Serial,
			Sent: granted.To.Sent.Microseconds(), Age: granted.Age.Milliseconds(),
		})
	}
}

// receive processes a message of another node.
func (q *waitQueue) receive(from netip.AddrPort, node string, message waitMessage, now time.Time) {
	q.locked(func() {
		for _, ended := range message.Ended {
			q.list.Leave(waitlist.ID{Node: node, Number: ended.Number}, ended.Engine, now)
		}
		for _, declined := range message.Declined {
			q.list.Decline(waitlist.ID{Node: node, Number: declined.Number}, declined.Engine, declined.Serial)
		}
		if len(message.Waiters) > 0 {
			q.register(parseWaiters(message, node, from, now), now)
		}
		if len(message.Standings) > 0 || len(message.Grants) > 0 {
			delete(q.unanswered, from)
		}
		for _, f := range message.Grants {
			q.receiveWireGrant(from, node, f, now)
		}
		for _, f := range message.Standings {
			q.receiveStanding(from, f.Number, waitlist.Standing{Engine: f.Engine, Ahead: f.Ahead, Wait: milliseconds(f.Wait)}, now)
		}
	})
	if len(message.Ended) > 0 || len(message.Declined) > 0 {
		q.signal()
	}
}

func parseWaiters(message waitMessage, node string, from netip.AddrPort, now time.Time) []waitlist.Waiter {
	waiters := make([]waitlist.Waiter, 0, len(message.Waiters))
	for _, f := range message.Waiters {
		waiters = append(waiters, f.waiter(node, from, message.Sent, now))
	}
	return waiters
}
