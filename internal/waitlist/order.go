package waitlist

import (
	"cmp"
	"slices"
	"time"
)

// order holds the requests that wait for one engine, by rank.
type order struct {
	tiers [maxRank + 1]tier
	// count is the number of requests, and earliest a time at which none of them is too late.
	count    int
	earliest time.Time
}

// tier holds the requests of one rank in the order in which they get the engine.
type tier struct {
	places []place
	// generation is that of the rank's flows by whose start tags the places are sorted.
	generation int
	// waits are the sums of the waits that the first places cause: waits[i] is that of places[:i].
	// It is empty while it must be computed again.
	waits []time.Duration
}

// place is the place of a request in a tier.
type place struct {
	entry  *entry
	latest time.Time
	// start is the start tag of the request's flow as of the tier's generation.
	start int
}

// compare orders two requests of one rank: first the one whose tenant has had less service, then
// the one that can wait less long.
func (p place) compare(other place) int {
	if p.start != other.start {
		return cmp.Compare(p.start, other.start)
	}
	if compared := p.latest.Compare(other.latest); compared != 0 {
		return compared
	}
	return compareIDs(p.entry.waiter.ID, other.entry.waiter.ID)
}

// share is the part of a request's prefill time for which those behind it wait at one engine.
func (p place) share() time.Duration {
	return p.entry.waiter.Need / time.Duration(len(p.entry.waiter.Choices))
}

// tierOf returns the tier of a request, sorted by the flows' present start tags, and the request's
// place in it.
func (o *order) tierOf(flows *flows, e *entry, latest time.Time) (*tier, place) {
	t := &o.tiers[e.flow.rank]
	t.sort(flows, e.flow.rank)
	return t, place{entry: e, latest: latest, start: flows.start(e.flow)}
}

// add adds a request that can wait until a time.
func (o *order) add(flows *flows, e *entry, latest time.Time) {
	t, added := o.tierOf(flows, e, latest)
	at, _ := slices.BinarySearchFunc(t.places, added, place.compare)
	t.places, t.waits = slices.Insert(t.places, at, added), t.waits[:0]
	o.count++
	if o.earliest.IsZero() || latest.Before(o.earliest) {
		o.earliest = latest
	}
}

// remove removes a request, unless it is gone already.
func (o *order) remove(flows *flows, e *entry, latest time.Time) {
	t, removed := o.tierOf(flows, e, latest)
	if at, found := slices.BinarySearchFunc(t.places, removed, place.compare); found {
		t.places, t.waits = slices.Delete(t.places, at, at+1), t.waits[:0]
		o.count--
	}
}

// sort sorts the places by the flows' present start tags.
func (t *tier) sort(flows *flows, rank int) {
	if t.generation == flows.generations[rank] {
		return
	}
	t.generation = flows.generations[rank]
	changed := false
	for i := range t.places {
		p := &t.places[i]
		start := flows.start(p.entry.flow)
		changed = changed || start != p.start
		p.start = start
	}
	if changed {
		slices.SortFunc(t.places, place.compare)
		t.waits = t.waits[:0]
	}
}

// dropPast removes the requests that come too late for the engine.
func (o *order) dropPast(now time.Time) {
	if !now.After(o.earliest) {
		return
	}
	o.earliest = time.Time{}
	for rank := range o.tiers {
		t := &o.tiers[rank]
		before := len(t.places)
		t.places = slices.DeleteFunc(t.places, func(p place) bool { return now.After(p.latest) })
		if len(t.places) < before {
			t.waits = t.waits[:0]
			o.count -= before - len(t.places)
		}
		for _, p := range t.places {
			if o.earliest.IsZero() || p.latest.Before(o.earliest) {
				o.earliest = p.latest
			}
		}
	}
}

// first returns the first request that may be granted the engine, nil if there is none.
func (o *order) first(flows *flows, mayBeGranted func(*entry) bool) *entry {
	for rank := range o.tiers {
		t := &o.tiers[rank]
		t.sort(flows, rank)
		for _, p := range t.places {
			if mayBeGranted(p.entry) {
				return p.entry
			}
		}
	}
	return nil
}

// ahead returns the number of requests that come before one, and the wait that they cause.
func (o *order) ahead(flows *flows, e *entry, latest time.Time) (count int, wait time.Duration) {
	for rank := range e.flow.rank {
		t := &o.tiers[rank]
		count += len(t.places)
		wait += t.waitOf(len(t.places))
	}
	t, own := o.tierOf(flows, e, latest)
	before, _ := slices.BinarySearchFunc(t.places, own, place.compare)
	return count + before, wait + t.waitOf(before)
}

// waitOf returns the wait that the first places cause.
func (t *tier) waitOf(count int) time.Duration {
	if count == 0 {
		return 0
	}
	if len(t.waits) == 0 {
		t.waits = append(t.waits, 0)
		for i, p := range t.places {
			t.waits = append(t.waits, t.waits[i]+p.share())
		}
	}
	return t.waits[count]
}
