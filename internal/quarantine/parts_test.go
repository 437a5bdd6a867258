package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

func part(id int) Fingerprint { return PartFingerprint(prefixcache.PartID(id)) }

// partRun records that a worker crashed while it ran one request with these parts.
func (d *Detector) partRun(now time.Time, worker, name string, parts ...Fingerprint) {
	d.Crashed(crashOf(worker), append([]Fingerprint{request(name)}, parts...), now)
	d.Evaluate()
}

// crashParts lets five workers crash one after the other, each while it runs another request with
// these parts. It returns the time after the last crash.
func (d *Detector) crashParts(now time.Time, prefix string, parts ...Fingerprint) time.Time {
	for number := range minPartCrashes {
		d.partRun(now, fmt.Sprint(prefix, number), fmt.Sprint(prefix, " request ", number), parts...)
		now = now.Add(burstPeriod)
	}
	return now
}

// refuses reports whether a request that never ran is refused for its parts.
func (d *Detector) refuses(now time.Time, parts ...Fingerprint) bool {
	return d.Status(request("new"), now.Add(settlePeriod), parts...).Quarantined
}

func TestPartThatCrashesDifferentRequestsIsQuarantined(t *testing.T) {
	d, now := NewDetector(), start
	for number := range minPartCrashes {
		if d.refuses(now, part(1)) {
			t.Errorf("refused after %d crashes", number)
		}
		d.partRun(now, fmt.Sprint("w", number), fmt.Sprint(number), part(1))
		now = now.Add(burstPeriod)
	}
	got := d.Status(request("new"), now.Add(settlePeriod), part(7), part(1))
	if !got.Quarantined || got.Cause != part(1) || got.Left <= 0 {
		t.Errorf("after %d crashes: %+v", minPartCrashes, got)
	}
	if d.refuses(now, part(7)) || d.refuses(now) {
		t.Error("a request without the part is refused")
	}
}

// TestRepeatsOfOneRequestAccuseNoPart: a request that crashes workers by itself must not shut out
// others that share parts with it, until one of those crashes a worker too.
func TestRepeatsOfOneRequestAccuseNoPart(t *testing.T) {
	d, now := NewDetector(), start
	for number := range 8 {
		d.partRun(now, fmt.Sprint("w", number), "same", part(1))
		now = now.Add(burstPeriod)
	}
	if !d.isQuarantined("same", now) || d.refuses(now, part(1)) {
		t.Error("want the request quarantined and its part not")
	}
	d.partRun(now, "w9", "another", part(1))
	if !d.refuses(now, part(1)) {
		t.Error("the part isn't quarantined although two requests with it crashed workers")
	}
}

// TestPartsThatComeTogetherAreRefusedTogether: nothing tells which of two parts that were at the
// same crashes is bad, so requests with one of them are served.
func TestPartsThatComeTogetherAreRefusedTogether(t *testing.T) {
	apart := map[string]func(d *Detector, now time.Time){
		"a sound request with the first": func(d *Detector, now time.Time) {
			for range minPartCrashes {
				d.Completed([]Fingerprint{part(1)}, now)
			}
			d.Evaluate()
		},
		"a crash with the second alone": func(d *Detector, now time.Time) { d.partRun(now, "x", "x", part(2)) },
	}
	for name, tell := range apart {
		d := NewDetector()
		now := d.crashParts(start, "w", part(1), part(2))
		if !d.refuses(now, part(1), part(2)) || d.refuses(now, part(1)) || d.refuses(now, part(2)) {
			t.Errorf("want requests with both parts refused, and with one of them served")
		}
		tell(d, now)
		if !d.refuses(now, part(2)) || d.refuses(now, part(1)) {
			t.Errorf("%s: want the second part refused and the first served", name)
		}
	}
}

// TestSoundPartIsNotAccusedForItsNeighbours: a part that all requests have is at each crash that
// another part causes.
func TestSoundPartIsNotAccusedForItsNeighbours(t *testing.T) {
	d, now := NewDetector(), start
	for number := range 3 * minPartCrashes {
		d.partRun(now, fmt.Sprint("w", number), fmt.Sprint(number), part(1), part(100+number))
		d.Completed([]Fingerprint{part(1)}, now)
		d.Evaluate()
		if d.refuses(now, part(1)) {
			t.Fatalf("refused after %d crashes, each outweighed by a completed run", number+1)
		}
		now = now.Add(burstPeriod)
	}
}

func TestPartThatSurvivesARunNowAndThenIsQuarantined(t *testing.T) {
	d, now := NewDetector(), start
	for number := range 3 * minPartCrashes {
		if number%4 == 3 {
			d.Completed([]Fingerprint{part(1)}, now)
			continue
		}
		d.partRun(now, fmt.Sprint("w", number), fmt.Sprint(number), part(1))
		if d.refuses(now, part(1)) {
			return
		}
		now = now.Add(burstPeriod)
	}
	t.Error("not quarantined although three of four runs crash their workers")
}

// TestCompletedRunsOutweighLaterCrashes, but only as many as maxCompletions, and not for ever.
func TestCompletedRunsOutweighLaterCrashes(t *testing.T) {
	for wait, want := range map[time.Duration]int{0: maxCompletions, 3 * completionPeriod: 0} {
		d := NewDetector()
		for range 100 {
			d.Completed([]Fingerprint{part(1)}, start)
		}
		got := 0
		for d.Outweighed(part(1), start.Add(wait)) {
			got++
		}
		if got != want {
			t.Errorf("after %v, %d crashes are outweighed, want %d", wait, got, want)
		}
	}
}

