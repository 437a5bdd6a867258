package nodeexchange

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// Times of the exchange with arbiters.
const (
	// waitStep is the interval at which accounts are looked at and messages are sent while
	// requests wait, in addition to each change of an account.
	waitStep = 25 * time.Millisecond
	// arbiterTimeout is how long a node waits for an arbiter's answer before it turns to the
	// next home: until a question that is sent after a lost one is answered.
	arbiterTimeout = 2*(waitlist.RenewInterval+waitlist.RenewSpread) + waitStep
	// suspendedAfter is the time without a step after which this node was suspended or had
	// nothing to ask, so that missing answers say nothing of the arbiters.
	suspendedAfter = time.Second
)

// grantOutcome is what became of a grant, as a label of the metrics.
type grantOutcome string

// Values of grantOutcome. Late grants arrived after their end, and doubled ones while the
// request held another one. Ended ones were for requests that no longer waited.
const (
	grantUsed     grantOutcome = "used"
	grantUnused   grantOutcome = "unused"
	grantDeclined grantOutcome = "declined"
	grantLate     grantOutcome = "late"
	grantDoubled  grantOutcome = "doubled"
	grantEnded    grantOutcome = "ended"
)

// waitLinks connects a waitQueue with the rest of the node.
type waitLinks struct {
	self    netip.AddrPort
	node    string
	started time.Time
	send    func(to netip.AddrPort, message waitMessage)
	// account returns the prefill queue of an engine (worker.Registry.PrefillQueue).
	account func(engine string, now time.Time) (queue time.Duration, usable bool)
	// arbiter returns the arbiter of an engine, passing over silent nodes.
	arbiter func(engine string, silent func(netip.AddrPort) bool, now time.Time) netip.AddrPort
	count   func(outcome grantOutcome)
}

// waitQueue holds this node's waiting requests, and those of all nodes for the engines whose
// arbiter this node is. Its methods take the time as an argument. It is safe for concurrent use.
type waitQueue struct {
	waitLinks
	// wake receives a token when something may be due.
	wake chan struct{}
	// active tells that the list isn't empty.
	active atomic.Bool

	mu         sync.Mutex
	list       waitlist.List
	requests   map[uint64]*waitingRequest
	lastNumber uint64
	// unanswered are the arbiters that owe an answer or don't answer.
	unanswered            map[netip.AddrPort]*arbiterState
	lastStep, nextRenewal time.Time
	// outgoing are the messages of the current step, by recipient.
	outgoing map[netip.AddrPort]*waitMessage
}

// arbiterState tells whether an arbiter answers.
type arbiterState struct {
	// since is when the first unanswered question was sent, zero if there is none.
	since time.Time
	// until is until when the arbiter is passed over, and count the consecutive timeouts.
	until time.Time
	count int
}

func newWaitQueue(links waitLinks) *waitQueue {
	return &waitQueue{
		waitLinks: links, wake: make(chan struct{}, 1), requests: make(map[uint64]*waitingRequest),
		unanswered: make(map[netip.AddrPort]*arbiterState), outgoing: make(map[netip.AddrPort]*waitMessage),
	}
}

// accountsChanged makes the next step run at once if requests wait here.
func (q *waitQueue) accountsChanged() {
	if q.active.Load() {
		q.signal()
	}
}

func (q *waitQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// locked calls do with the lock held, and then sends what it has left to be sent.
func (q *waitQueue) locked(do func()) {
	q.mu.Lock()
	do()
	q.active.Store(q.list.Len() > 0)
	outgoing := q.outgoing
	q.outgoing = make(map[netip.AddrPort]*waitMessage)
	q.mu.Unlock()
	for to, message := range outgoing {
		q.sendParts(to, *message)
	}
}

// step renews this node's requests if that is due, and grants engines that have become idle. It
// reports whether anything waits.
func (q *waitQueue) step(now time.Time) (busy bool) {
	q.locked(func() {
		q.checkArbiters(now)
		if !now.Before(q.nextRenewal) {
			q.nextRenewal = now.Add(waitlist.RenewInterval + rand.N(waitlist.RenewSpread))
			for _, p := range q.requests {
				p.waiter.Prefer = ""
				q.ask(p, now)
			}
		}
		q.list.Expire(now)
		q.grantIdle(q.list.Engines(), now)
		busy = len(q.requests) > 0 || q.list.Len() > 0
	})
	return busy
}

// checkArbiters passes over the arbiters that owe an answer for arbiterTimeout.
func (q *waitQueue) checkArbiters(now time.Time) {
	suspended := now.Sub(q.lastStep) > suspendedAfter
	q.lastStep = now
	for _, known := range q.unanswered {
		switch {
		case known.since.IsZero():
		case suspended:
			known.since = time.Time{}
		case now.Sub(known.since) > arbiterTimeout:
			known.since = time.Time{}
			known.until = now.Add(min(unresponsiveTime<<min(known.count, 4), maxUnresponsiveTime))
			known.count++
		}
	}
}

func (q *waitQueue) isSilent(node netip.AddrPort, now time.Time) bool {
	known := q.unanswered[node]
	return known != nil && now.Before(known.until)
}

// messageTo returns the message of this step to a node.
func (q *waitQueue) messageTo(node netip.AddrPort) *waitMessage {
	if q.outgoing[node] == nil {
		q.outgoing[node] = &waitMessage{}
	}
	return q.outgoing[node]
}

// sendParts sends a message in parts that fit in datagrams.
func (q *waitQueue) sendParts(to netip.AddrPort, message waitMessage) {
	for !message.empty() {
		part := waitMessage{Sent: message.Sent}
		part.Waiters, message.Waiters = cut(message.Waiters)
		part.Ended, message.Ended = cut(message.Ended)
		part.Declined, message.Declined = cut(message.Declined)
		part.Standings, message.Standings = cut(message.Standings)
		part.Grants, message.Grants = cut(message.Grants)
		q.send(to, part)
	}
}

func (m waitMessage) empty() bool {
	return len(m.Waiters)+len(m.Ended)+len(m.Declined)+len(m.Standings)+len(m.Grants) == 0
}

// cut splits a list after maxWaitsPerMessage entries.
func cut[E any](list []E) (first, rest []E) {
	count := min(len(list), maxWaitsPerMessage)
	return list[:count], list[count:]
}
