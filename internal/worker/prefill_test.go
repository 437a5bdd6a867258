package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
)

var (
	sharedPrefix = somePrompt
	prefixTokens = prefixcache.Tokens(sharedPrefix)
	// sharingPrompt shares the prefix and adds a part of its own.
	sharingPrompt = append(sharedPrefix[:len(sharedPrefix):len(sharedPrefix)], prefixcache.Part{ID: 9, Tokens: 70})
)

// inFlightAt returns what is in flight at the worker p for a prompt that shares the prefix.
func inFlightAt(t *testing.T, r *Registry, now time.Time) scheduling.InFlight {
	t.Helper()
	return find(t, r, "p", sharingPrompt, now).InFlight
}

// told passes the prefills of one registry to another, as its load messages do.
func told(from, to *Registry, now time.Time) {
	to.Merge("other", from.Snapshot(), now)
}

// TestPrefillIsInFlightUntilItEnds checks that a prefill counts at its own node and at another
// one with the time that is left, covers only a common prefix, and isn't cached.
func TestPrefillIsInFlightUntilItEnds(t *testing.T) {
	own, other := newTestRegistry(), newTestRegistry()
	now := time.Now()
	end := own.BeginPrefill("p", sharedPrefix, time.Second, now)
	other.Merge("other", Snapshot{Prefills: []InFlightPrefill{{Worker: "p", Parts: sharedPrefix, Left: time.Second}}}, now)
	for name, r := range map[string]*Registry{"own": own, "other": other} {
		got := find(t, r, "p", sharingPrompt, now.Add(400*time.Millisecond))
		if want := (scheduling.InFlight{Tokens: prefixTokens, Left: 600 * time.Millisecond}); got.InFlight != want || got.CachedTokens != 0 {
			t.Errorf("%s node: in flight %+v, cached %d", name, got.InFlight, got.CachedTokens)
		}
		if got := find(t, r, "p", []prefixcache.Part{{ID: 7, Tokens: 500}}, now).InFlight; got.Tokens != 0 {
			t.Errorf("%s node: in flight for another prompt: %+v", name, got)
		}
	}
	end()
	end()
	if got := inFlightAt(t, own, now); got.Tokens != 0 || len(own.prefilling) != 0 {
		t.Errorf("in flight after its end: %+v", got)
	}
}

// TestEndedPrefillFreesWaitersAtOnce checks that waiters at another node wake with the next
// message when a prefill ends: with the prefix cached if it ended well, without it if its reader
// failed or its caller left.
func TestEndedPrefillFreesWaitersAtOnce(t *testing.T) {
	for name, want := range map[string]int{"ended well": prefixTokens, "reader failed or caller left": 0} {
		reading, waiting := newTestRegistry(), newTestRegistry()
		now := time.Now()
		end := reading.BeginPrefill("p", sharedPrefix, time.Hour, now)
		told(reading, waiting, now)
		changed, inFlight, _ := waiting.WatchPrefills("p", sharingPrompt, now)
		if inFlight.Tokens != prefixTokens {
			t.Fatalf("%s: not under way", name)
		}
		if want > 0 {
			reading.ObserveCached("p", sharedPrefix, now)
		}
		end()
		told(reading, waiting, now)
		<-changed
		if _, inFlight, cached := waiting.WatchPrefills("p", sharingPrompt, now); inFlight.Tokens != 0 || cached != want {
			t.Errorf("%s: in flight %+v, cached %d", name, inFlight, cached)
		}
	}
}

// TestPrefillOfALostNodeExpires checks that nobody waits for a prefill whose node is silent.
func TestPrefillOfALostNodeExpires(t *testing.T) {
	r := newTestRegistry()
	r.Merge("lost", Snapshot{Prefills: []InFlightPrefill{{Worker: "p", Parts: sharedPrefix, Left: time.Second}}}, origin)
	end := origin.Add(time.Second + prefillGrace)
	if before, after := inFlightAt(t, r, end.Add(-1)), inFlightAt(t, r, end); before.Tokens == 0 || after.Tokens != 0 {
		t.Errorf("in flight just before its expiry: %+v, after: %+v", before, after)
	}
	if left := r.workers["p"].prefills.remote; len(left) != 0 {
		t.Errorf("still remembered: %v", left)
	}
}

