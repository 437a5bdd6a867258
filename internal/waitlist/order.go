package waitlist

import (
	"slices"
	"sort"
	"time"
)

// order holds the requests that wait for one engine, by rank.
type order struct {
	ranks [maxRank + 1]tier
	// count is the number of requests, and earliest a time at which none of them is too late.
	count    int
	earliest time.Time
}

// tier holds the requests of one rank: a line for each tenant, since all requests of a flow come
// before or after all of another one unless both flows have had equal service.
type tier struct {
	lines map[string]*line
	// count and wait are the number of requests and the wait that they cause in all.
	count int
	wait  time.Duration
}

// line holds the requests of one flow that wait for an engine, the one that can wait less long
// first.
type line struct {
	places []place
	// waits are the sums of the waits that the first places cause: waits[i] is that of places[:i].
	// It is nil while it must be computed again.
	waits []time.Duration
	// start is the flow's start tag as of a generation of the flows.
	start      int
	generation int
}

// place is the place of a request in a line.
type place struct {
	entry  *entry
	latest time.Time
}

func (p place) compare(other place) int {
	if compared := p.latest.Compare(other.latest); compared != 0 {
		return compared
	}
	return compareIDs(p.entry.waiter.ID, other.entry.waiter.ID)
}

// share is the part of a request's prefill time for which those behind it wait at one engine.
func (p place) share() time.Duration {
	return p.entry.waiter.Need / time.Duration(len(p.entry.waiter.Choices))
}

// add adds a request.
func (o *order) add(added place) {
	flow := added.entry.flow
	t := &o.ranks[flow.rank]
	if t.lines == nil {
		t.lines = make(map[string]*line)
	}
	known := t.lines[flow.tenant]
	if known == nil {
		known = &line{generation: -1}
		t.lines[flow.tenant] = known
	}
	at, _ := slices.BinarySearchFunc(known.places, added, place.compare)
	known.places, known.waits = slices.Insert(known.places, at, added), nil
	t.count++
	t.wait += added.share()
	o.count++
	if o.earliest.IsZero() || added.latest.Before(o.earliest) {
		o.earliest = added.latest
	}
}

// remove removes a request, unless it is gone already.
func (o *order) remove(removed place) {
	flow := removed.entry.flow
	known := o.ranks[flow.rank].lines[flow.tenant]
	if known == nil {
		return
	}
	if at, found := slices.BinarySearchFunc(known.places, removed, place.compare); found {
		o.cut(flow, known, at, at+1)
	}
}

// cut removes places[from:to] of a line.
func (o *order) cut(flow flowKey, known *line, from, to int) {
	t := &o.ranks[flow.rank]
	for _, p := range known.places[from:to] {
		t.wait -= p.share()
	}
	t.count -= to - from
	o.count -= to - from
	known.places, known.waits = slices.Delete(known.places, from, to), nil
	if len(known.places) == 0 {
		delete(t.lines, flow.tenant)
	}
}

// dropPast removes the requests that come too late for the engine.
func (o *order) dropPast(now time.Time) {
	if !now.After(o.earliest) {
		return
	}
	o.earliest = time.Time{}
	for rank := range o.ranks {
		for tenant, known := range o.ranks[rank].lines {
			past := sort.Search(len(known.places), func(i int) bool { return !now.After(known.places[i].latest) })
			if past < len(known.places) && (o.earliest.IsZero() || known.places[past].latest.Before(o.earliest)) {
				o.earliest = known.places[past].latest
			}
			o.cut(flowKey{rank, tenant}, known, 0, past)
		}
	}
}

// before returns the number of places that come before another one in a line, and the wait that
// they cause.
func (l *line) before(other place) (ahead int, wait time.Duration) {
	ahead, _ = slices.BinarySearchFunc(l.places, other, place.compare)
	return ahead, l.waitOf(ahead)
}

// waitOf returns the wait that the first places cause.
func (l *line) waitOf(count int) time.Duration {
	if l.waits == nil {
		l.waits = make([]time.Duration, 1, len(l.places)+1)
		for i, p := range l.places {
			l.waits = append(l.waits, l.waits[i]+p.share())
		}
	}
	return l.waits[count]
}

// startTag returns the flow's start tag.
func (l *line) startTag(flows *flows, flow flowKey) int {
	if l.generation != flows.generation {
		l.start, l.generation = flows.start(flow), flows.generation
	}
	return l.start
}

// first returns the first request that may be granted the engine, nil if there is none.
func (o *order) first(flows *flows, mayBeGranted func(*entry) bool) *entry {
	for rank := range o.ranks {
		if first := o.ranks[rank].first(rank, flows, mayBeGranted); first != nil {
			return first
		}
	}
	return nil
}

func (t *tier) first(rank int, flows *flows, mayBeGranted func(*entry) bool) *entry {
	var first place
	lowest := 0
	for tenant, known := range t.lines {
		start := known.startTag(flows, flowKey{rank, tenant})
		if first.entry != nil && start > lowest {
			continue
		}
		at := slices.IndexFunc(known.places, func(p place) bool { return mayBeGranted(p.entry) })
		if at >= 0 && (first.entry == nil || start < lowest || known.places[at].compare(first) < 0) {
			first, lowest = known.places[at], start
		}
	}
	return first.entry
}

// ahead returns the number of requests that come before a place, and the wait that they cause.
func (o *order) ahead(flows *flows, of place) (count int, wait time.Duration) {
	flow := of.entry.flow
	for rank := range flow.rank {
		count += o.ranks[rank].count
		wait += o.ranks[rank].wait
	}
	own := flows.start(flow)
	for tenant, known := range o.ranks[flow.rank].lines {
		switch start := known.startTag(flows, flowKey{flow.rank, tenant}); {
		case start < own:
			count += len(known.places)
			wait += known.waitOf(len(known.places))
		case start == own:
			before, caused := known.before(of)
			count += before
			wait += caused
		}
	}
	return count, wait
}
