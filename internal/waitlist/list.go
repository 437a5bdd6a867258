package waitlist

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of a list.
const (
	// maxWaiters bounds the requests on a list, at less than 1 kB each.
	maxWaiters = 2000
	// maxRank is the least urgent rank that is told apart.
	maxRank = 9
)

// List is the list of the requests that wait at one arbiter. The zero value is an empty list.
// It is not safe for concurrent use.
type List struct {
	entries map[ID]*entry
	// orders hold the entries that wait here, by engine.
	orders map[string]*order
	// nextExpiry is when an entry may expire, at the earliest.
	nextExpiry time.Time
	// grants are the grants whose load may not show yet, by engine.
	grants map[string]*grant
	// left holds the requests that have ended, until when: a message of theirs may be late.
	left  map[ID]time.Time
	flows flows
	// serial is the serial number of the last grant.
	serial uint64
}

// entry is one waiting request.
type entry struct {
	waiter     Waiter
	flow       flowKey
	registered time.Time
	// here are the choices of engines for which the request waits at this arbiter. Of several
	// choices of one engine the first counts.
	here []Choice
	// declined are the engines that the request's node gave back since its last message.
	declined []string
}

// newEntry returns the entry of a request that is registered now.
func newEntry(w Waiter, flow flowKey, now time.Time) *entry {
	e := &entry{waiter: w, flow: flow, registered: now}
	for i, choice := range w.Choices {
		repeated := slices.ContainsFunc(w.Choices[:i], func(before Choice) bool { return before.Engine == choice.Engine })
		if choice.Here && !repeated {
			e.here = append(e.here, choice)
		}
	}
	return e
}

func (e *entry) live(now time.Time) bool { return now.Sub(e.registered) < WaiterLife }

// grant is a grant that has not ended.
type grant struct {
	to     ID
	flow   flowKey
	tokens int
	until  time.Time
	serial uint64
}

// Len returns the number of requests on the list.
func (l *List) Len() int { return len(l.entries) }

// Register puts a request on the list, or keeps it there for another WaiterLife. It returns
// false if the request has ended, or if the list is full and holds no less urgent request.
func (l *List) Register(w Waiter, now time.Time) bool {
	if l.entries == nil {
		l.entries, l.grants, l.left = make(map[ID]*entry), make(map[string]*grant), make(map[ID]time.Time)
		l.orders = make(map[string]*order)
	}
	if until, left := l.left[w.ID]; left && now.Before(until) {
		return false
	}
	w.Rank = min(max(w.Rank, 0), maxRank)
	w.Choices = w.Choices[:min(len(w.Choices), MaxChoices)]
	if _, known := l.entries[w.ID]; !known && len(l.entries) >= maxWaiters && !l.makeRoom(w.Rank) {
		return false
	}
	l.remove(w.ID)
	l.add(newEntry(w, l.flows.key(w), now))
	return true
}

// add puts an entry on the list and in the orders of the engines for which it waits here.
func (l *List) add(e *entry) {
	l.entries[e.waiter.ID] = e
	if expiry := e.registered.Add(WaiterLife); l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
		l.nextExpiry = expiry
	}
	for _, choice := range e.here {
		known := l.orders[choice.Engine]
		if known == nil {
			known = &order{}
			l.orders[choice.Engine] = known
		}
		known.add(&l.flows, e, choice.Latest)
	}
}

// remove takes an entry off the list.
func (l *List) remove(id ID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	delete(l.entries, id)
	for _, choice := range e.here {
		if known := l.orders[choice.Engine]; known != nil {
			known.remove(&l.flows, e, choice.Latest)
			l.dropEmpty(choice.Engine)
		}
	}
}

// orderAt returns the order of an engine without those that come too late for it, nil if nobody
// waits for it.
func (l *List) orderAt(engine string, now time.Time) *order {
	l.expireEntries(now)
	if known := l.orders[engine]; known != nil {
		known.dropPast(now)
		l.dropEmpty(engine)
	}
	return l.orders[engine]
}

func (l *List) dropEmpty(engine string) {
	if known := l.orders[engine]; known != nil && known.count == 0 {
		delete(l.orders, engine)
	}
}

// makeRoom drops the least urgent request that was registered last, if it is less urgent than
// the given rank.
func (l *List) makeRoom(rank int) bool {
	var last *entry
	for _, e := range l.entries {
		if last == nil || cmp.Or(cmp.Compare(e.waiter.Rank, last.waiter.Rank), e.registered.Compare(last.registered)) > 0 {
			last = e
		}
	}
	if last.waiter.Rank <= rank {
		return false
	}
	l.remove(last.waiter.ID)
	return true
}

