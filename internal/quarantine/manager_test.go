package quarantine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// newTestKeeper returns a keeper of a node that gives trials, or doesn't.
func newTestManager(runsTrials bool) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewManager(func(Fingerprint) bool { return runsTrials }, log)
}

// crash has the keeper's node see ends of workers under a request.
func (m *Manager) crash(now time.Time, name string, workers ...string) {
	for _, worker := range workers {
		m.Crashed(map[Fingerprint]Crash{request(name): crashOf(worker)}, now)
	}
}

// TestChangesAreToldSeveralTimes, and no oftener.
func TestChangesAreSentSeveralTimes(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1")
	sent := 0
	for step := range 100 {
		records, wait := m.Due(start.Add(time.Duration(step) * broadcastInterval / 4))
		sent += len(records)
		if len(records) > 0 && wait > broadcastInterval {
			t.Errorf("%v until it is told again", wait)
		}
	}
	if sent != broadcastRepeats {
		t.Errorf("told %d times", sent)
	}
}

// TestWhatOthersToldIsNotToldAgain: messages of a fleet would multiply.
func TestReceivedRecordsAreNotSentAgain(t *testing.T) {
	m := newTestManager(true)
	record := Record{Fingerprint: request("a"), Crashes: []Crash{crashOf("w2"), crashOf("w1")}}
	if changed := m.Receive("other", []Record{record}); len(changed) != 1 {
		t.Errorf("%d records have changed", len(changed))
	}
	if changed := m.Receive("other", []Record{record}); len(changed) != 0 {
		t.Error("what is known has changed")
	}
	if records, _ := m.Due(start.Add(time.Hour)); len(records) != 0 {
		t.Errorf("%d records are told", len(records))
	}
}

// TestStoreIsToHoldWhatSeveralWorkersEndedUnder, until it does, and anew where more is known.
func TestRequestsWithSeveralCrashesAreSaved(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1")
	if len(m.Unsaved()) != 0 {
		t.Error("one crash is to be saved")
	}
	for _, worker := range []string{"w2", "w3"} {
		m.crash(start, "a", worker)
		unsaved := m.Unsaved()
		if len(unsaved) != 1 {
			t.Fatalf("%d records are to be saved after the end of %s", len(unsaved), worker)
		}
		m.Stored(unsaved[0], 1, start)
		if len(m.Unsaved()) != 0 {
			t.Error("what is stored is to be saved")
		}
	}
	m.Survived(request("a"), start)
	if unsaved := m.Unsaved(); len(unsaved) != 1 || unsaved[0].CountedCrashes() != 0 {
		t.Error("that it was cleared is not to be saved")
	}
}

// TestRowThatIsTakenAwayReleases, whether the change is seen or the table read anew.
func TestRemovedRowReleasesRequest(t *testing.T) {
	for _, reread := range []bool{false, true} {
		m := newTestManager(true)
		m.crash(start, "a", "w1", "w2", "w3")
		m.Stored(m.Unsaved()[0], 5, start)
		m.SyncStored(map[Fingerprint]bool{request("a"): true}, 6, start)
		if !m.Standing(request("a"), start.Add(settlePeriod)).Quarantined {
			t.Fatal("it isn't quarantined")
		}
		if reread {
			m.SyncStored(nil, 7, start)
		} else {
			m.Removed(request("a"), 7, start)
		}
		if m.Standing(request("a"), start.Add(settlePeriod)).Quarantined {
			t.Errorf("still quarantined; table read anew: %v", reread)
		}
	}
}

// TestOlderTableReleasesNothing: it was read before the row was written.
func TestOlderTableVersionReleasesNothing(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1", "w2", "w3")
	m.Stored(m.Unsaved()[0], 5, start)
	m.SyncStored(nil, 4, start)
	m.Removed(request("a"), 4, start)
	if !m.Standing(request("a"), start.Add(settlePeriod)).Quarantined {
		t.Error("a table as it was before the row was written has released the request")
	}
}

// TestUnsavedSurvivesAnEmptyTable: the store didn't hold it yet.
func TestUnsavedSurvivesAnEmptyTable(t *testing.T) {
	m := newTestManager(true)
	m.crash(start, "a", "w1", "w2", "w3")
	m.SyncStored(nil, 9, start)
	if !m.Standing(request("a"), start.Add(settlePeriod)).Quarantined || len(m.Unsaved()) != 1 {
		t.Error("what the store doesn't hold yet was taken for released")
	}
}

// TestOneNodeGivesATrial, once each time.
func TestOneNodeRunsATrial(t *testing.T) {
	due := start.Add(trialDelays[0])
	for _, runsTrials := range []bool{true, false} {
		m := newTestManager(runsTrials)
		m.crash(start, "a", "w1", "w2", "w3")
		passed := 0
		for range 5 {
			if !m.Standing(request("a"), due).Quarantined {
				passed++
			}
		}
		if want := map[bool]int{true: 1, false: 0}[runsTrials]; passed != want {
			t.Errorf("chosen %v: let through %d times, want %d", runsTrials, passed, want)
		}
	}
}

// TestTrialThatIsBorneEndsTheQuarantine at every node that is told.
func TestSuccessfulTrialEndsTheQuarantine(t *testing.T) {
	m, other := newTestManager(true), newTestManager(false)
	m.crash(start, "a", "w1", "w2", "w3")
	other.Receive("n", m.Shared())
	m.Survived(request("a"), start)
	records, _ := m.Due(start)
	other.Receive("n", records)
	for _, manager := range []*Manager{m, other} {
		if got := manager.Standing(request("a"), time.Now().Add(time.Hour)); got != (Status{}) {
			t.Errorf("%+v", got)
		}
	}
}
