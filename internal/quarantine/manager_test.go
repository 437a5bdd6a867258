package quarantine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// newTestManager returns a manager for a node that runs the trials of all requests, or of none.
func newTestManager(runsTrials bool) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewManager(func(Fingerprint) bool { return runsTrials }, log)
}

// crash records crashes of workers, each while it was running the named request.
func (m *Manager) crash(now time.Time, name string, workers ...string) {
	for _, worker := range workers {
		m.Crashed(map[Fingerprint]Crash{request(name): crashOf(worker)}, now)
	}
}

// TestChangesAreSentSeveralTimes: a change is sent broadcastRepeats times, and then no more.
func TestChangesAreSentSeveralTimes(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1")
	sent := 0
	for step := range 100 {
		records, wait := m.Due(start.Add(time.Duration(step) * broadcastInterval / 4))
		sent += len(records)
		if len(records) > 0 && wait > broadcastInterval {
			t.Errorf("%v until it is sent again", wait)
		}
	}
	if sent != broadcastRepeats {
		t.Errorf("sent %d times", sent)
	}
}

// TestReceivedRecordsAreNotSentAgain: otherwise the messages of a fleet would multiply.
func TestReceivedRecordsAreNotSentAgain(t *testing.T) {
	m := newTestManager(true)
	record := Record{Fingerprint: request("a"), Crashes: []Crash{crashOf("w2"), crashOf("w1")}}
	if changed := m.Receive("other", []Record{record}); len(changed) != 1 {
		t.Errorf("%d records have changed", len(changed))
	}
	if changed := m.Receive("other", []Record{record}); len(changed) != 0 {
		t.Error("a known record has changed again")
	}
	if records, _ := m.Due(start.Add(time.Hour)); len(records) != 0 {
		t.Errorf("%d received records are sent again", len(records))
	}
}

// TestRequestsWithSeveralCrashesAreSaved, and saved again when more is known of them.
func TestRequestsWithSeveralCrashesAreSaved(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1")
	if len(m.Unsaved()) != 0 {
		t.Error("a request with one crash is to be saved")
	}
	for _, worker := range []string{"w2", "w3"} {
		m.crash(start, "a", worker)
		unsaved := m.Unsaved()
		if len(unsaved) != 1 {
			t.Fatalf("%d records are to be saved after the crash of %s", len(unsaved), worker)
		}
		m.Stored(unsaved[0], 1, start)
		if len(m.Unsaved()) != 0 {
			t.Error("a stored record is to be saved again")
		}
	}
	m.Survived(request("a"), start)
	if unsaved := m.Unsaved(); len(unsaved) != 1 || unsaved[0].CountedCrashes() != 0 {
		t.Error("a cleared record is not to be saved")
	}
}

// TestRemovedRowReleasesRequest, whether the node sees the change or reads the whole table
// again.
func TestRemovedRowReleasesRequest(t *testing.T) {
	for _, reread := range []bool{false, true} {
		m := newTestManager(true)
		m.crash(start, "a", "w1", "w2", "w3")
		m.Stored(m.Unsaved()[0], 5, start)
		m.SyncStored(map[Fingerprint]bool{request("a"): true}, 6, start)
		if !m.Check(request("a"), start.Add(settlePeriod)).Quarantined {
			t.Fatal("not quarantined")
		}
		if reread {
			m.SyncStored(nil, 7, start)
		} else {
			m.Removed(request("a"), 7, start)
		}
		if m.Check(request("a"), start.Add(settlePeriod)).Quarantined {
			t.Errorf("still quarantined; table read again: %v", reread)
		}
	}
}

// TestOlderTableVersionReleasesNothing: it was read before the row was written.
func TestOlderTableVersionReleasesNothing(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1", "w2", "w3")
	m.Stored(m.Unsaved()[0], 5, start)
	m.SyncStored(nil, 4, start)
	m.Removed(request("a"), 4, start)
	if !m.Check(request("a"), start.Add(settlePeriod)).Quarantined {
		t.Error("a table version from before the row was written has released the request")
	}
}

// TestUnsavedSurvivesAnEmptyTable: a request that has not been saved yet must not be taken for
// a released one.
func TestUnsavedSurvivesAnEmptyTable(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1", "w2", "w3")
	m.SyncStored(nil, 9, start)
	if !m.Check(request("a"), start.Add(settlePeriod)).Quarantined || len(m.Unsaved()) != 1 {
		t.Error("a request that has not been saved yet was taken for released")
	}
}

// TestOneNodeRunsATrial, once each time that one is due.
func TestOneNodeRunsATrial(t *testing.T) {
	due := start.Add(trialDelays[0])
	for _, runsTrials := range []bool{true, false} {
		m := newTestManager(runsTrials)
		m.crash(start, "a", "w1", "w2", "w3")
		passed := 0
		for range 5 {
			if !m.Check(request("a"), due).Quarantined {
				passed++
			}
		}
		if want := map[bool]int{true: 1, false: 0}[runsTrials]; passed != want {
			t.Errorf("node runs trials %v: let through %d times, want %d", runsTrials, passed, want)
		}
	}
}

// TestSuccessfulTrialEndsTheQuarantine at all nodes that receive the result.
func TestSuccessfulTrialEndsTheQuarantine(t *testing.T) {
	m, other := newTestManager(true), newTestManager(false)
	m.crash(start, "a", "w1", "w2", "w3")
	other.Receive("n", m.Shared())
	m.Survived(request("a"), start)
	records, _ := m.Due(start)
	other.Receive("n", records)
	for _, manager := range []*Manager{m, other} {
		if got := manager.Check(request("a"), time.Now().Add(time.Hour)); got != (Status{}) {
			t.Errorf("%+v", got)
		}
	}
}
