package httpguard

import (
	"testing"
	"time"
)

// TestReadersThatStallGiveWay: a client that doesn't read its answer keeps a connection to a worker. Clients that
// read, or that send a body, keep none for longer than they need.
func TestReadersThatStallGiveWay(t *testing.T) {
	guard := newTestGuard(64<<20, 64, roomy)
	now := time.Now()
	waits := func(writing bool, waited time.Duration) *conn {
		c := connOf(t, guard, handling, 0, time.Minute)
		c.writing, c.waiting = writing, now.Add(-waited)
		return c
	}
	stalled, longest := waits(true, time.Second), waits(true, 2*time.Second)
	others := []*conn{waits(true, 0), waits(false, time.Minute), connOf(t, guard, handling, 0, time.Minute)}
	guard.EvictReaders()
	if !longest.dropped || stalled.dropped {
		t.Errorf("closed: the longest %v, the other %v; want one, the longest", longest.dropped, stalled.dropped)
	}
	guard.searchedReaders = time.Time{}
	guard.EvictReaders()
	if !stalled.dropped {
		t.Error("a client that doesn't read isn't closed")
	}
	guard.searchedReaders = time.Time{}
	guard.EvictReaders()
	for at, c := range others {
		if c.dropped {
			t.Errorf("client %d, which reads, sends or waits for its worker, is closed", at)
		}
	}
	if causes := guard.ended; causes[Evicted] != 2 {
		t.Errorf("%d are counted as evicted, want 2", causes[Evicted])
	}
}

// TestLargeBodiesBeginOnlyWhereTheyFindRoom: hundreds of large bodies that began at once took what small requests
// need, and none of them could be read to its end.
func TestLargeBodiesBeginOnlyWhereTheyFindRoom(t *testing.T) {
	const memory, length = 16 << 20, 4 << 20
	guard := newTestGuard(memory, 1000, roomy)
	begun := 0
	for range 400 {
		if c := guard.admit(newScripted()); c == nil {
			t.Fatal("a connection isn't admitted")
		} else if c.begin(length) {
			begun++
		} else {
			guard.forget(c) // it is refused
		}
	}
	if guard.used > memory/2 || begun == 0 {
		t.Errorf("%d large bodies have begun and %d bytes are reserved, %d are for all", begun, guard.used, memory)
	}
	for range 50 {
		if c := guard.admit(newScripted()); c == nil || !c.begin(1024) {
			t.Fatal("there is no room for a small request")
		}
	}
}

// TestSilentConnectionsGiveWayAtOnce: a crowd of clients that send nothing, send half a head or don't read came at
// once; ordinary callers were refused until the first of the crowd had been without progress for the grace.
func TestSilentConnectionsGiveWayAtOnce(t *testing.T) {
	const most = 4 * evictionParts
	phases := []phase{idle, head, handling}
	for name, memory := range map[string]int64{"connections": 64 << 20, "memory": most * connectionCost} {
		guard := newTestGuard(memory, most, roomy)
		kept := guard.admit(newScripted())
		kept.rest()
		atWorker, written := connOf(t, guard, handling, 0, 0), connOf(t, guard, handling, 0, 0)
		written.writing, written.waiting = true, time.Now().Add(time.Second) // just now, however long the test takes
		var silent []*conn
		begun := time.Now().Add(-guard.options.Grace / 2)
		for guard.openNow() < most && guard.used+connectionCost <= memory {
			c := connOf(t, guard, phases[len(silent)%len(phases)], 0, 0)
			c.since = begun.Add(time.Duration(len(silent)) * time.Microsecond)
			if c.phase == handling {
				c.writing, c.waiting = true, c.since
			}
			silent = append(silent, c)
		}
		ordinary := guard.admit(newScripted())
		if ordinary == nil || !ordinary.begin(1024) {
			t.Fatalf("%s: an ordinary client finds no room", name)
		}
		if kept.dropped || atWorker.dropped || written.dropped || ordinary.dropped {
			t.Errorf("%s: closed: a kept connection %v, one with a request at a worker %v, one that is written to %v, the new one %v",
				name, kept.dropped, atWorker.dropped, written.dropped, ordinary.dropped)
		}
		if !silent[0].dropped || silent[len(silent)-1].dropped {
			t.Errorf("%s: closed: the oldest %v, the newest %v", name, silent[0].dropped, silent[len(silent)-1].dropped)
		}
	}
}

// TestAnswersUnderWayDontGiveWay: every answer is unread for the moment of its write.
func TestAnswersUnderWayDontGiveWay(t *testing.T) {
	const most = 8
	guard := newTestGuard(64<<20, most, roomy)
	for range most {
		c := connOf(t, guard, handling, 0, 0)
		c.writing, c.waiting = true, time.Now().Add(time.Second) // just now, however long the test takes
	}
	if guard.admit(newScripted()) != nil || guard.openNow() != most {
		t.Errorf("%d of %d answers under way stay open", guard.openNow(), most)
	}
}
