// Package sim is a discrete-event simulation of a deployment in virtual time. It runs the
// admission, placement and cell code of a node, and the batching code of the engine emulator. A
// run depends on its workload and seed only.
package sim

import (
	"container/heap"
	"time"
)

// event is a function to be called at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // events of the same time run in the order in which they were scheduled
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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

// clock is the virtual time and the queue of events still to run.
type clock struct {
	now       time.Duration
	events    eventHeap
	scheduled uint64
}

// after schedules do to be called after delay.
func (c *clock) after(delay time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.scheduled, do: do})
}

// run runs all events up to and including the time end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}
