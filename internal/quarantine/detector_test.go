package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func request(name string) Fingerprint { return Content{Target: name}.Fingerprint() }

// crashOf is the crash of a worker at an address of its own.
func crashOf(worker string) Crash { return Crash{Worker: worker, Address: "address of " + worker} }

// crash records crashes of workers, each while it was running the named requests, and
// evaluates.
func (d *Detector) crash(now time.Time, workers []string, names ...string) {
	for _, worker := range workers {
		var ran []Fingerprint
		for _, name := range names {
			ran = append(ran, request(name))
		}
		d.Crashed(crashOf(worker), ran, now)
	}
	d.Evaluate()
}

// isQuarantined reports whether a request is quarantined once its last crash has settled.
func (d *Detector) isQuarantined(name string, now time.Time) bool {
	return d.Status(request(name), now.Add(settlePeriod)).Quarantined
}

func TestThirdCrashQuarantines(t *testing.T) {
	d := NewDetector()
	for count, worker := range []string{"w1", "w2", "w3"} {
		if d.isQuarantined("a", start) {
			t.Errorf("quarantined after %d crashes", count)
		}
		d.crash(start, []string{worker}, "a")
	}
	if !d.isQuarantined("a", start) {
		t.Error("not quarantined after three crashes")
	}
	if got := d.Status(request("other"), start); got != (Status{}) {
		t.Errorf("another request has the status %+v", got)
	}
}

// TestSameCrashCountsOnce, however many nodes report it.
func TestSameCrashCountsOnce(t *testing.T) {
	d := NewDetector()
	for range 5 {
		d.crash(start, []string{"w1", "w2"}, "a")
	}
	if got := d.Status(request("a"), start).Crashes; got != 2 {
		t.Errorf("%d crashes", got)
	}
}

// TestCompletedRunClears: a completed run must also clear crashes that are reported after it,
// while crashes from then on count.
func TestCompletedRunClears(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "a")
	cleared, changed := d.Clear(request("a"), start)
	d.Evaluate()
	if !changed || d.isQuarantined("a", start) {
		t.Errorf("changed %v, still quarantined %v", changed, d.isQuarantined("a", start))
	}
	other := NewDetector()
	other.Merge([]Record{cleared}, start)
	other.crash(start, []string{"w1", "w2", "w3"}, "a")
	if got := other.Status(request("a"), start).Crashes; got != 0 {
		t.Errorf("%d crashes count that were reported after they were cleared", got)
	}
	d.crash(start, []string{"w4", "w5"}, "a")
	if d.isQuarantined("a", start) {
		t.Error("cleared crashes count again")
	}
	d.crash(start, []string{"w6"}, "a")
	if !d.isQuarantined("a", start) {
		t.Error("three new crashes don't count")
	}
}

// TestNeighboursAreNotBlamed: requests that were present only at crashes that another,
// quarantined request explains must not be quarantined.
func TestNeighboursAreNotBlamed(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1"}, "poison", "twice", "thrice", "once")
	d.crash(start, []string{"w2"}, "poison", "twice", "thrice")
	d.crash(start, []string{"w3"}, "poison", "thrice")
	if d.isQuarantined("poison", start) || d.isQuarantined("thrice", start) {
		t.Error("one of two requests present at the same three crashes is quarantined, though either may have caused them")
	}
	d.crash(start, []string{"w4"}, "poison")
	if !d.isQuarantined("poison", start) {
		t.Error("not quarantined after four crashes, the last of which no other request explains")
	}
	for _, name := range []string{"once", "twice", "thrice"} {
		if d.isQuarantined(name, start) {
			t.Errorf("%q is quarantined, though another request explains all its crashes", name)
		}
	}
	// The crashes that the other request explains no longer count, so two further crashes
	// aren't enough.
	d.crash(start, []string{"w5", "w6"}, "thrice")
	if d.isQuarantined("thrice", start) {
		t.Error("explained crashes count")
	}
}

// TestRequestsThatAlwaysRunTogetherAreQuarantined after two more crashes at most, though
// nothing tells which of them is at fault.
func TestRequestsThatAlwaysRunTogetherAreQuarantined(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3", "w4", "w5"}, "a", "b")
	if !d.isQuarantined("a", start) && !d.isQuarantined("b", start) {
		t.Error("neither request is quarantined after five crashes")
	}
}

