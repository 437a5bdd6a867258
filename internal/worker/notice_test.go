package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

func TestPauseThatEndsLastCounts(t *testing.T) {
	now := time.Now()
	held := NoticeState{}.with(Notice{Backoff: 3 * time.Second}, now)
	held = held.with(Notice{Backoff: time.Second}, now.Add(time.Second))
	if !held.BackingOff(now.Add(2900*time.Millisecond)) || held.BackingOff(now.Add(3*time.Second)) {
		t.Errorf("the pause ends at %v, want 3s", held.BackoffUntil.Sub(now))
	}
	held = held.with(Notice{Backoff: 3 * time.Second}, now.Add(2*time.Second))
	if !held.BackoffSince.Equal(now) || !held.BackoffUntil.Equal(now.Add(5*time.Second)) {
		t.Errorf("the pause lasts from %v to %v, want 0s to 5s", held.BackoffSince.Sub(now), held.BackoffUntil.Sub(now))
	}
}

func TestLaterAnswerDoesNotRevokeDraining(t *testing.T) {
	now := time.Now()
	held := NoticeState{}.with(Notice{Draining: true}, now).with(Notice{}, now.Add(time.Second))
	if !held.Draining(now.Add(time.Minute)) || held.Draining(now.Add(drainingTTL)) {
		t.Error("a worker that has announced its end must count as draining for drainingTTL")
	}
}

func TestNoticeStatesOutliveEntries(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	entry := Worker{ID: "w", Service: "s", Address: "127.0.0.1:1"}
	r.ReplaceAt([]Worker{entry}, now)
	r.ObserveNotice("w", Notice{Draining: true}, now)
	r.ReplaceAt(nil, now.Add(time.Second))
	r.ReplaceAt([]Worker{{ID: "other", Service: "s"}}, now.Add(time.Second+forgetAfter))
	r.ReplaceAt([]Worker{entry}, now.Add(2*time.Second+forgetAfter))
	if !r.NoticeState("w").Draining(now.Add(2*time.Second + forgetAfter)) {
		t.Error("a worker whose entry came back no longer counts as draining")
	}
}

func TestNoticeStateEndsWithTheIncarnation(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt([]Worker{{ID: IncarnationID("w", 1000), Service: "s"}}, now)
	r.ObserveNotice(IncarnationID("w", 1000), Notice{Draining: true, Backoff: time.Hour}, now)
	r.ReplaceAt([]Worker{{ID: IncarnationID("w", 2000), Service: "s"}}, now)
	if !r.NoticeState(IncarnationID("w", 2000)).Expired(now) {
		t.Error("a notice of the earlier incarnation counts for the new one")
	}
}

func TestExpiredNoticeStatesAreDropped(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	for _, id := range []string{"a", "b", "c"} {
		r.ObserveNotice(id, Notice{Backoff: time.Second}, now)
	}
	r.ObserveNotice("d", Notice{Backoff: time.Second}, now.Add(2*time.Second))
	if len(r.noticeStates) != 1 {
		t.Errorf("%d notice states are kept, want 1", len(r.noticeStates))
	}
}

func TestWorkerThatAnnouncesDrainingIsTheLastResortForAMoment(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt([]Worker{{ID: "w", Service: "s"}}, now)
	r.ObserveNotice("w", Notice{Draining: true}, now)
	if candidates := r.Candidates("s", nil, 0, now); len(candidates) != 1 || !candidates[0].Leaving {
		t.Errorf("the candidates are %+v, want one that is leaving", candidates)
	}
	if !r.IsDraining("w") || len(r.Standing("s")) != 0 {
		t.Error("a worker that has announced its end doesn't count as draining")
	}
	after := now.Add(lastResortFor)
	if len(r.Candidates("s", nil, 0, after)) != 0 || r.Admit("w", after) == nil {
		t.Error("a worker that announced its end a while ago still gets requests")
	}
	r.ApplyAt(Change{Name: "w"}, after)
	r.ApplyAt(Change{Name: "w", Worker: &Worker{ID: "w", Service: "s"}}, after)
	if r.Admit("w", after) == nil {
		t.Error("an entry that comes back revokes the worker's notice")
	}
}

func TestNoticeStateEndsIfAWorkerWithoutStartTimeChangesItsAddress(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt([]Worker{{ID: "w", Service: "s", Address: "127.0.0.1:1"}}, now)
	r.ObserveNotice("w", Notice{Backoff: time.Hour}, now)
	r.ReplaceAt([]Worker{{ID: "w", Service: "s", Address: "127.0.0.1:2"}}, now)
	if r.Admit("w", now) != nil {
		t.Error("a notice of the worker at the previous address still applies")
	}
}

func TestAdmitCallRejectsDrainingAndUnlistedWorkers(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt([]Worker{{ID: "w", Service: "s"}, {ID: "gone", Service: "s"}}, now)
	if r.AdmitCall("w", false, now) != nil {
		t.Error("a worker that is listed and doesn't drain gets no calls")
	}
	r.ApplyAt(Change{Name: "w", Worker: &Worker{ID: "w", Service: "s", Draining: true}}, now)
	if r.AdmitCall("w", false, now) == nil {
		t.Error("a worker whose entry says that it is draining gets calls")
	}
	if r.Admit("w", now) != nil {
		t.Error("a worker whose entry says that it is draining gets no requests to free resources")
	}
	r.ApplyAt(Change{Name: "gone"}, now)
	if r.AdmitCall("gone", false, now.Add(lastResortFor-1)) != nil || r.AdmitCall("gone", false, now.Add(lastResortFor)) == nil {
		t.Error("a worker whose entry has disappeared isn't admitted for exactly lastResortFor")
	}
}
