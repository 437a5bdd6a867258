package returns

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLearned returns a schedule that has learned a throughput in tokens per second, half of which
// is usually taken.
func newLearned(perSecond float64) *Schedule {
	s := New(start)
	s.throughput = throughput{work: 2 * perSecond, seconds: 2, last: start, busy: start, begun: start}
	s.arrivals.past = slices.Repeat([]float64{perSecond / 2}, usualSeconds)
	return s
}

// refusalOf returns a refusal of a caller that has enough time.
func refusalOf(rank int, work float64) Refusal {
	return Refusal{Rank: rank, Work: work, Queue: 300 * time.Millisecond, Service: 200 * time.Millisecond, Objective: objective, Remaining: 9 * time.Second, Patience: 9 * time.Second}
}

var (
	drawRefusal = rapid.Custom(func(t *rapid.T) Refusal {
		duration := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		return Refusal{
			Rank: rapid.IntRange(0, Ranks).Draw(t, "rank"), Work: float64(rapid.IntRange(1, 3000).Draw(t, "work")),
			Queue: duration(1500, "queue"), Service: duration(1500, "service"), Objective: objective, Remaining: duration(30_000, "remaining"), Patience: duration(8000, "patience"),
		}
	})
	drawSteps = rapid.SliceOfN(rapid.IntRange(0, 400), 1, 150)
)

// TestPlacesStayWithinTheRate checks that, over any time, the work of the places is no more than
// what the highest rate allows, and one request; and that each place suits its caller.
func TestPlacesStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLearned(float64(rapid.IntRange(100, 20_000).Draw(t, "throughput")))
		due := make(map[int64]float64)
		now, highest, largest, last := start, 0.0, 0.0, int64(0)
		for _, step := range drawSteps.Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			refusal := drawRefusal.Draw(t, "refusal")
			place := s.Refuse(refusal, now, rapid.Float64Range(0, 0.999).Draw(t, "chance"))
			if place.Source == NotInvited {
				if place.After < refusal.Remaining || place.Reason == "" {
					t.Fatalf("%+v is invited early: %+v", refusal, place)
				}
				continue
			}
			left := min(refusal.Remaining, refusal.Patience) - place.After
			if place.After < refusal.Queue || refusal.Service > objective || 3*place.After > refusal.Remaining || left < refusal.Service {
				t.Fatalf("%+v gets an unsuitable place: %+v", refusal, place)
			}
			if at := s.startOf(place.Slot); now.Add(place.After).Before(at) || !now.Add(place.After).Before(at.Add(slotLength)) {
				t.Fatalf("the return after %v isn't in slot %d", place.After, place.Slot)
			}
			due[place.Slot] += refusal.Work
			highest, largest, last = max(highest, place.Rate), max(largest, refusal.Work), max(last, place.Slot)
		}
		perSlot := highest * slotLength.Seconds()
		for from := range last + 1 {
			sum := 0.0
			for to := from; to <= last; to++ {
				sum += due[to]
				if most := perSlot*float64(to-from) + max(perSlot, largest); sum > most+1e-6 {
					t.Fatalf("slots %d to %d hold %v tokens, most is %v", from, to, sum, most)
				}
			}
		}
	})
}

// TestUrgentCallersComeFirst checks that in any state a more urgent caller gets a place if a less
// urgent one would, and no later.
func TestUrgentCallersComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newLearned(10_000), newLearned(10_000)
		now := start
		for _, step := range drawSteps.Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			refusal := drawRefusal.Draw(t, "refusal")
			one.Refuse(refusal, now, 0)
			other.Refuse(refusal, now, 0)
		}
		refusal := drawRefusal.Draw(t, "last")
		less := other.Refuse(refusal, now, 0)
		refusal.Rank = rapid.IntRange(0, refusal.Rank).Draw(t, "urgent")
		urgent := one.Refuse(refusal, now, 0)
		if less.Source == Scheduled && (urgent.Source != Scheduled || urgent.Slot > less.Slot) {
			t.Fatalf("rank %d gets %+v, a less urgent one %+v", refusal.Rank, urgent, less)
		}
	})
}

