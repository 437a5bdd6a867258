// Package waitlist orders the requests of all nodes that wait for a prefill engine. Each engine
// has an arbiter, a node that knows its load and keeps such a list: it grants the engine to the
// first request as soon as nothing else is queued there. The package is pure: it does no I/O
// and reads no clock.
package waitlist

import (
	"cmp"
	"net/netip"
	"time"
)

// Times of waiting requests.
const (
	// RenewInterval is the shortest time after which a node tells arbiters again that a request
	// waits, and RenewSpread the time over which nodes spread the next message. It is a few
	// times the age of the load information that nodes have of each other.
	RenewInterval = 100 * time.Millisecond
	RenewSpread   = 50 * time.Millisecond
	// WaiterLife is for how long a request counts as waiting after its node has told so: one
	// message may be lost.
	WaiterLife = 2*(RenewInterval+RenewSpread) + 50*time.Millisecond
	// GrantUse is for how long a grant may be used, and GrantLife for how long the engine is
	// granted to nobody else. In the time between them the load of the request shows in the
	// engine's account: its node plans within 15 ms and reports the load within another 25 ms.
	GrantUse  = 100 * time.Millisecond
	GrantLife = 150 * time.Millisecond
)

// MaxChoices is the largest number of engines for which one request waits.
const MaxChoices = 8

// ID identifies a waiting request: the incarnation of its node, and a number that the node
// gives to no other request.
type ID struct {
	Node   string
	Number uint64
}

// Choice is an engine for which a request waits.
type Choice struct {
	Engine string
	// Latest is the time after which the request could no longer be served there while its
	// caller stays.
	Latest time.Time
	// Here tells that the request waits for the engine at this arbiter.
	Here bool
}

// Waiter is a waiting request.
type Waiter struct {
	ID ID
	// Rank is the urgency of the request, zero being the most urgent.
	Rank int
	// Tenant is the owner of the request, empty if it has none, and Tokens the part of the
	// prompt that is to be prefilled.
	Tenant string
	Tokens int
	// Need is the time that the prefill takes at an idle engine.
	Need time.Duration
	// IdleBelow is the time that an engine needs for its queue up to which it counts as idle.
	IdleBelow time.Duration
	// Choices are the engines for which the request waits, the best one first.
	Choices []Choice
	// Prefer is the engine for which the request's node asks first, empty if there is none.
	Prefer string
	// Address is where the request's node is told of a grant, and Sent the time of its message
	// by its own clock.
	Address netip.AddrPort
	Sent    time.Duration
}

// choice returns the waiter's choice of an engine.
func (w Waiter) choice(engine string) (Choice, bool) {
	for _, choice := range w.Choices {
		if choice.Engine == engine {
			return choice, true
		}
	}
	return Choice{}, false
}

// Grant gives an engine to a waiting request.
type Grant struct {
	To     Waiter
	Engine string
	// Age is the time since the arbiter heard from the request's node.
	Age time.Duration
	// Until is until when the grant may be used. An arbiter sets it by its own clock, the
	// request's node by its own.
	Until time.Time
	// Serial tells the grants of an arbiter apart.
	Serial uint64
}

// Standing is what an arbiter expects for a waiting request.
type Standing struct {
	// Engine is the engine that the request is expected to get first.
	Engine string
	// Ahead is the number of requests that come before it there, and Wait the time until the
	// engine is expected to be free for it.
	Ahead int
	Wait  time.Duration
}

// Account tells how long an engine takes for all that is queued there, and false if it is not
// known or may get no requests.
type Account func(engine string) (queue time.Duration, usable bool)

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Number, b.Number))
}
