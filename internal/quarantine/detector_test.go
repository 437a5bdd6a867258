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

// at is the end of a worker at an address of its own.
func crashOf(worker string) Crash { return Crash{Worker: worker, Address: "address of " + worker} }

// crash has workers end under requests, one after the other, and judges.
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

// isQuarantined looks once all has settled.
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
		t.Errorf("another request stands as %+v", got)
	}
}

// TestSameEndCountsOnce, however many nodes tell of it.
func TestSameCrashCountsOnce(t *testing.T) {
	d := NewDetector()
	for range 5 {
		d.crash(start, []string{"w1", "w2"}, "a")
	}
	if got := d.Status(request("a"), start).Crashes; got != 2 {
		t.Errorf("%d crashes", got)
	}
}

// TestRunToAnEndClears, though it is told late and in another order.
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
		t.Errorf("%d crashes count that are told after they were cleared", got)
	}
	d.crash(start, []string{"w4", "w5"}, "a")
	if d.isQuarantined("a", start) {
		t.Error("crashes of before count again")
	}
	d.crash(start, []string{"w6"}, "a")
	if !d.isQuarantined("a", start) {
		t.Error("three new crashes don't count")
	}
}

// TestNeighboursAreNotBlamed: what was at the same ends as a request that was at one more
// is innocent, and so is what was at some of them.
func TestNeighboursAreNotBlamed(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1"}, "poison", "twice", "thrice", "once")
	d.crash(start, []string{"w2"}, "poison", "twice", "thrice")
	d.crash(start, []string{"w3"}, "poison", "thrice")
	if d.isQuarantined("poison", start) || d.isQuarantined("thrice", start) {
		t.Error("one of two that were at the same three ends is quarantined: either may have done it")
	}
	d.crash(start, []string{"w4"}, "poison")
	if !d.isQuarantined("poison", start) {
		t.Error("four ends, of which nothing else explains the last, aren't enough")
	}
	for _, name := range []string{"once", "twice", "thrice"} {
		if d.isQuarantined(name, start) {
			t.Errorf("%q is quarantined, though another request explains all its crashes", name)
		}
	}
	// Its crashes beside the other one count no more, so that it can be unlucky again.
	d.crash(start, []string{"w5", "w6"}, "thrice")
	if d.isQuarantined("thrice", start) {
		t.Error("explained crashes count")
	}
}

// TestTwoThatAreAlwaysTogetherAreStopped in the end: no more than two workers further.
func TestRequestsThatAlwaysRunTogetherAreQuarantined(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3", "w4", "w5"}, "a", "b")
	if !d.isQuarantined("a", start) && !d.isQuarantined("b", start) {
		t.Error("neither is quarantined after five ends")
	}
}

// TestLateReportExonerates: a report that comes after the judgement shows that another
// request was at all ends too.
func TestLateReportClearsInnocentRequest(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "innocent")
	d.crash(start, []string{"w1", "w2"}, "poison")
	if standing := d.Status(request("innocent"), start); standing.Quarantined || standing.Settling != settlePeriod {
		t.Errorf("before all can have been told it stands as %+v", standing)
	}
	d.crash(start, []string{"w3", "w4"}, "poison")
	if d.isQuarantined("innocent", start) || !d.isQuarantined("poison", start) {
		t.Error("the wrong one is quarantined")
	}
}

// TestMachineThatEndsAllIsToBlame, not the request that it gets each time.
func TestMachineThatCrashesAllWorkersIsToBlame(t *testing.T) {
	d := NewDetector()
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		d.Crashed(Crash{Worker: worker, Address: "the same"}, []Fingerprint{request("a")}, start)
	}
	d.Evaluate()
	if d.isQuarantined("a", start) {
		t.Error("quarantined for four ends at one address")
	}
	d.Crashed(Crash{Worker: "w5", Address: "the same"}, []Fingerprint{request("a")}, start)
	d.Evaluate()
	if !d.isQuarantined("a", start) {
		t.Error("five ends aren't enough")
	}
}

// TestAnswersWeighAgainstBlame: what had been answering is less likely to have ended its
// worker.
func TestBegunAnswersNeedMoreCrashes(t *testing.T) {
	d := NewDetector()
	for count, worker := range []string{"w1", "w2", "w3", "w4", "w5"} {
		if d.isQuarantined("a", start) {
			t.Errorf("quarantined after %d ends while it was answered", count)
		}
		crash := crashOf(worker)
		crash.Answering = true
		d.Crashed(crash, []Fingerprint{request("a")}, start)
		d.Evaluate()
	}
	if !d.isQuarantined("a", start) {
		t.Error("five ends aren't enough")
	}
}

// TestWorkerThatLivesCountsAgainstNobody.
func TestLivingWorkerCountsAgainstNoRequest(t *testing.T) {
	d := NewDetector()
	d.crash(start, []string{"w1", "w2", "w3"}, "a")
	d.crash(start, []string{"w1"}, "b")
	d.ClearWorker("w1", start)
	d.Evaluate()
	if d.isQuarantined("a", start) || d.Status(request("b"), start).Crashes != 0 {
		t.Error("the end of a worker that lives counts")
	}
}

// TestReleaseLetsNeighboursGo: what a released request explained doesn't fall on others.
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

// TestTrialsComeRarely, and no more than three.
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
		t.Error("a suspicion outlasts its time, or a quarantine doesn't last")
	}
	d.Expire(start.Add(quarantinedFor))
	if len(d.entries) != 0 || len(d.byWorker) != 0 {
		t.Errorf("%d requests and %d workers are left", len(d.entries), len(d.byWorker))
	}
}

// TestBookIsBounded, and what has been proved stays.
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
		t.Errorf("%d requests, %d workers", len(d.entries), len(d.byWorker))
	}
	if got := len(d.entries[request("poison")].Crashes); got > maxCrashes {
		t.Errorf("%d crashes of one request", got)
	}
	if !d.isQuarantined("poison", start) {
		t.Error("the quarantined request was forgotten")
	}
}

// TestCrashingFleetIsNotRefused: where all seem to crash their workers, the workers are at
// fault.
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

// TestOrderOfReportsDoesNotMatter: nodes that are told the same, in whatever order and
// however often, know and judge the same.
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
				t.Fatalf("request %s is judged differently", name)
			}
			if known, exists := left.entries[request(name)]; exists {
				if difference := cmp.Diff(known.Record, right.entries[request(name)].Record); difference != "" {
					t.Fatal(difference)
				}
			}
		}
	})
}

// TestNewNodeJudgesAsOthersDo, which saw one crash after the other: it is told all at once.
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
		t.Error("the request that was proved first is free")
	}
}

// BenchmarkJudge measures a judgement while thousands are suspected, after the loss of a rack.
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
