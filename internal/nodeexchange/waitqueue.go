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
	// next home: ten times as long as for a load report, since nobody plans meanwhile.
	arbiterTimeout = 10 * askTimeout
	// suspendedAfter is the time without a step after which this node was suspended or had
	// nothing to ask, so that missing answers say nothing of the arbiters.
	suspendedAfter = time.Second
)

// grantOutcome is what became of a grant, as a label of the metrics.
type grantOutcome string

// Values of grantOutcome. Late grants arrived after their end, and doubled ones while the
// request held another one. Strays were for requests that no longer waited.
const (
	grantUsed     grantOutcome = "used"
	grantUnused   grantOutcome = "unused"
	grantDeclined grantOutcome = "declined"
	grantLate     grantOutcome = "late"
	grantDoubled  grantOutcome = "doubled"
	grantStray    grantOutcome = "stray"
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
	places     map[uint64]*place
	lastNumber uint64
	// silences are the arbiters that owe an answer or don't answer.
	silences              map[netip.AddrPort]*silence
	lastStep, nextRenewal time.Time
	// outgoing are the messages of the current step, by recipient.
	outgoing map[netip.AddrPort]*waitMessage
}

// place is a waiting request of this node.
type place struct {
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
	// claimAt is the arbiter of the engine that the request claims.
	claimAt netip.AddrPort
}

// silence is an arbiter's silence.
type silence struct {
	// since is when the first unanswered question was sent, zero if there is none.
	since time.Time
	// until is until when the arbiter is passed over, and count the consecutive silences.
	until time.Time
	count int
}

func newWaitQueue(links waitLinks) *waitQueue {
	return &waitQueue{
		waitLinks: links, wake: make(chan struct{}, 1), places: make(map[uint64]*place),
		silences: make(map[netip.AddrPort]*silence), outgoing: make(map[netip.AddrPort]*waitMessage),
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
		q.noteSilences(now)
		if !now.Before(q.nextRenewal) {
			q.nextRenewal = now.Add(waitlist.RenewInterval + rand.N(waitlist.RenewSpread))
			for _, p := range q.places {
				q.ask(p, now)
			}
		}
		q.list.Expire(now)
		q.grantIdle(q.list.Engines(), now)
		busy = len(q.places) > 0 || q.list.Len() > 0
	})
	return busy
}

// noteSilences passes over the arbiters that owe an answer for arbiterTimeout.
func (q *waitQueue) noteSilences(now time.Time) {
	suspended := now.Sub(q.lastStep) > suspendedAfter
	q.lastStep = now
	for _, known := range q.silences {
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
	known := q.silences[node]
	return known != nil && now.Before(known.until)
}

func (q *waitQueue) join(w waitlist.Waiter, now time.Time) (number uint64, granted <-chan waitlist.Grant) {
	p := &place{
		granted: make(chan waitlist.Grant, 1), told: make(map[netip.AddrPort]bool),
		standings: make(map[netip.AddrPort]*waitlist.Standing), seen: make(map[string]uint64),
	}
	q.locked(func() {
		q.lastNumber++
		number = q.lastNumber
		w.ID = waitlist.ID{Node: q.node, Number: number}
		w.Choices = w.Choices[:min(len(w.Choices), waitlist.MaxChoices)]
		p.waiter = w
		q.places[number] = p
		q.ask(p, now)
	})
	q.signal()
	return number, p.granted
}

func (q *waitQueue) update(number uint64, choices []waitlist.Choice) {
	q.locked(func() {
		if p := q.places[number]; p != nil {
			p.waiter.Choices = choices[:min(len(choices), waitlist.MaxChoices)]
		}
	})
}

func (q *waitQueue) standing(number uint64) (best waitlist.Standing, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.places[number]
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
		p := q.places[number]
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
func (q *waitQueue) declineAt(arbiter netip.AddrPort, p *place, granted waitlist.Grant) {
	if arbiter == q.self {
		q.list.Decline(p.waiter.ID, granted.Engine, granted.Serial)
		return
	}
	message := q.messageTo(arbiter)
	message.Declined = append(message.Declined, wireWaitEnd{Number: p.waiter.ID.Number, Engine: granted.Engine, Serial: granted.Serial})
}

func (q *waitQueue) leave(number uint64, used string, now time.Time) {
	q.locked(func() {
		p := q.places[number]
		if p == nil {
			return
		}
		delete(q.places, number)
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

// ask tells the arbiters of a request's choices that it waits.
func (q *waitQueue) ask(p *place, now time.Time) {
	silent := func(node netip.AddrPort) bool { return q.isSilent(node, now) }
	asked := make(map[netip.AddrPort]*waitlist.Waiter)
	for i, choice := range p.waiter.Choices {
		arbiter := q.arbiter(choice.Engine, silent, now)
		if asked[arbiter] == nil {
			w := p.waiter
			w.Choices = append([]waitlist.Choice(nil), w.Choices...)
			asked[arbiter] = &w
		}
		asked[arbiter].Choices[i].Here = true
		if choice.Engine == p.waiter.Claim {
			p.claimAt = arbiter
		}
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
	known := q.silences[arbiter]
	if known == nil {
		known = &silence{}
		q.silences[arbiter] = known
	}
	if known.since.IsZero() {
		known.since = now
	}
}

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
			if choice.Here && choice.Engine == w.Claim {
				q.deliver(q.list.Next(w.Claim, account, true, now))
			}
		}
	}
	q.grantIdle(engines, now)
	for _, w := range waiters {
		standing, _ := q.list.Standing(w.ID, account, now)
		if w.Address == q.self {
			q.receiveStanding(q.self, w.ID.Number, standing)
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
		q.deliver(q.list.Next(engine, account, false, now))
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
			Number: granted.To.ID.Number, Engine: granted.Engine, Claimed: granted.Claimed, Serial: granted.Serial,
			Sent: granted.To.Sent.Microseconds(), Age: granted.Age.Milliseconds(),
		})
	}
}

// receiveGrant passes a grant to the request that waits for it. A request holds one at a time,
// and none that it has given back already.
func (q *waitQueue) receiveGrant(from netip.AddrPort, arbiter string, number uint64, granted waitlist.Grant) {
	p := q.places[number]
	switch {
	case p == nil:
		q.count(grantStray)
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

func (q *waitQueue) receiveStanding(from netip.AddrPort, number uint64, standing waitlist.Standing) {
	p := q.places[number]
	if p == nil {
		return
	}
	if _, asked := p.standings[from]; asked {
		p.standings[from] = &standing
	}
	if p.claimAt == from {
		p.waiter.Claim = ""
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
			delete(q.silences, from)
		}
		for _, f := range message.Standings {
			q.receiveStanding(from, f.Number, waitlist.Standing{Engine: f.Engine, Ahead: f.Ahead, Wait: milliseconds(f.Wait)})
		}
		for _, f := range message.Grants {
			q.receiveWireGrant(from, node, f, now)
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

// receiveWireGrant passes on a grant of another node unless it has ended. The latest time at
// which it can have been given is known by this node's own clock: the answered message was sent
// at f.Sent, and arrived f.Age before.
func (q *waitQueue) receiveWireGrant(from netip.AddrPort, arbiter string, f wireGrant, now time.Time) {
	given := q.started.Add(time.Duration(f.Sent)*time.Microsecond + milliseconds(f.Age))
	until := given.Add(waitlist.GrantUse)
	if !now.Before(until) {
		q.count(grantLate)
		return
	}
	q.receiveGrant(from, arbiter, f.Number, waitlist.Grant{Engine: f.Engine, Claimed: f.Claimed, Until: until, Serial: f.Serial})
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