// TestLateReportClearsInnocentRequest: a report that arrives after the evaluation shows that
// another request was present at all the crashes too.
func TestLateReportClearsInnocentRequest(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "innocent")
	d.crash(start, []string{"w1", "w2"}, "poison")
	if standing := d.Status(request("innocent"), start); standing.Quarantined || standing.Settling != settlePeriod {
		t.Errorf("status before the last crash has settled: %+v", standing)
	}
	d.crash(start, []string{"w3", "w4"}, "poison")
	if d.isQuarantined("innocent", start) || !d.isQuarantined("poison", start) {
		t.Error("the innocent request is quarantined, or the other one is not")
	}
}

// TestMachineThatCrashesAllWorkersIsToBlame, not the request that is sent there each time.
func TestMachineThatCrashesAllWorkersIsToBlame(t *testing.T) {
	d := NewDetector()
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		d.Crashed(Crash{Worker: worker, Address: "the same"}, []Fingerprint{request("a")}, start)
	}
	d.Evaluate()
	if d.isQuarantined("a", start) {
		t.Error("quarantined after four crashes at one address")
	}
	d.Crashed(Crash{Worker: "w5", Address: "the same"}, []Fingerprint{request("a")}, start)
	d.Evaluate()
	if !d.isQuarantined("a", start) {
		t.Error("not quarantined after five crashes")
	}
}

// TestBegunAnswersNeedMoreCrashes: a request whose answer had begun is less likely to have
// crashed its worker.
func TestBegunAnswersNeedMoreCrashes(t *testing.T) {
	d := NewDetector()
	for count, worker := range []string{"w1", "w2", "w3", "w4", "w5"} {
		if d.isQuarantined("a", start) {
			t.Errorf("quarantined after %d crashes while it was being answered", count)
		}
		crash := crashOf(worker)
		crash.Answering = true
		d.Crashed(crash, []Fingerprint{request("a")}, start)
		d.Evaluate()
	}
	if !d.isQuarantined("a", start) {
		t.Error("not quarantined after five crashes")
	}
}

func TestLivingWorkerCountsAgainstNoRequest(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "a")
	d.crash(start, []string{"w1"}, "b")
	d.ClearWorker("w1", start)
	d.Evaluate()
	if d.isQuarantined("a", start) || d.Status(request("b"), start).Crashes != 0 {
		t.Error("the crash of a worker that is alive counts")
	}
}

// TestReleaseAlsoReleasesNeighbours: crashes that a released request explained must not count
// against others.
func TestReleaseAlsoReleasesNeighbours(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "poison", "beside")
	d.crash(start, []string{"w4"}, "poison")
	d.Release(request("poison"), start)
	d.Evaluate()
	if d.isQuarantined("poison", start) || d.isQuarantined("beside", start) {
		t.Error("a released request, or one that ran beside it, is quarantined")
	}
}

// TestTrialsComeRarely: there are at most three trials in a day.
func TestTrialsComeRarely(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "a")
	trials := 0
	for minute := range 23 * 60 {
		now := start.Add(time.Duration(minute) * time.Minute)
		if d.Status(request("a"), now).TrialDue {
			trials++
			d.crash(now, []string{fmt.Sprint("t", minute)}, "a")
		}
	}
	if trials != len(trialDelays) {
		t.Errorf("%d trials in a day", trials)
	}
}

func TestOldRecordsExpire(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1"}, "once")
	d.crash(start, []string{"w1", "w2", "w3"}, "poison")
	d.Expire(start.Add(suspectedFor))
	if d.Status(request("once"), start).Crashes != 0 || !d.isQuarantined("poison", start) {
		t.Error("a suspected request did not expire, or a quarantined one did")
	}
	d.Expire(start.Add(quarantinedFor))
	if len(d.entries) != 0 || len(d.byWorker) != 0 {
		t.Errorf("%d requests and %d workers left", len(d.entries), len(d.byWorker))
	}
}

