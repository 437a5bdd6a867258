package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// TestArrivalsUnderALimitCount: only arrivals from nodes that were told the limit, and that no
// fault affects, count.
func TestArrivalsUnderALimitCount(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	limit := limitSpan{span: span{from: begin, to: at(20)}, worker: "w", perSecond: 2}
	requests := map[string]trace{
		"told":   {node: "n1", answered: at(0.1), worker: "w", limited: true},
		"untold": {node: "n2", answered: at(0.1), worker: "w"},
	}
	var arrivals []fleetworker.Arrival
	add := func(count int, node string, from float64) {
		for number := range count {
			id := fmt.Sprint(node, from, number)
			requests[id] = trace{node: node}
			arrivals = append(arrivals, fleetworker.Arrival{ID: id, At: at(from + float64(number)/100)})
		}
	}
	add(30, "n1", 1)  // too early: within settlingTime
	add(10, "n1", 5)  // these count
	add(30, "n2", 5)  // from a node that wasn't told the limit
	add(30, "n1", 10) // during a fault of the node
	add(30, "n1", 21) // after the limit's end
	l := &limits{}
	l.recordFault("n1", at(9.5), at(10.5))
	if got := len(l.counted(limit, arrivals, requests)); got != 10 {
		t.Errorf("%d arrivals count, want 10", got)
	}
}
