// Package admission decides which requests wait, in which order they go on, and
// which are refused at once. It is pure: time is an argument, and nothing here
// does I/O.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// Item is a waiting request.
type Item struct {
	// ID is the caller's handle.
	ID string
	// Tenant is the flow that the request belongs to.
	Tenant string
	// Class is the name of its priority class, with the class's settings.
	Class     string
	Rank      int32
	Weight    float64
	MaxQueued int
	// Cost is the estimated work, in seconds of one engine.
	Cost float64
	// Deadline is when the answer stops being useful. It is measured, like every
	// time in this package, from any fixed instant.
	Deadline time.Duration
	// ServiceTime is the estimated time from dispatch to the end of the answer.
	ServiceTime time.Duration

	start float64 // virtual start time in the class
}

// Queue orders waiting requests by weighted fair queueing in two levels: first
// between classes by weight, then between the tenants of a class evenly. Both
// levels use start-time fair queueing (Goyal et al., SIGCOMM 1996).
type Queue struct {
	limit   int
	length  int
	virtual float64
	classes map[string]*classQueue
}

type classQueue struct {
	name      string
	rank      int32
	weight    float64
	maxQueued int
	length    int
	cost      float64
	virtual   float64 // finish tag of the class's last dispatch
	clock     float64 // virtual time between the class's tenants
	flows     map[string]*flow
}

type flow struct {
	tenant string
	finish float64
	items  []*Item
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, classes: map[string]*classQueue{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Push adds a request. When the queue is full, the youngest request of the
// lowest class below the newcomer's makes room and is returned as shed.
func (q *Queue) Push(item *Item) (shed *Item, err error) {
	class := q.class(item)
	if class.length >= class.maxQueued {
		return nil, result.New(result.QueueFull, "%d requests of class %s wait already", class.length, class.name)
	}
	if q.length >= q.limit {
		shed = q.shedBelow(item.Rank)
		if shed == nil {
			return nil, result.New(result.QueueFull, "%d requests wait already, none of a lower class", q.length)
		}
	}
	class.push(item, q.virtual)
	q.length++
	return shed, nil
}

func (q *Queue) class(item *Item) *classQueue {
	class := q.classes[item.Class]
	if class == nil {
		class = &classQueue{name: item.Class, flows: map[string]*flow{}}
		q.classes[item.Class] = class
	}
	// The settings follow the latest revision.
	class.rank, class.weight, class.maxQueued = item.Rank, item.Weight, item.MaxQueued
	return class
}

func (c *classQueue) push(item *Item, virtual float64) {
	if c.length == 0 {
		// A class that was idle does not catch up for the time it asked nothing.
		c.virtual = max(c.virtual, virtual)
	}
	f := c.flows[item.Tenant]
	if f == nil {
		f = &flow{tenant: item.Tenant, finish: c.clock}
		c.flows[item.Tenant] = f
	}
	item.start = max(c.clock, f.finish)
	f.finish = item.start + item.Cost
	f.items = append(f.items, item)
	c.length++
	c.cost += item.Cost
}

// Peek returns the request that goes on next without removing it, nil when
// none waits.
func (q *Queue) Peek() *Item {
	if class := q.nextClass(); class != nil {
		return class.nextFlow().items[0]
	}
	return nil
}

// Pop removes and returns the request that goes on next, nil when none waits.
func (q *Queue) Pop() *Item {
	class := q.nextClass()
	if class == nil {
		return nil
	}
	f := class.nextFlow()
	item := f.items[0]
	class.clock = max(class.clock, item.start)
	q.virtual = max(q.virtual, class.virtual)
	class.virtual += item.Cost / class.weight
	q.removeAt(class, f, 0)
	return item
}

// Remove takes a request out, for instance when its caller has left.
func (q *Queue) Remove(item *Item) bool {
	class := q.classes[item.Class]
	if class == nil {
		return false
	}
	f := class.flows[item.Tenant]
	if f == nil {
		return false
	}
	for i, waiting := range f.items {
		if waiting == item {
			q.removeAt(class, f, i)
			return true
		}
	}
	return false
}

// Expired removes and returns the requests that can't be answered in time any
// more, were they dispatched now.
func (q *Queue) Expired(now time.Duration) []*Item {
	var expired []*Item
	for _, class := range q.classes {
		for _, f := range class.flows {
			for _, item := range f.items {
				if now+item.ServiceTime > item.Deadline {
					expired = append(expired, item)
				}
			}
		}
	}
	slices.SortFunc(expired, func(left, right *Item) int { return cmp.Compare(left.ID, right.ID) })
	for _, item := range expired {
		q.Remove(item)
	}
	return expired
}

func (q *Queue) removeAt(class *classQueue, f *flow, at int) {
	item := f.items[at]
	copy(f.items[at:], f.items[at+1:])
	f.items[len(f.items)-1] = nil
	f.items = f.items[:len(f.items)-1]
	class.length--
	class.cost -= item.Cost
	q.length--
	if len(f.items) == 0 && f.finish <= class.clock {
		delete(class.flows, f.tenant)
	}
	if class.length == 0 {
		class.cost = 0
		clear(class.flows)
	}
}

// nextClass returns the class with the lowest start tag; the higher rank wins a
// tie.
func (q *Queue) nextClass() *classQueue {
	var best *classQueue
	for _, class := range q.classes {
		if class.length == 0 {
			continue
		}
		if best == nil || class.before(best) {
			best = class
		}
	}
	return best
}

func (c *classQueue) before(other *classQueue) bool {
	if c.virtual != other.virtual {
		return c.virtual < other.virtual
	}
	if c.rank != other.rank {
		return c.rank > other.rank
	}
	return c.name < other.name
}

func (c *classQueue) nextFlow() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.items[0].start != other.items[0].start {
		return f.items[0].start < other.items[0].start
	}
	return f.tenant < other.tenant
}

// shedBelow removes the youngest request of the lowest class below rank.
func (q *Queue) shedBelow(rank int32) *Item {
	var lowest *classQueue
	for _, class := range q.classes {
		if class.length == 0 || class.rank >= rank {
			continue
		}
		if lowest == nil || class.rank < lowest.rank || (class.rank == lowest.rank && class.name < lowest.name) {
			lowest = class
		}
	}
	if lowest == nil {
		return nil
	}
	var youngest *Item
	var from *flow
	for _, f := range lowest.flows {
		if len(f.items) == 0 {
			continue
		}
		last := f.items[len(f.items)-1]
		if youngest == nil || last.start > youngest.start || (last.start == youngest.start && f.tenant < from.tenant) {
			youngest, from = last, f
		}
	}
	q.removeAt(lowest, from, len(from.items)-1)
	return youngest
}

// EstimateWait estimates how long a new request of the class would wait, when the
// engines together do rate seconds of work a second. The class gets its weight's
// share of the rate among the classes that have requests waiting.
func (q *Queue) EstimateWait(item *Item, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	total, own := item.Weight, 0.0
	for _, class := range q.classes {
		if class.name == item.Class {
			own = class.cost
			continue
		}
		if class.length > 0 {
			total += class.weight
		}
	}
	share := item.Weight / total
	return time.Duration(own / (rate * share) * float64(time.Second))
}
