package worker

import (
	"math"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/topology"
)

func TestServiceIsUnevenOnceAWorkerStatesItsHostsSlowdown(t *testing.T) {
	r := newTestRegistry()
	r.ObserveHostSlowdown("p", 1, origin)
	r.ObserveHostSlowdown("unknown", 2, origin)
	if !r.Uneven("llm") || r.Uneven("portal") {
		t.Errorf("uneven: llm %v, portal %v; want only llm", r.Uneven("llm"), r.Uneven("portal"))
	}
	r.ObserveHostSlowdown("board", 1, origin)
	if !r.Uneven("portal") {
		t.Error("a worker of the other service stated its slowdown, and the service is not uneven")
	}
}

func TestNewIncarnationStartsWithoutStatements(t *testing.T) {
	r := newTestRegistry()
	slowdown := func(id string) float64 {
		for _, engine := range r.Engines("llm", origin) {
			if engine.ID == id {
				return engine.Slowdown
			}
		}
		t.Fatalf("%s is no engine", id)
		return 0
	}
	before, after := IncarnationID("e", 1), IncarnationID("e", 2)
	r.ApplyAt(Change{Name: "e", Worker: &Worker{ID: before, Service: "llm", Stage: Decode}}, origin)
	r.ObserveHostSlowdown(before, 1.7, origin)
	if got := slowdown(before); got != 1.7 {
		t.Errorf("the slowdown is %v; want 1.7", got)
	}
	r.ApplyAt(Change{Name: "e", Worker: &Worker{ID: after, Service: "llm", Stage: Decode}}, origin)
	r.ObserveHostSlowdown(before, 1.7, origin) // an answer that comes late
	if got := slowdown(after); got != 0 {
		t.Errorf("a worker that has just restarted has slowdown %v; want 0, unknown", got)
	}
}

// unevenRegistry knows six prefill engines of an uneven service.
func unevenRegistry() *Registry {
	r := NewRegistry(topology.New("a", nil))
	var engines []Worker
	for _, id := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
		engines = append(engines, Worker{ID: id, Service: "llm", Zone: "a", Slots: 8, Stage: Prefill})
	}
	r.Replace(engines)
	return r
}

func TestCandidatesOfEvenServicesHaveNoFactor(t *testing.T) {
	r := unevenRegistry()
	if host := find(t, r, "e0", nil, origin).Host; host.Stated() || r.HostFactor("e0", origin).Stated() || r.HostFactor("none", origin).Stated() {
		t.Errorf("nobody has stated a factor, yet it is %+v", host)
	}
	r.ObserveReading("e0", latency.Reading{Tokens: 2000, Elapsed: 100 * time.Millisecond})
	r.ShareReading("e0", latency.Reading{Tokens: 2000, Elapsed: 100 * time.Millisecond})
	if snapshot := r.Snapshot(); snapshot.Hosts != nil || snapshot.Readings != nil || len(r.SilentHosts(origin)) != 0 {
		t.Error("an even service tells other nodes of hosts, or has them asked")
	}
}

func TestEngineWithoutStatementsIsPricedAsASlowOne(t *testing.T) {
	r := unevenRegistry()
	for id, factor := range map[string]float64{"e0": 0.7, "e1": 0.7, "e2": 1.7, "e3": 1.7} {
		r.ObserveHostSlowdown(id, factor, origin)
	}
	fast, unknown := find(t, r, "e0", nil, origin).Host, find(t, r, "e5", nil, origin).Host
	if fast.Present != 0.7 || math.Abs(fast.Fleet-1.2) > 1e-9 || math.Abs(unknown.Present-1.7) > 1e-9 {
		t.Errorf("fast %+v, unknown %+v; want 0.7 of 1.2, and 1.7", fast, unknown)
	}
}

func TestStatementsReachOtherNodesOnceUnlessTheyAreNews(t *testing.T) {
	r, other := unevenRegistry(), unevenRegistry()
	tell := func(factor float64, after time.Duration) map[string]HostStatement {
		r.ObserveHostSlowdown("e0", factor, origin.Add(after))
		return r.Snapshot().Hosts
	}
	first := tell(0.7, 0)
	if len(first) != 1 || len(tell(0.7, 10*time.Millisecond)) != 0 || len(r.Snapshot().Hosts) != 0 {
		t.Error("a statement that repeats the one before was told again")
	}
	if changed := tell(1.75, 20*time.Millisecond); changed["e0"].Factor != 1.75 {
		t.Errorf("a change was told as %v", changed)
	}
	if len(tell(1.75, time.Second)) != 1 {
		t.Error("the same statement a while later wasn't told")
	}
	first["gone"] = HostStatement{Factor: 1, At: origin}
	other.MergeHostStatements(first)
	other.MergeHostStatements(map[string]HostStatement{"e0": {Factor: 9, At: origin.Add(-time.Second)}, "e1": {Factor: -1, At: origin}})
	if !other.Uneven("llm") || other.HostFactor("e0", origin).Present != 0.7 {
		t.Errorf("the other node expects %+v; want 0.7", other.HostFactor("e0", origin))
	}
	if len(other.Snapshot().Hosts) != 0 {
		t.Error("a node passes on what it was told")
	}
	if count := other.HostStatementCounts(); count != (HostStatementCounts{Told: 1}) {
		t.Errorf("%+v were counted; want one that was told", count)
	}
	if got := other.HostStatements([]string{"e0", "e1", "gone"}); len(got) != 1 || got["e0"].Factor != 0.7 {
		t.Errorf("a question is answered with %v", got)
	}
}

