package quarantine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// newTestKeeper returns a keeper of a node that gives trials, or doesn't.
func newTestKeeper(chosen bool) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewManager(func(Fingerprint) bool { return chosen }, log)
}

// crash has the keeper's node see ends of workers under a request.
func (k *Manager) crash(now time.Time, name string, workers ...string) {
	for _, worker := range workers {
		k.Crashed(map[Fingerprint]Crash{request(name): at(worker)}, now)
	}
}

// TestChangesAreToldSeveralTimes, and no oftener.
func TestChangesAreToldSeveralTimes(t *testing.T) {
	k := newTestKeeper(true)
	k.crash(start, "a", "w1")
	told := 0
	for step := range 100 {
		records, wait := k.Due(start.Add(time.Duration(step) * tellEvery / 4))
		told += len(records)
		if len(records) > 0 && wait > tellEvery {
			t.Errorf("%v until it is told again", wait)
		}
	}
	if told != tellings {
		t.Errorf("told %d times", told)
	}
}

// TestWhatOthersToldIsNotToldAgain: messages of a fleet would multiply.
func TestWhatOthersToldIsNotToldAgain(t *testing.T) {
	k := newTestKeeper(true)
	record := Record{Fingerprint: request("a"), Crashes: []Crash{at("w2"), at("w1")}}
	if changed := k.Receive("other", []Record{record}); len(changed) != 1 {
		t.Errorf("%d records have changed", len(changed))
	}
	if changed := k.Receive("other", []Record{record}); len(changed) != 0 {
		t.Error("what is known has changed")
	}
	if records, _ := k.Due(start.Add(time.Hour)); len(records) != 0 {
		t.Errorf("%d records are told", len(records))
	}
}

// TestStoreIsToHoldWhatSeveralWorkersEndedUnder, until it does, and anew where more is known.
func TestStoreIsToHoldWhatSeveralWorkersEndedUnder(t *testing.T) {
	k := newTestKeeper(true)
	k.crash(start, "a", "w1")
	if len(k.Unsaved()) != 0 {
		t.Error("one crash is to be saved")
	}
	for _, worker := range []string{"w2", "w3"} {
		k.crash(start, "a", worker)
		unsaved := k.Unsaved()
		if len(unsaved) != 1 {
			t.Fatalf("%d records are to be saved after the end of %s", len(unsaved), worker)
		}
		k.Stored(unsaved[0], 1, start)
		if len(k.Unsaved()) != 0 {
			t.Error("what is stored is to be saved")
		}
	}
	k.Survived(request("a"), start)
	if unsaved := k.Unsaved(); len(unsaved) != 1 || unsaved[0].CountedCrashes() != 0 {
		t.Error("that it was cleared is not to be saved")
	}
}

// TestRowThatIsTakenAwayReleases, whether the change is seen or the table read anew.
func TestRowThatIsTakenAwayReleases(t *testing.T) {
	for _, reread := range []bool{false, true} {
		k := newTestKeeper(true)
		k.crash(start, "a", "w1", "w2", "w3")
		k.Stored(k.Unsaved()[0], 5, start)
		k.SyncStored(map[Fingerprint]bool{request("a"): true}, 6, start)
		if !k.Standing(request("a"), start.Add(settleTime)).Quarantined {
			t.Fatal("it isn't quarantined")
		}
		if reread {
			k.SyncStored(nil, 7, start)
		} else {
			k.Removed(request("a"), 7, start)
		}
		if k.Standing(request("a"), start.Add(settleTime)).Quarantined {
			t.Errorf("still quarantined; table read anew: %v", reread)
		}
	}
}

// TestOlderTableReleasesNothing: it was read before the row was written.
func TestOlderTableReleasesNothing(t *testing.T) {
	k := newTestKeeper(true)
	k.crash(start, "a", "w1", "w2", "w3")
	k.Stored(k.Unsaved()[0], 5, start)
	k.SyncStored(nil, 4, start)
	k.Removed(request("a"), 4, start)
	if !k.Standing(request("a"), start.Add(settleTime)).Quarantined {
		t.Error("a table as it was before the row was written has released the request")
	}
}

// TestUnsavedSurvivesAnEmptyTable: the store didn't hold it yet.
func TestUnsavedSurvivesAnEmptyTable(t *testing.T) {
	k := newTestKeeper(true)
	k.crash(start, "a", "w1", "w2", "w3")
	k.SyncStored(nil, 9, start)
	if !k.Standing(request("a"), start.Add(settleTime)).Quarantined || len(k.Unsaved()) != 1 {
		t.Error("what the store doesn't hold yet was taken for released")
	}
}

// TestOneNodeGivesATrial, once each time.
func TestOneNodeGivesATrial(t *testing.T) {
	due := start.Add(trialAfter[0])
	for _, chosen := range []bool{true, false} {
		k := newTestKeeper(chosen)
		k.crash(start, "a", "w1", "w2", "w3")
		let := 0
		for range 5 {
			if !k.Standing(request("a"), due).Quarantined {
				let++
			}
		}
		if want := map[bool]int{true: 1, false: 0}[chosen]; let != want {
			t.Errorf("chosen %v: let through %d times, want %d", chosen, let, want)
		}
	}
}

// TestTrialThatIsBorneEndsTheQuarantine at every node that is told.
func TestTrialThatIsBorneEndsTheQuarantine(t *testing.T) {
	k, other := newTestKeeper(true), newTestKeeper(false)
	k.crash(start, "a", "w1", "w2", "w3")
	other.Receive("n", k.Shared())
	k.Survived(request("a"), start)
	records, _ := k.Due(start)
	other.Receive("n", records)
	for _, keeper := range []*Manager{k, other} {
		if got := keeper.Standing(request("a"), time.Now().Add(time.Hour)); got != (Status{}) {
			t.Errorf("%+v", got)
		}
	}
}
