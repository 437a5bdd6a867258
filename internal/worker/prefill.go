package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// Bounds of the prefills that nodes tell each other.
const (
	// maxPrefillParts is the number of leading parts of a prefix that are told, and
	// maxToldPrefills how many prefills of one node are told, so that all of them fit in a load
	// message.
	maxPrefillParts = 8
	maxToldPrefills = 32
	// minPrefillLeft is the time left that is assumed of a prefill which takes longer than
	// expected: the age that load information of another node may have.
	minPrefillLeft = 25 * time.Millisecond
	// prefillGrace is for how long after its expected end a prefill of another node counts as
	// under way, unless that node confirms it, and the least time for which an own one does: long
	// enough for a load message that is lost to be followed by the next one of a busy node, and
	// shorter than the shortest objective for a first byte (300 ms).
	prefillGrace = 200 * time.Millisecond
)

// InFlightPrefill is a prefill under way at a worker, of a prompt whose prefix other requests share. All
// parts of the prefix are cached once it has ended well.
type InFlightPrefill struct {
	Worker string
	// Parts are the parts of the shared prefix.
	Parts []prefixcache.Part
	// Left is the time until the prefill is expected to end.
	Left time.Duration
}

// prefill is an InFlightPrefill as of one node.
type prefill struct {
	parts []prefixcache.Part
	// until is when the prefill is expected to end, and grace for how long after that it still
	// counts as under way.
	until time.Time
	grace time.Duration
}

// underWay reports whether the prefill counts as under way.
func (p *prefill) underWay(now time.Time) bool { return now.Before(p.until.Add(p.grace)) }

// left is the time until the prefill is expected to end. One that is overdue is expected to take
// as long again as it has been overdue.
func (p *prefill) left(now time.Time) time.Duration {
	left := p.until.Sub(now)
	return max(left, -left, minPrefillLeft)
}

// match returns the number of leading tokens of a prompt that the prefill covers.
func (p *prefill) match(parts []prefixcache.Part) int {
	matched := 0
	for i := range min(len(parts), len(p.parts)) {
		if parts[i].ID != p.parts[i].ID {
			break
		}
		matched += parts[i].Tokens
	}
	return matched
}

// prefillsOfWorker holds the prefills under way at one worker.
type prefillsOfWorker struct {
	own map[*prefill]bool
	// remote are the prefills of other nodes, by node.
	remote map[string][]*prefill
	// changed is closed when a prefill ends or the worker has cached a prompt. It is nil if
	// nobody waits for that.
	changed chan struct{}
}

// each calls visit with the prefills that count as under way, except those of one node. It forgets
// those of nodes that have none.
func (p *prefillsOfWorker) each(now time.Time, except string, visit func(*prefill)) {
	for own := range p.own {
		if own.underWay(now) {
			visit(own)
		}
	}
	for node, remote := range p.remote {
		if !slices.ContainsFunc(remote, func(known *prefill) bool { return known.underWay(now) }) {
			delete(p.remote, node)
			continue
		}
		for _, known := range remote {
			if node != except && known.underWay(now) {
				visit(known)
			}
		}
	}
}

// inFlight returns the prefill that covers most of a prompt, and of several the one that ends
// first.
func (p *prefillsOfWorker) inFlight(parts []prefixcache.Part, now time.Time, except string) scheduling.InFlight {
	var best scheduling.InFlight
	p.each(now, except, func(known *prefill) {
		if tokens := known.match(parts); tokens > 0 {
			best = best.Better(scheduling.InFlight{Tokens: tokens, Left: known.left(now)})
		}
	})
	return best
}

// notify wakes those that wait for a change.
func (p *prefillsOfWorker) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// BeginPrefill records that this node has sent a worker a prompt with a shared prefix that is
// expected to be prefilled after the given time, and queues that for the other nodes. The caller
// must call the returned function once the prefill has ended, well or not.
func (r *Registry) BeginPrefill(id string, prefix []prefixcache.Part, expected time.Duration, now time.Time) (end func()) {
	begun := &prefill{
		parts: prefix[:min(len(prefix), maxPrefillParts)], until: now.Add(expected),
		grace: max(expected, prefillGrace),
	}
	r.update(id, func(known *workerState) {
		if known.prefills.own == nil {
			known.prefills.own = make(map[*prefill]bool)
		}
		known.prefills.own[begun] = true
		r.prefilling[id] = known
		r.touch(id)
	})
	return func() { r.endPrefill(id, begun) }
}

func (r *Registry) endPrefill(id string, ended *prefill) {
	r.update(id, func(known *workerState) {
		if !known.prefills.own[ended] {
			return
		}
		delete(known.prefills.own, ended)
		if len(known.prefills.own) == 0 {
			delete(r.prefilling, id)
		}
		known.prefills.notify()
		r.touch(id)
	})
}

// WatchPrefills returns which part of a prompt is being prefilled at a worker, as far as this
// node knows, and how many of its tokens are cached there. The channel is closed when that may
// have changed, and is nil if the worker isn't known.
func (r *Registry) WatchPrefills(id string, parts []prefixcache.Part, now time.Time) (changed <-chan struct{}, inFlight scheduling.InFlight, cached int) {
	r.update(id, func(known *workerState) {
		prefills := &known.prefills
		if prefills.changed == nil {
			prefills.changed = make(chan struct{})
		}
		changed = prefills.changed
		inFlight = prefills.inFlight(parts, now, "")
		cached = known.cache.Match(parts)
	})
	return changed, inFlight, cached
}

// addPrefills adds the prefills under way of this node to a snapshot.
func (r *Registry) addPrefills(snapshot *Snapshot, now time.Time) {
	type ownPrefill struct {
		*prefill
		worker string
	}
	var told []ownPrefill
	for id, known := range r.prefilling {
		for own := range known.prefills.own {
			if own.underWay(now) {
				told = append(told, ownPrefill{own, id})
			}
		}
	}
	// A receiver takes a prefill that is no longer told for one that has ended, so of more than
	// fit the same ones are told each time: those that end first.
	slices.SortFunc(told, func(a, b ownPrefill) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.worker, b.worker))
	})
	for _, own := range told[:min(len(told), maxToldPrefills)] {
		snapshot.Prefills = append(snapshot.Prefills, InFlightPrefill{Worker: own.worker, Parts: own.parts, Left: own.left(now)})
	}
}

// mergePrefills replaces the prefills of another node. One that it no longer mentions has ended.
func (r *Registry) mergePrefills(node string, prefills []InFlightPrefill, now time.Time) {
	before := r.prefillingByNode[node]
	delete(r.prefillingByNode, node)
	for _, id := range before {
		if known, exists := r.workers[id]; exists {
			delete(known.prefills.remote, node)
		}
	}
	for _, told := range prefills {
		known, exists := r.workers[told.Worker]
		if !exists {
			continue
		}
		if known.prefills.remote == nil {
			known.prefills.remote = make(map[string][]*prefill)
		}
		merged := &prefill{parts: told.Parts, until: now.Add(told.Left), grace: prefillGrace}
		known.prefills.remote[node] = append(known.prefills.remote[node], merged)
		r.prefillingByNode[node] = append(r.prefillingByNode[node], told.Worker)
	}
	for _, id := range before {
		if known, exists := r.workers[id]; exists {
			known.prefills.notify()
		}
	}
}