// TestPlacesAreKeptForUrgentCallers checks that a less urgent caller gets no place while more
// urgent ones need them all, and gets one again later.
func TestPlacesAreKeptForUrgentCallers(t *testing.T) {
	s := newLearned(10_000)
	now := start
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		s.Refuse(refusalOf(0, 500), now, 0)
	}
	if place := s.Refuse(refusalOf(2, 500), now, 0); place.Reason != Taken {
		t.Errorf("a less urgent caller gets %+v", place)
	}
	if place := s.Refuse(refusalOf(2, 500), now.Add(10*refusedMemory), 0); place.Source != Scheduled {
		t.Errorf("a less urgent caller gets %+v once no urgent one is refused", place)
	}
}

// TestRestartedNodeInvitesNobodyUntilItKnowsTheRate checks that an empty schedule learns the
// rate within a second of load.
func TestRestartedNodeInvitesNobodyUntilItKnowsTheRate(t *testing.T) {
	s := New(start)
	if place := s.Refuse(refusalOf(0, 100), start, 0); place.Source != NotInvited || place.Reason != Unlearned {
		t.Errorf("an empty schedule gives %+v", place)
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		s.Served(1000, time.Second, objective, now)
	}
	if place := s.Refuse(refusalOf(0, 100), now, 0); place.Source != Scheduled {
		t.Errorf("after a second of load: %+v", place)
	}
}

// TestSuspendedNodeKeepsTheRate checks that the time in which a node was suspended neither
// counts as time in which nothing was served nor leaves places in the past.
func TestSuspendedNodeKeepsTheRate(t *testing.T) {
	s := newLearned(10_000)
	now := start
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		s.Served(600, 0, objective, now)
	}
	before := s.Refuse(refusalOf(0, 100), now, 0)
	after := s.Refuse(refusalOf(0, 100), now.Add(5*time.Second), 0)
	if after.Source != Scheduled || after.After < 300*time.Millisecond || before.Rate != after.Rate {
		t.Errorf("%+v, and after 5 s %+v", before, after)
	}
	if len(s.due) != 1 {
		t.Errorf("%d slots are kept, those of the past included", len(s.due))
	}
}

// TestClock checks a clock that goes back, and one that goes on for long.
func TestClock(t *testing.T) {
	s := newLearned(10_000)
	s.Refuse(refusalOf(0, 100), start, 0)
	s.Refuse(refusalOf(0, 100), start.Add(time.Second), 0)
	if back := s.Refuse(refusalOf(0, 100), start.Add(500*time.Millisecond), 0); back.Source != Scheduled || back.After < 300*time.Millisecond {
		t.Errorf("after the clock went back: %+v", back)
	}
	if later := s.Refuse(refusalOf(0, 100), start.Add(1000*time.Hour), 0); later.Reason != Unlearned || len(s.due) != 0 {
		t.Errorf("after 1000 h: %+v, %d slots", later, len(s.due))
	}
}

// TestGapWithPlacesOutstandingKeepsTheRate checks that a long time without a request doesn't
// count as time without demand while callers are due in it.
func TestGapWithPlacesOutstandingKeepsTheRate(t *testing.T) {
	s := newLearned(10_000)
	now := start
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		s.Served(600, 0, objective, now)
	}
	before := s.Refuse(refusalOf(0, 100), now, 0)
	s.due[s.current+horizon-3] = &[Ranks]float64{100}
	after := s.Refuse(refusalOf(0, 100), now.Add(11*time.Second), 0)
	if before.Rate != after.Rate {
		t.Errorf("%.0f tokens a second before the gap and %.0f after it", before.Rate, after.Rate)
	}
}
