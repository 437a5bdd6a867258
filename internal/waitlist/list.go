package waitlist

import (
	"cmp"
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
	// declined are the engines that the request's node gave back since its last message.
	declined []string
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
	}
	if until, left := l.left[w.ID]; left && now.Before(until) {
		return false
	}
	w.Rank = min(max(w.Rank, 0), maxRank)
	w.Choices = w.Choices[:min(len(w.Choices), MaxChoices)]
	if _, known := l.entries[w.ID]; !known && len(l.entries) >= maxWaiters && !l.makeRoom(w.Rank) {
		return false
	}
	l.entries[w.ID] = &entry{waiter: w, flow: l.flows.key(w), registered: now}
	return true
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
	delete(l.entries, last.waiter.ID)
	return true
}

// Leave ends a request's wait. used is the engine that it was granted and uses, empty if there
// is none. Other grants of it end at once.
func (l *List) Leave(id ID, used string, now time.Time) {
	if l.left == nil {
		return
	}
	l.left[id] = now.Add(WaiterLife)
	delete(l.entries, id)
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
	for id, e := range l.entries {
		if !e.live(now) {
			delete(l.entries, id)
		}
	}
	for id, until := range l.left {
		if !now.Before(until) {
			delete(l.left, id)
		}
	}
	l.flows.expire(now)
}

// Engines returns the engines for which requests wait at this arbiter, sorted by name.
func (l *List) Engines() []string {
	var engines []string
	for _, e := range l.entries {
		for _, choice := range e.waiter.Choices {
			if choice.Here {
				engines = append(engines, choice.Engine)
			}
		}
	}
	slices.Sort(engines)
	return slices.Compact(engines)
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
	granted := make(map[ID]bool)
	for _, held := range l.grants {
		if now.Before(held.until) {
			granted[held.to] = true
		}
	}
	var first *entry
	for id, e := range l.entries {
		choice, waits := e.waiter.choice(engine)
		if !waits || !choice.Here || now.After(choice.Latest) || !e.live(now) || granted[id] || slices.Contains(e.declined, engine) {
			continue
		}
		if first == nil || l.compare(e, first, engine) < 0 {
			first = e
		}
	}
	return first
}

// compare orders two requests that wait for an engine: the more urgent one first, then the one
// whose tenant has had less service, then the one that can wait less long.
func (l *List) compare(a, b *entry, engine string) int {
	left, _ := a.waiter.choice(engine)
	right, _ := b.waiter.choice(engine)
	return cmp.Or(
		cmp.Compare(a.waiter.Rank, b.waiter.Rank),
		cmp.Compare(l.flows.start(a.flow), l.flows.start(b.flow)),
		left.Latest.Compare(right.Latest),
		compareIDs(a.waiter.ID, b.waiter.ID),
	)
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
	asked := l.entries[id]
	if asked == nil {
		return Standing{}, false
	}
	best, found := Standing{}, false
	for _, choice := range asked.waiter.Choices {
		queue, usable := account(choice.Engine)
		if !choice.Here || !usable {
			continue
		}
		standing := Standing{Engine: choice.Engine, Wait: queue}
		for other, e := range l.entries {
			waits, chosen := e.waiter.choice(choice.Engine)
			if other == id || !chosen || !waits.Here || !e.live(now) || now.After(waits.Latest) || l.compare(e, asked, choice.Engine) > 0 {
				continue
			}
			standing.Ahead++
			standing.Wait += e.waiter.Need / time.Duration(len(e.waiter.Choices))
		}
		if !found || standing.Wait < best.Wait {
			best, found = standing, true
		}
	}
	return best, found
}