// TestDetectorIsBounded: evictions must spare the quarantined requests.
func TestDetectorIsBounded(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "poison")
	for number := range 2 * maxRecords {
		d.Crashed(crashOf(fmt.Sprint("v", number)), []Fingerprint{request(fmt.Sprint(number))}, start.Add(time.Second))
	}
	for number := range 3 * maxCrashes {
		d.Crashed(crashOf(fmt.Sprint("x", number)), []Fingerprint{request("poison")}, start)
	}
	if len(d.entries) > maxRecords || len(d.byWorker) > maxRecords+maxCrashes {
		t.Errorf("%d requests and %d workers are kept", len(d.entries), len(d.byWorker))
	}
	if got := len(d.entries[request("poison")].Crashes); got > maxCrashes {
		t.Errorf("%d crashes of one request are kept", got)
	}
	if !d.isQuarantined("poison", start) {
		t.Error("the quarantined request was evicted")
	}
}

// TestCrashingFleetIsNotRefused: if all requests seem to crash their workers, the workers are
// at fault.
func TestCrashingFleetIsNotRefused(t *testing.T) {
	d := NewDetector()
	for number := range 4 * maxQuarantined {
		name := fmt.Sprint(number)
		d.crash(start, []string{name + "1", name + "2", name + "3"}, name)
	}
	if _, quarantined := d.Counts(); quarantined != maxQuarantined {
		t.Errorf("%d requests are quarantined", quarantined)
	}
}

// TestOrderOfReportsDoesNotMatter: nodes that receive the same reports, in any order and any
// number of times, must hold the same records and quarantine the same requests.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			crash := crashOf(fmt.Sprint("w", rapid.IntRange(1, 6).Draw(t, "worker")))
			crash.Cleared = rapid.IntRange(0, 5).Draw(t, "cleared") == 0
			crash.Answering = rapid.Bool().Draw(t, "answering")
			records = append(records, Record{Fingerprint: request(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "request"))), Crashes: []Crash{crash}})
		}
		other := append(slices.Clone(records), records...)
		rand.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		left, right := NewDetector(), NewDetector()
		for i := range other {
			right.Merge(other[i:i+1], start)
			if i < len(records) {
				left.Merge(records[i:i+1], start)
			}
		}
		left.Evaluate()
		right.Evaluate()
		for number := range 4 {
			name := fmt.Sprint(number + 1)
			if left.isQuarantined(name, start) != right.isQuarantined(name, start) {
				t.Fatalf("request %s is quarantined at one node only", name)
			}
			if known, exists := left.entries[request(name)]; exists {
				if difference := cmp.Diff(known.Record, right.entries[request(name)].Record); difference != "" {
					t.Fatal(difference)
				}
			}
		}
	})
}

// TestNewNodeAgreesWithOthers: a new node receives all crashes at once, the others saw them one
// after the other.
func TestNewNodeAgreesWithOthers(t *testing.T) {
	old := NewDetector()
	old.crash(start, []string{"w1", "w2", "w3"}, "poison", "beside")
	old.crash(start, []string{"w4"}, "poison")
	old.crash(start, []string{"w5", "w6"}, "beside")
	added := NewDetector()
	for _, known := range old.entries {
		added.Merge([]Record{known.clone()}, start)
	}
	added.Evaluate()
	for _, name := range []string{"poison", "beside"} {
		if old.isQuarantined(name, start) != added.isQuarantined(name, start) {
			t.Errorf("%q is quarantined at the old nodes: %v, at the new one: %v", name, old.isQuarantined(name, start), added.isQuarantined(name, start))
		}
	}
	if !added.isQuarantined("poison", start) {
		t.Error("the request that was quarantined first is not quarantined at the new node")
	}
}

// BenchmarkJudge measures an evaluation while thousands of requests are suspected, after the
// loss of a rack.
func BenchmarkJudge(b *testing.B) {
	d := NewDetector()
	for number := range maxRecords {
		d.Crashed(crashOf(fmt.Sprint("w", number%40)), []Fingerprint{request(fmt.Sprint(number))}, start)
	}
	d.crash(start, []string{"v1", "v2", "v3"}, "poison")
	for b.Loop() {
		d.Evaluate()
	}
}
