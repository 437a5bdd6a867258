package nodeexchange

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/worker"
)

func TestCacheUpdatesAreSentTwiceAndFailuresOnce(t *testing.T) {
	box := outbox{lastPeriodic: origin}
	box.add(worker.Snapshot{CacheUpdates: []worker.CacheUpdate{{Worker: "w"}}, Failures: []string{"w"}})
	reads, failures, messages := 0, 0, 0
	for now := origin.Add(minSendInterval); now.Sub(origin) < 3*periodicInterval; now = now.Add(minSendInterval) {
		due, atRest := box.due(now)
		if !due {
			continue
		}
		toldReads, toldFailures := box.next(now, atRest)
		reads += len(toldReads)
		failures += len(toldFailures)
		messages++
	}
	if reads != 2 || failures != 1 || messages != 3 {
		t.Errorf("a cache update is sent %d times and a failure %d times, in %d messages", reads, failures, messages)
	}
}

func TestTimeBetweenMessages(t *testing.T) {
	for name, test := range map[string]struct {
		after       time.Duration
		changed     bool
		due, atRest bool
		wait        time.Duration
	}{
		"nothing changed":             {200 * time.Millisecond, false, false, false, periodicInterval - 200*time.Millisecond},
		"changed, but too soon":       {minSendInterval - 1, true, false, false, 1},
		"changed":                     {minSendInterval, true, true, false, 0},
		"nothing changed for a while": {periodicInterval, false, true, true, 0},
	} {
		var box outbox
		box.next(origin, true)
		box.changed = test.changed
		now := origin.Add(test.after)
		due, atRest := box.due(now)
		if due != test.due || atRest != test.atRest || box.untilDue(now) != test.wait {
			t.Errorf("%s: due %v, periodic %v, wait %v", name, due, atRest, box.untilDue(now))
		}
	}
}

// TestManyCacheUpdatesAreSplit guards against the loss of a whole load message that is too
// large: the cache lists of many workers, which are sent after all nodes have restarted, don't
// fit in one datagram.
func TestManyCacheUpdatesAreSplit(t *testing.T) {
	box := outbox{lastPeriodic: origin}
	var parts []prefixcache.Part
	for i := range maxParts {
		parts = append(parts, prefixcache.Part{ID: prefixcache.PartID(1<<62 + i), Tokens: 100_000})
	}
	lists := []worker.CacheUpdate{{Worker: "i-1", Parts: parts}, {Worker: "i-2", Parts: parts}, {Worker: "i-3", Parts: parts}}
	box.add(worker.Snapshot{CacheUpdates: lists})
	told := make(map[string]int)
	for now := origin.Add(minSendInterval); now.Sub(origin) < 5*periodicInterval; now = now.Add(minSendInterval) {
		due, atRest := box.due(now)
		if !due {
			continue
		}
		reads, _ := box.next(now, atRest)
		datagram, err := json.Marshal(newMessage(Message{Node: "n"}, worker.Snapshot{CacheUpdates: reads}))
		if err != nil || len(datagram) > maxDatagram {
			t.Errorf("%d bytes, %v", len(datagram), err)
		}
		for _, read := range reads {
			told[read.Worker]++
		}
	}
	for _, list := range lists {
		if told[list.Worker] != 2 {
			t.Errorf("the cache list of %s is sent %d times", list.Worker, told[list.Worker])
		}
	}
}
