package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const span = 5 * time.Second

// at returns a moment of a fixed day. It has no monotonic reading, so that differences are
// those of the wall clock.
func at(seconds float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestWindows(t *testing.T) {
	s := WindowLength(span)
	window := s.WindowAt(at(0))
	if s.WindowAt(at(4.999)) != window || s.WindowAt(at(5)) != window+1 || !s.End(window).Equal(at(5)) {
		t.Errorf("window %d ends at %v; 5 s later it is %d", window, s.End(window), s.WindowAt(at(5)))
	}
}

// TestClockIgnoresJumpsThatReturn checks that the time of day changes only if the wall clock
// stays where it jumped to.
func TestClockIgnoresJumpsThatReturn(t *testing.T) {
	now := time.Now()
	steady := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	wall := func(seconds, off float64) time.Time {
		return now.Round(0).Add(time.Duration((seconds + off) * float64(time.Second)))
	}
	c := &testClock{}
	for _, step := range []struct{ at, off, want float64 }{
		{0, 0, 0}, {1, 0.02, 0.02}, {2, 2, 0.02}, {3, 2, 0.02}, {4, 0, 0},
		{5, -2, 0}, {20, -2, 0}, {36, -2, -2}, {37, -2, -2},
	} {
		got := c.now(steady(step.at), wall(step.at, step.off))
		if off := got.Sub(wall(step.at, 0)).Seconds(); off < step.want-0.001 || off > step.want+0.001 {
			t.Errorf("at %v s with the wall clock %v s off: the time of day is %v s off, want %v", step.at, step.off, off, step.want)
		}
	}
}

// testClock is a Clock whose two clock readings are given separately.
type testClock struct{ Clock }

func (c *testClock) now(steady, wall time.Time) time.Time { return c.timeOfDay(steady, wall) }

func TestSinceReturnsChanges(t *testing.T) {
	tally := NewTally(span)
	tally.CountStarted("a", at(1))
	tally.CountStarted("b", at(1))
	tally.CountStarted("a", at(2))
	first := tally.Since(0, at(2))
	if len(first.Entries) != 2 || first.Through != 3 || first.Closed != WindowLength(span).WindowAt(at(2))-1 {
		t.Errorf("delta %+v", first)
	}
	tally.CountStarted("a", at(7))
	second := tally.Since(first.Through, at(11))
	want := []Entry{{Window: WindowLength(span).WindowAt(at(7)), Tenant: "a", Count: 1}}
	if diff := cmp.Diff(want, second.Entries); diff != "" || second.Closed != WindowLength(span).WindowAt(at(7)) {
		t.Errorf("closed %d, %s", second.Closed, diff)
	}
}

// TestCollectorCompletesAfterLostMessages checks that, whatever messages are lost, repeated or
// reordered, a window counts as closed only when its counts are complete.
func TestCollectorCompletesAfterLostMessages(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		tally, collector := NewTally(span), NewCollector()
		truth := make(Counts)
		told := uint64(0)
		tell := func(now time.Time, lossy bool) {
			delta := tally.Since(told, now)
			told = delta.Through
			for range 1 + random.IntN(2) { // a datagram may be duplicated
				if lossy && random.IntN(3) == 0 {
					continue
				}
				if reply, wanted := collector.MergeDelta("n", delta); wanted && (!lossy || random.IntN(3) > 0) {
					told = min(told, reply.Through)
				}
			}
		}
		for i := range 200 {
			moment := at(5 * float64(i) / 200)
			tenant := string(rune('a' + random.IntN(8)))
			tally.CountStarted(tenant, moment)
			truth[tenant]++
			if random.IntN(10) == 0 {
				tell(moment, true)
			}
		}
		window := WindowLength(span).WindowAt(at(0))
		for i := 0; !collector.Closed("n", window); i++ {
			if i > 100 {
				t.Fatalf("seed %d: the window isn't closed after 100 messages", seed)
			}
			tell(at(5.1+0.1*float64(i)), i < 20)
		}
		if diff := cmp.Diff(truth, collector.Total(window)); diff != "" {
			t.Errorf("seed %d: %s", seed, diff)
		}
	}
}

// TestCountsOfAKilledProcessAreKept checks that they add to those of the next process, and that
// a new supervisor gets both from another one.
func TestCountsOfAKilledProcessAreKept(t *testing.T) {
	window := WindowLength(span).WindowAt(at(0))
	old := NewCollector()
	for _, node := range []string{"before", "after"} {
		tally := NewTally(span)
		tally.CountStarted("a", at(1))
		old.MergeDelta(node, tally.Since(0, at(2)))
	}
	fresh := NewCollector()
	for node, entries := range old.EntriesAfter(window - 1) {
		fresh.MergeEntries(node, entries)
		fresh.MergeEntries(node, entries)
	}
	if got := fresh.Total(window)["a"]; got != 2 {
		t.Errorf("%d requests, want 2", got)
	}
}

func TestOldRecordedWindowsAreDropped(t *testing.T) {
	c := NewCollector()
	for window := Window(1); window <= 3*keptRows; window++ {
		c.MergeRecorded(map[Window]Counts{window: {"a": 1}})
	}
	if recorded := c.Recorded(0); len(recorded) != keptRows || recorded[3*keptRows] == nil {
		t.Errorf("%d windows are kept, want the newest %d", len(recorded), keptRows)
	}
}
