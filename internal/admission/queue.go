// Package admission decides which requests wait, in which order waiting requests are
// dispatched, and which requests are refused at once. It is deterministic: the caller passes
// the current time, and nothing here does I/O.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// Item is a waiting request.
type Item struct {
	// ID is chosen by the caller of this package and not interpreted here.
	ID string
	// Tenant is the flow that the request belongs to: the tenants of a class get equal shares.
	Tenant string
	// Class is the name of the request's priority class; Rank, Weight and MaxQueued are the
	// settings of that class.
	Class     string
	Rank      int32
	Weight    float64
	MaxQueued int
	// Cost is the estimated work of the request, in seconds of one engine.
	Cost float64
	// Deadline is the time by which the answer must be complete. Like all times in this package
	// it is the duration since an arbitrary fixed instant.
	Deadline time.Duration
	// ServiceTime is the estimated time from dispatch to the end of the answer.
	ServiceTime time.Duration

	startTag float64 // virtual time at which the request may start within its class
}

// Queue orders waiting requests by weighted fair queueing on two levels: classes share the
// engines by weight, and the tenants of a class share evenly. Both levels use start-time fair
// queueing (Goyal et al., SIGCOMM 1996).
type Queue struct {
	limit       int
	length      int
	virtualTime float64
	classes     map[string]*classQueue
}

type classQueue struct {
	name        string
	rank        int32
	weight      float64
	maxQueued   int
	length      int
	cost        float64
	startTag    float64 // start tag of the class's next request
	virtualTime float64 // virtual time of the fair queueing between the class's tenants
	flows       map[string]*flow
}

type flow struct {
	tenant    string
	finishTag float64
	items     []*Item
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, classes: map[string]*classQueue{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Push adds a request. It returns QueueFull if the request's class already has MaxQueued
// waiting requests. If the queue as a whole is full, Push makes room: of the lowest class below
// the new request's, it removes the waiting request that would be dispatched last, and returns
// it as shed. If no waiting request is of a lower class, it returns QueueFull.
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
	class.push(item, q.virtualTime)
	q.length++
	return shed, nil
}

func (q *Queue) class(item *Item) *classQueue {
	class := q.classes[item.Class]
	if class == nil {
		class = &classQueue{name: item.Class, flows: map[string]*flow{}}
		q.classes[item.Class] = class
	}
	// A configuration change may have altered the class; the newest request has the latest
	// settings.
	class.rank, class.weight, class.maxQueued = item.Rank, item.Weight, item.MaxQueued
	return class
}

func (c *classQueue) push(item *Item, virtualTime float64) {
	if c.length == 0 {
		// A class gains no credit for the time during which it had no requests waiting.
		c.startTag = max(c.startTag, virtualTime)
	}
	f := c.flows[item.Tenant]
	if f == nil {
		f = &flow{tenant: item.Tenant, finishTag: c.virtualTime}
		c.flows[item.Tenant] = f
	}
	item.startTag = max(c.virtualTime, f.finishTag)
	f.finishTag = item.startTag + item.Cost
	f.items = append(f.items, item)
	c.length++
	c.cost += item.Cost
}

// Peek returns the request that Pop would return, without removing it.
func (q *Queue) Peek() *Item {
	if class := q.nextClass(); class != nil {
		return class.nextFlow().items[0]
	}
	return nil
}

// Pop removes and returns the request to dispatch next, nil if none waits.
func (q *Queue) Pop() *Item {
	class := q.nextClass()
	if class == nil {
		return nil
	}
	f := class.nextFlow()
	item := f.items[0]
	class.virtualTime = max(class.virtualTime, item.startTag)
	q.virtualTime = max(q.virtualTime, class.startTag)
	class.startTag += item.Cost / class.weight
	q.removeAt(class, f, 0)
	return item
}

// Remove removes a request, for instance because its caller has disconnected, and reports
// whether it was waiting.
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

// Expired removes and returns the requests that would miss their deadline even if they were
// dispatched now.
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
	if len(f.items) == 0 && f.finishTag <= class.virtualTime {
		delete(class.flows, f.tenant)
	}
	if class.length == 0 {
		class.cost = 0
		clear(class.flows)
	}
}

// nextClass returns the class with the lowest start tag. Ties go to the higher rank.
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
	if c.startTag != other.startTag {
		return c.startTag < other.startTag
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
	if f.items[0].startTag != other.items[0].startTag {
		return f.items[0].startTag < other.items[0].startTag
	}
	return f.tenant < other.tenant
}

// shedBelow removes and returns a request of the lowest class whose rank is below the given
// one, nil if there is none. It takes the request with the highest start tag, which would be
// dispatched last of its class; among tenants with equal tags, the first by name. That need not
// be the last request to arrive: a tenant with many waiting requests usually has higher start
// tags than one with few.
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
	var latest *Item
	var latestFlow *flow
	for _, f := range lowest.flows {
		if len(f.items) == 0 {
			continue
		}
		last := f.items[len(f.items)-1]
		if latest == nil || last.startTag > latest.startTag || (last.startTag == latest.startTag && f.tenant < latestFlow.tenant) {
			latest, latestFlow = last, f
		}
	}
	q.removeAt(lowest, latestFlow, len(latestFlow.items)-1)
	return latest
}

// EstimateWait estimates how long a new request of item's class would wait. rate is the work
// that all engines together do per second, in units of Item.Cost (seconds of one engine), that
// is, the number of engines. The class gets the share of that rate which its weight has among
// the classes with waiting requests.
func (q *Queue) EstimateWait(item *Item, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	totalWeight, ownCost := item.Weight, 0.0
	for _, class := range q.classes {
		if class.name == item.Class {
			ownCost = class.cost
			continue
		}
		if class.length > 0 {
			totalWeight += class.weight
		}
	}
	share := item.Weight / totalWeight
	return time.Duration(ownCost / (rate * share) * float64(time.Second))
}