// TestPartThatCrashesTheOnlyWorkerIsQuarantined: its crashes are all at one address.
func TestPartThatCrashesTheOnlyWorkerIsQuarantined(t *testing.T) {
	d, now := NewDetector(), start
	for number := range minPartCrashes {
		crash := Crash{Worker: fmt.Sprint("w", number), Address: "the only one"}
		d.Crashed(crash, []Fingerprint{request(fmt.Sprint(number)), part(1)}, now)
		d.Evaluate()
		now = now.Add(burstPeriod)
	}
	if !d.refuses(now, part(1)) {
		t.Error("the part isn't quarantined")
	}
}

// TestRackFailureAccusesNoPart: workers that fail at one moment ran the same parts.
func TestRackFailureAccusesNoPart(t *testing.T) {
	d := NewDetector()
	for number := range maxCrashes {
		d.partRun(start.Add(time.Duration(number)*time.Millisecond), fmt.Sprint("w", number), fmt.Sprint(number), part(1))
	}
	if d.refuses(start.Add(time.Second), part(1)) {
		t.Error("a part is quarantined after a rack has failed")
	}
}

// TestPartExplainsTheCrashesOfRequests: requests that ran beside a bad part are not quarantined.
func TestPartExplainsTheCrashesOfRequests(t *testing.T) {
	d, now := NewDetector(), start
	for number := range minPartCrashes {
		d.partRun(now, fmt.Sprint("w", number), fmt.Sprint(number), part(1))
		if number < minCrashes {
			d.crash(now, []string{fmt.Sprint("w", number)}, "beside")
		}
		now = now.Add(burstPeriod)
	}
	if !d.refuses(now, part(1)) || d.isQuarantined("beside", now) {
		t.Error("want the part quarantined, and not the request that ran beside it")
	}
}

func TestTwoPartsAtATimeAreToldApart(t *testing.T) {
	d, now := NewDetector(), start
	for number := range minPartCrashes {
		for _, bad := range []int{1, 2} {
			d.partRun(now, fmt.Sprint("w", bad, number), fmt.Sprint(bad, number), part(bad), part(100*bad+number))
			now = now.Add(burstPeriod)
		}
	}
	if !d.refuses(now, part(1)) || !d.refuses(now, part(2)) || d.refuses(now, part(101)) {
		t.Error("want both bad parts quarantined, and no other")
	}
}

// TestFloodOfPartsEvictsNoQuarantinedOne, nor does the memory grow.
func TestFloodOfPartsEvictsNoQuarantinedOne(t *testing.T) {
	d := NewDetector()
	now := d.crashParts(start, "w", part(1))
	for number := range 3 * maxRecords {
		d.Crashed(crashOf(fmt.Sprint("v", number/10)), []Fingerprint{part(1000 + number)}, now)
		d.Completed([]Fingerprint{part(1_000_000 + number)}, now)
	}
	d.Evaluate()
	if !d.refuses(now, part(1)) {
		t.Error("the quarantined part was evicted")
	}
	if len(d.entries) > maxRecords || len(d.completions.current) > maxCompletedParts {
		t.Errorf("%d records and %d completed parts are kept", len(d.entries), len(d.completions.current))
	}
}

// TestPartReachesThreeWorkersMoreAtMost, trials included, until the quarantine ends after a day.
func TestPartReachesThreeWorkersMoreAtMost(t *testing.T) {
	m, now, crashes := newTestManager(true), start, 0
	for end := start.Add(quarantinedFor); now.Before(end); {
		if !m.Check(request(now.String()), now, part(1)).Quarantined {
			crashes++
			crash := crashOf(fmt.Sprint("w", crashes))
			m.Crashed(map[Fingerprint]Crash{request(now.String()): crash, part(1): crash}, now)
		}
		now = now.Add(time.Minute)
	}
	if want := minPartCrashes + len(trialDelays); crashes != want {
		t.Errorf("%d crashes in a day, want %d", crashes, want)
	}
}

// TestPartsAreSavedOnceTheyAreQuarantined: each crash makes several of them suspected.
func TestPartsAreSavedOnceTheyAreQuarantined(t *testing.T) {
	m, now := newTestManager(true), start
	for number := range minPartCrashes {
		for _, record := range m.Unsaved() {
			t.Errorf("after %d crashes, %v is to be saved", number, record.Fingerprint)
		}
		crash := crashOf(fmt.Sprint("w", number))
		m.Crashed(map[Fingerprint]Crash{request(fmt.Sprint(number)): crash, part(1): crash}, now)
		now = now.Add(burstPeriod)
	}
	saved := m.Unsaved()
	if len(saved) != 1 || saved[0].Fingerprint != part(1) {
		t.Fatalf("to be saved: %v, want the part", saved)
	}
	started := newTestManager(true)
	started.Stored(saved[0], 1, now)
	if !started.Check(request("new"), now.Add(time.Second), part(1)).Quarantined {
		t.Error("a node that reads the store lets the part through")
	}
}

// TestOtherNodesOutweighReportedCrashes: a node that has seen no completed run of a sound part
// reports its crashes.
func TestOtherNodesOutweighReportedCrashes(t *testing.T) {
	m := newTestManager(true)
	m.Survived(request("sound"), time.Now(), part(1))
	m.Receive("other", []Record{{Fingerprint: part(1), Crashes: []Crash{crashOf("w1"), crashOf("w2")}}})
	records, _ := m.Due(time.Now().Add(time.Second))
	if len(records) != 1 || records[0].CountedCrashes() != 1 {
		t.Errorf("sent to other nodes: %v, want one of two crashes cleared", records)
	}
}