func TestHostsAreAskedWhileTheServiceIsUsed(t *testing.T) {
	r := unevenRegistry()
	r.ObserveHostSlowdown("e0", 0.7, origin)
	if len(r.SilentHosts(origin)) != 0 {
		t.Error("hosts are asked although no plan needs them")
	}
	find(t, r, "e0", nil, origin)
	if got := len(r.SilentHosts(origin)); got != 5 {
		t.Errorf("%d hosts are to be asked; want the five that have stated nothing", got)
	}
	if got := len(r.SilentHosts(origin.Add(askHostAfter))); got != 6 {
		t.Errorf("%d hosts are to be asked; want all, since the last statement is old", got)
	}
	if got := len(r.SilentHosts(origin.Add(askHostsWhileUsed + time.Second))); got != 0 {
		t.Errorf("%d hosts are asked although no plan has been made lately", got)
	}
}

// A node that has just started learns the prefill time from what others measured, at any
// engine.
func TestReadingsOfOtherNodesAreLearned(t *testing.T) {
	r, other := unevenRegistry(), unevenRegistry()
	truth := latency.Coefficients{Fixed: 90, PerThousand: 18}
	for i := range 60 {
		reading := latency.Reading{Tokens: 500 + 200*i, Slowdown: []float64{0.7, 1.7}[i%2]}
		reading.Elapsed = time.Duration(reading.Predicted(truth) * float64(time.Millisecond))
		r.ShareReading("e0", reading)
		other.MergeReadings(r.Snapshot().Readings)
	}
	got := find(t, other, "e3", nil, origin).PrefillCoefficients.Milliseconds(8000, 0)
	if want := truth.Milliseconds(8000, 0); math.Abs(got-want) > 0.1*want {
		t.Errorf("8,000 tokens are predicted to take %.0f ms; want %.0f", got, want)
	}
	for range 3 * maxSharedReadings {
		r.ShareReading("e0", latency.Reading{Tokens: 1, Elapsed: 1, Slowdown: 1})
	}
	r.ShareReading("e1", latency.Reading{Tokens: 1, Elapsed: 1, Slowdown: 1, Ahead: 1})
	r.ShareReading("e1", latency.Reading{Tokens: 1, Elapsed: 1})
	if got := len(r.Snapshot().Readings); got != maxSharedReadings {
		t.Errorf("a snapshot holds %d readings; want %d", got, maxSharedReadings)
	}
}

// TestEngineThatStatesNothingIsAskedLessAndLessOften, and one with a request limit not at all.
func TestEngineThatStatesNothingIsAskedLessAndLessOften(t *testing.T) {
	r := newTestRegistry()
	now := origin.Add(time.Hour)
	r.ObserveHostSlowdown("d", 1, now)
	asked := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
		r.ObserveHostSlowdown("d", 1, now)
		r.Candidates("llm", nil, 0, now) // keeps the service in use
		for _, silent := range r.SilentHosts(now) {
			r.RecordHostAsked(silent.ID, now)
			asked++
		}
	}
	if asked < 5 || asked > 10 {
		t.Errorf("an engine that never answers was asked %d times in a minute, want pauses that double up to 16 s", asked)
	}
	r.ObserveLimit("p", "request", LimitStatement{Named: true, Rate: 1, Sent: now, Heard: now})
	if silent := r.SilentHosts(now.Add(time.Minute)); len(silent) != 0 {
		t.Errorf("%v is asked although it takes few requests", silent)
	}
}

// TestPrefillQueueTakesLongerOnASlowHost checks that arbiters see the queue of an engine as the
// nodes do that plan.
func TestPrefillQueueTakesLongerOnASlowHost(t *testing.T) {
	queueOn := func(factor float64) time.Duration {
		r := newTestRegistry()
		r.ObserveHostSlowdown("p", factor, origin)
		r.Begin("p", Load{Requests: 1, Unread: UnreadTokensOf(0, 5000)})
		queue, usable := r.PrefillQueue("p", origin)
		if !usable {
			t.Fatal("the engine is not usable")
		}
		return queue
	}
	usual, slow := queueOn(1), queueOn(2)
	if usual <= 0 || math.Abs(float64(slow)/float64(usual)-2) > 0.01 {
		t.Errorf("the queue takes %v on a usual host and %v on one that is twice as slow", usual, slow)
	}
}
