// Package sim runs a deployment in virtual time: the same admission, placement and
// cell code as a node, over the emulator's batches, driven by discrete events. A
// run is a function of its workload and seed.
package sim

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment.
type event struct {
	at     time.Duration
	number uint64 // events of one moment happen in the order of their making
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}

// clock is the virtual time with what is to come.
type clock struct {
	now    time.Duration
	events eventHeap
	made   uint64
}

// after makes something happen later.
func (c *clock) after(delay time.Duration, do func()) {
	c.made++
	heap.Push(&c.events, event{at: c.now + delay, number: c.made, do: do})
}

// run lets everything happen up to the end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}