// TestOverduePrefillIsExpectedToTakeAsLongAgain checks the time left of a prefill that takes
// longer than expected, and that it counts for at most twice the expected time.
func TestOverduePrefillIsExpectedToTakeAsLongAgain(t *testing.T) {
	r := newTestRegistry()
	defer r.BeginPrefill("p", sharedPrefix, time.Second, origin)()
	for age, left := range map[time.Duration]time.Duration{
		time.Second: minPrefillLeft, 1300 * time.Millisecond: 300 * time.Millisecond, 2 * time.Second: 0,
	} {
		if got := inFlightAt(t, r, origin.Add(age)).Left; got != left {
			t.Errorf("after %v: %v left, want %v", age, got, left)
		}
	}
}

// TestLostOrDoubledMessageLeavesNoPrefill checks that each message tells all prefills of its
// sender, so that the next one makes up for a lost one and a doubled one changes nothing.
func TestLostOrDoubledMessageLeavesNoPrefill(t *testing.T) {
	reading, waiting := newTestRegistry(), newTestRegistry()
	now := time.Now()
	end := reading.BeginPrefill("p", sharedPrefix, time.Hour, now)
	reading.Snapshot() // lost
	begun := reading.Snapshot()
	waiting.Merge("other", begun, now)
	waiting.Merge("other", begun, now)
	if got := inFlightAt(t, waiting, now); got.Tokens != prefixTokens || len(waiting.workers["p"].prefills.remote["other"]) != 1 {
		t.Errorf("in flight after a lost and a doubled message: %+v", got)
	}
	end()
	reading.Snapshot() // lost
	told(reading, waiting, now)
	if got := inFlightAt(t, waiting, now); got.Tokens != 0 {
		t.Errorf("in flight after its end: %+v", got)
	}
}

// TestNewIncarnationEndsPrefills checks that a prefill ends with the engine that did it, and that
// late messages about it are ignored.
func TestNewIncarnationEndsPrefills(t *testing.T) {
	r := newTestRegistry()
	first, second := incarnationOf("w", 1000), incarnationOf("w", 2000)
	r.Apply(Change{Name: "w", Worker: &first})
	end := r.BeginPrefill(first.ID, sharedPrefix, time.Hour, origin)
	changed, _, _ := r.WatchPrefills(first.ID, sharingPrompt, origin)
	r.Apply(Change{Name: "w", Worker: &second})
	<-changed
	r.Merge("other", Snapshot{Prefills: []InFlightPrefill{{Worker: first.ID, Parts: sharedPrefix, Left: time.Hour}}}, origin)
	end()
	if got := find(t, r, second.ID, sharingPrompt, origin).InFlight; got.Tokens != 0 {
		t.Errorf("in flight at the new incarnation: %+v", got)
	}
	if again, inFlight, _ := r.WatchPrefills(first.ID, sharingPrompt, origin); again != nil || inFlight.Tokens != 0 {
		t.Error("the earlier incarnation is still waited for")
	}
	if told := r.Snapshot().Prefills; len(told) != 0 {
		t.Errorf("told: %v", told)
	}
}

// TestLoadReportLeavesOutTheAskingNode checks that a node doesn't hear of its own prefills, which
// it knows itself.
func TestLoadReportLeavesOutTheAskingNode(t *testing.T) {
	r := newTestRegistry()
	r.Merge("asking", Snapshot{Prefills: []InFlightPrefill{{Worker: "p", Parts: sharedPrefix, Left: time.Second}}}, origin)
	for asking, want := range map[string]int{"asking": 0, "other": prefixTokens} {
		report := r.LoadReports([]string{"p"}, sharingPrompt, 0, asking, origin)["p"]
		if report.InFlight.Tokens != want {
			t.Errorf("%s: %+v", asking, report.InFlight)
		}
	}
}

// TestSamePrefillsAreToldEachTime checks that of more prefills than fit in a message those that
// end first are told, so that none seems to have ended while it is under way.
func TestSamePrefillsAreToldEachTime(t *testing.T) {
	r, now := newTestRegistry(), time.Now()
	for i := range maxToldPrefills + 8 {
		r.BeginPrefill("p", sharedPrefix, time.Second+time.Duration(i)*time.Millisecond, now)
	}
	for range 5 {
		prefills := r.Snapshot().Prefills
		if len(prefills) != maxToldPrefills {
			t.Fatalf("%d prefills are told, want %d", len(prefills), maxToldPrefills)
		}
		for _, told := range prefills {
			if told.Left > time.Second+maxToldPrefills*time.Millisecond {
				t.Errorf("a prefill that ends in %v is told, and an earlier one isn't", told.Left)
			}
		}
	}
}
