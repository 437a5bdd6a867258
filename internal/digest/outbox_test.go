package digest

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/worker"
)

func TestReadsAreToldTwiceAndFailuresOnce(t *testing.T) {
	var box outbox
	box.collect(worker.Snapshot{Reads: []worker.Read{{Worker: "w"}}, Failures: []string{"w"}})
	reads, failures, messages := 0, 0, 0
	for now := origin; ; now = now.Add(sendEvery) {
		due, atRest := box.dueness(now, sendEvery, 0, 0)
		if !due {
			break
		}
		toldReads, toldFailures := box.next(now, atRest, 0, 0)
		reads += len(toldReads)
		failures += len(toldFailures)
		messages++
	}
	if reads != 2 || failures != 1 || messages != 2 {
		t.Errorf("a read is told %d times, a failure %d times, in %d messages", reads, failures, messages)
	}
}

func TestMessagesKeepTheirDistance(t *testing.T) {
	var box outbox
	box.next(origin, true, 1, 0)
	for name, test := range map[string]struct {
		after       time.Duration
		version     uint64
		due, atRest bool
	}{
		"nothing changed":             {200 * time.Millisecond, 1, false, false},
		"changed, but too soon":       {99 * time.Millisecond, 2, false, false},
		"changed":                     {100 * time.Millisecond, 2, true, false},
		"nothing changed for a while": {restEvery, 1, true, true},
	} {
		due, atRest := box.dueness(origin.Add(test.after), 100*time.Millisecond, test.version, 0)
		if due != test.due || atRest != test.atRest {
			t.Errorf("%s: due %v, at rest %v", name, due, atRest)
		}
	}
}

// TestManyReadsAreDivided: lists of what many workers keep, told after all nodes have
// started again, don't fit one datagram; a message that is too large was dropped
// whole, and the load with it.
func TestManyReadsAreDivided(t *testing.T) {
	var box outbox
	var parts []prefixcache.Part
	for i := range maxParts {
		parts = append(parts, prefixcache.Part{ID: prefixcache.PartID(1<<62 + i), Tokens: 100_000})
	}
	lists := []worker.Read{{Worker: "i-1", Parts: parts}, {Worker: "i-2", Parts: parts}, {Worker: "i-3", Parts: parts}}
	box.collect(worker.Snapshot{Reads: lists})
	told := make(map[string]int)
	for now := origin; ; now = now.Add(sendEvery) {
		due, atRest := box.dueness(now, sendEvery, 0, 0)
		if !due {
			break
		}
		reads, _ := box.next(now, atRest, 0, 0)
		datagram, err := json.Marshal(newMessage("n", 1, worker.Snapshot{Reads: reads}))
		if err != nil || len(datagram) > maxDatagram {
			t.Errorf("%d bytes, %v", len(datagram), err)
		}
		for _, read := range reads {
			told[read.Worker]++
		}
	}
	for _, list := range lists {
		if told[list.Worker] != 2 {
			t.Errorf("%s is told %d times", list.Worker, told[list.Worker])
		}
	}
}