// Leave ends a request's wait. used is the engine that it was granted and uses, empty if there
// is none. Other grants of it end at once.
func (l *List) Leave(id ID, used string, now time.Time) {
	if l.left == nil {
		return
	}
	l.left[id] = now.Add(WaiterLife)
	l.remove(id)
	for engine, held := range l.grants {
		if held.to == id && engine != used {
			l.end(engine)
		}
	}
}

// Decline ends the grant of an engine that a request's node can't use now. The request isn't
// granted the engine before the next message of its node. Nothing happens if the grant is no
// longer the one with that serial number: the request may be using a later one.
func (l *List) Decline(id ID, engine string, serial uint64) {
	held := l.grants[engine]
	if held == nil || held.to != id || held.serial != serial {
		return
	}
	l.end(engine)
	if e := l.entries[id]; e != nil {
		e.declined = append(e.declined, engine)
	}
}

// end ends a grant that was not used.
func (l *List) end(engine string) {
	held := l.grants[engine]
	l.flows.refund(held.flow, held.tokens)
	delete(l.grants, engine)
}

// Expire drops what has expired. A grant counts as unused if its request still waits at its
// end.
func (l *List) Expire(now time.Time) {
	for engine, held := range l.grants {
		if now.Before(held.until) {
			continue
		}
		if e := l.entries[held.to]; e != nil && e.live(now) {
			l.end(engine)
		}
		delete(l.grants, engine)
	}
	l.expireEntries(now)
	for id, until := range l.left {
		if !now.Before(until) {
			delete(l.left, id)
		}
	}
	l.flows.expire(now)
}

// expireEntries drops the requests whose nodes haven't renewed them.
func (l *List) expireEntries(now time.Time) {
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = time.Time{}
	for id, e := range l.entries {
		if !e.live(now) {
			l.remove(id)
			continue
		}
		if expiry := e.registered.Add(WaiterLife); l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
			l.nextExpiry = expiry
		}
	}
}

// Engines returns the engines for which requests wait at this arbiter, sorted by name.
func (l *List) Engines() []string {
	return slices.Sorted(maps.Keys(l.orders))
}

// Next grants an engine to the first of the requests that wait for it, if the engine is idle
// and no grant of it is outstanding.
func (l *List) Next(engine string, account Account, now time.Time) (Grant, bool) {
	if held := l.grants[engine]; held != nil && now.Before(held.until) {
		return Grant{}, false
	}
	first := l.first(engine, now)
	if first == nil || !idle(engine, first.waiter, account) {
		return Grant{}, false
	}
	l.serial++
	l.grants[engine] = &grant{
		to: first.waiter.ID, flow: first.flow, tokens: first.waiter.Tokens, until: now.Add(GrantLife), serial: l.serial,
	}
	l.flows.charge(first.flow, first.waiter.Tokens, now)
	return Grant{
		To: first.waiter, Engine: engine, Age: now.Sub(first.registered), Until: now.Add(GrantUse), Serial: l.serial,
	}, true
}

// first returns the first of the requests that may be granted an engine, nil if there is none.
func (l *List) first(engine string, now time.Time) *entry {
	known := l.orderAt(engine, now)
	if known == nil {
		return nil
	}
	return known.first(&l.flows, func(e *entry) bool { return !e.hasDeclined(engine) && !l.isGranted(e.waiter.ID, now) })
}

// isGranted reports whether a request has been granted an engine.
func (l *List) isGranted(id ID, now time.Time) bool {
	for _, held := range l.grants {
		if held.to == id && now.Before(held.until) {
			return true
		}
	}
	return false
}

// idle reports whether an engine counts as idle for a request.
func idle(engine string, w Waiter, account Account) bool {
	queue, usable := account(engine)
	return usable && queue <= w.IdleBelow
}

// Standing returns what is expected for a waiting request at the engine that becomes free for it
// first, and false if it isn't on the list or none of its engines is known. A request that waits
// for several engines counts at each of them with an equal part of its prefill time.
func (l *List) Standing(id ID, account Account, now time.Time) (Standing, bool) {
	l.expireEntries(now)
	asked := l.entries[id]
	if asked == nil {
		return Standing{}, false
	}
	best, found := Standing{}, false
	for _, choice := range asked.here {
		queue, usable := account(choice.Engine)
		if !usable {
			continue
		}
		standing := Standing{Engine: choice.Engine, Wait: queue}
		if known := l.orderAt(choice.Engine, now); known != nil {
			ahead, wait := known.ahead(&l.flows, asked, choice.Latest)
			standing.Ahead, standing.Wait = ahead, queue+wait
		}
		if !found || standing.Wait < best.Wait {
			best, found = standing, true
		}
	}
	return best, found
}

// hasDeclined reports whether the request's node gave an engine back since its last message.
func (e *entry) hasDeclined(engine string) bool { return slices.Contains(e.declined, engine) }
