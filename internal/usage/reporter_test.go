package usage

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/lab/memorystore"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// memoryAPI takes reports.
type memoryAPI struct {
	reports map[Window][]Counts
	highest uint64
	// silent takes reports and doesn't answer.
	silent bool
	fences []uint64
	// until is when the last call ended at the latest.
	until time.Time
}

func (a *memoryAPI) ReportUsage(ctx context.Context, act duty.LeaseToken, window Window, counts Counts) (duty.Verdict, error) {
	a.until, _ = ctx.Deadline()
	if act.Fence < a.highest {
		return duty.Refused, errors.New("a lower fence")
	}
	a.highest = act.Fence
	a.fences = append(a.fences, act.Fence)
	a.reports[window] = append(a.reports[window], maps.Clone(counts))
	if a.silent {
		return duty.Unknown, errors.New("no answer")
	}
	return duty.Accepted, nil
}

// oneTruth fails where two reports of a window differ.
func (a *memoryAPI) oneTruth(t *testing.T) {
	t.Helper()
	for window, reports := range a.reports {
		for _, other := range reports[1:] {
			if diff := cmp.Diff(reports[0], other); diff != "" {
				t.Errorf("window %d was reported with different counts: %s", window, diff)
			}
		}
	}
}

type alone struct {
	members []Member
	// told learn what was recorded.
	told []*Collector
}

func (a alone) Members() []Member { return a.members }

func (alone) GatherUsage(Window) {}

func (a alone) TellRecorded(recorded map[Window]Counts) {
	for _, told := range a.told {
		told.MergeRecorded(recorded)
	}
}

// site is where reporters meet.
type site struct {
	store *memorystore.Store
	api   *memoryAPI
	log   *logrus.Logger
}

func newSite() *site {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &site{store: memorystore.New(), api: &memoryAPI{reports: make(map[Window][]Counts)}, log: log}
}

// shortLife lets a lease lapse within a test, and is far above any pause of it.
const shortLife = time.Second

// reporter returns a reporter of a node that has counted requests of tenant a in the
// first window.
func (s *site) reporter(node string, counted int, members ...Member) *Reporter {
	tally := NewTally(span)
	for range counted {
		tally.CountStarted("a", at(1))
	}
	r := NewReporter(Options{
		Node: node, Incarnation: node, Late: 10 * time.Second, Tally: tally, Collector: NewCollector(),
		Authority: authority.New(authority.Options{Self: node, Life: shortLife, Store: s.store, Log: s.log}),
		Store:     s.store, API: s.api, Fleet: alone{members: members}, Designated: func() bool { return true }, Log: s.log,
	})
	r.first = WindowLength(span).WindowAt(at(0))
	return r
}

func TestWindowIsReportedOnceItIsOver(t *testing.T) {
	s := newSite()
	r := s.reporter("n", 3)
	for _, second := range []float64{1, 4.9, 5.5} {
		r.Step(context.Background(), at(second))
	}
	if len(s.api.reports) != 0 {
		t.Fatalf("reported before it was over: %v", s.api.reports)
	}
	for _, second := range []float64{5.7, 6, 9} {
		r.Step(context.Background(), at(second))
	}
	want := map[Window][]Counts{WindowLength(span).WindowAt(at(0)): {{"a": 3}}}
	if diff := cmp.Diff(want, s.api.reports); diff != "" {
		t.Error(diff)
	}
}

// TestNodesThatLiveAreWaitedFor: but not for longer than patience.
func TestNodesThatLiveAreWaitedFor(t *testing.T) {
	s := newSite()
	r := s.reporter("n", 1, Member{Node: "late"}, Member{Node: "dead", Silent: time.Minute})
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 0 {
		t.Fatal("a node that lives was not waited for")
	}
	other := NewTally(span)
	other.CountStarted("a", at(2))
	r.options.Collector.MergeDelta("late", other.Since(0, at(6.5)))
	r.Step(context.Background(), at(6.6))
	if got := s.api.reports[WindowLength(span).WindowAt(at(0))]; len(got) != 1 || got[0]["a"] != 2 {
		t.Errorf("%v", got)
	}
	silent := newSite()
	r = silent.reporter("n", 1, Member{Node: "late"})
	r.Step(context.Background(), at(8.5))
	if len(silent.api.reports) != 1 {
		t.Error("a node that says nothing was waited for without end")
	}
}

// TestNextHolderReportsWhatIsRecorded: a holder is lost after it recorded, whether its
// report was sent, taken without an answer, or neither; the next one knows other counts.
func TestNextHolderReportsWhatIsRecorded(t *testing.T) {
	for _, lost := range []struct {
		name string
		do   func(s *site)
	}{
		{"report not answered", func(s *site) { s.api.silent = true }},
		{"record not answered", func(s *site) { s.store.SetFaults(memorystore.Faults{LoseWrites: true}) }},
		{"nothing lost", func(*site) {}},
	} {
		s := newSite()
		first := s.reporter("first", 5)
		if hold := first.options.Authority.Acquire(context.Background()); hold != authority.Held {
			t.Fatal(hold)
		}
		lost.do(s)
		first.Step(context.Background(), at(6))
		s.store.SetFaults(memorystore.Faults{})
		s.api.silent = false
		second := s.reporter("second", 4)
		s.awaitHold(t, second)
		second.Step(context.Background(), at(7))
		first.Step(context.Background(), at(8)) // the old holder wakes
		s.api.oneTruth(t)
		if got := s.api.reports[WindowLength(span).WindowAt(at(0))]; len(got) == 0 || got[0]["a"] != 5 {
			t.Errorf("%s: %v", lost.name, got)
		}
	}
}

// awaitHold waits until a reporter has the authority.
func (s *site) awaitHold(t *testing.T, r *Reporter) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); r.options.Authority.Acquire(context.Background()) != authority.Held; {
		if time.Now().After(end) {
			t.Fatal("the authority is never free")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestWindowLostByTheStoreIsNotReportedWithOtherCounts, whether its recorder lives or not.
func TestWindowLostByTheStoreIsNotReportedWithOtherCounts(t *testing.T) {
	for _, lives := range []bool{true, false} {
		s := newSite()
		first, second := s.reporter("first", 3), s.reporter("second", 5)
		first.options.Fleet = alone{told: []*Collector{second.options.Collector}}
		first.Step(context.Background(), at(6))
		s.store.Restore(0)
		if lives {
			first.Step(context.Background(), at(6.2))
		}
		for moment := 8.0; len(s.api.reports[WindowLength(span).WindowAt(at(0))]) < 2; moment += retryInterval.Seconds() {
			if moment > 25 {
				t.Fatal("the next holder reports nothing")
			}
			second.Step(context.Background(), at(moment))
			time.Sleep(shortLife / 8)
		}
		s.api.oneTruth(t)
	}
}

// TestOldHolderRecordsNothing: one that was paused before it recorded finds that another
// has the authority.
func TestOldHolderRecordsNothing(t *testing.T) {
	s := newSite()
	first, second := s.reporter("first", 5), s.reporter("second", 4)
	s.awaitHold(t, first)
	condition, held := first.options.Authority.Condition()
	if !held {
		t.Fatal("the authority lapsed at once")
	}
	s.awaitHold(t, second)
	counts, _ := json.Marshal(Counts{"a": 5})
	_, done, err := s.store.Transact(context.Background(), rowstore.Transaction{
		Conditions: []rowstore.Condition{condition, {Table: Table, Key: windowKey(1)}},
		Writes:     []rowstore.Write{{Table: Table, Key: windowKey(1), Value: counts}},
	})
	if done || err != nil {
		t.Errorf("a write under an old authority: %v %v", done, err)
	}
}

// TestNothingIsReportedUnrecorded: while the store is away, windows wait.
func TestNothingIsReportedUnrecorded(t *testing.T) {
	s := newSite()
	r := s.reporter("n", 3)
	s.store.SetFaults(memorystore.Faults{Down: true})
	for second := 6.0; second < 12; second++ {
		r.Step(context.Background(), at(second))
	}
	if len(s.api.reports) != 0 {
		t.Fatalf("reported: %v", s.api.reports)
	}
	s.store.SetFaults(memorystore.Faults{})
	r.Step(context.Background(), at(12.5))
	if len(s.api.reports) != 2 {
		t.Errorf("%d windows reported after the store was back, want 2", len(s.api.reports))
	}
}

// TestCountsThatCameByTheStoreAreTakenIn: of nodes that reach no supervisor.
func TestCountsThatCameByTheStoreAreTakenIn(t *testing.T) {
	s := newSite()
	window := WindowLength(span).WindowAt(at(0))
	row, _ := json.Marshal(NodeRow{Incarnation: "cut off", Entries: []Entry{{Window: window, Tenant: "a", Count: 7}}})
	_, _, _ = s.store.Transact(context.Background(), rowstore.Transaction{Writes: []rowstore.Write{{Table: Table, Key: NodeKey("m"), Value: row}}})
	r := s.reporter("n", 1)
	r.Step(context.Background(), at(6))
	if got := s.api.reports[window]; len(got) != 1 || got[0]["a"] != 8 {
		t.Errorf("%v", got)
	}
}

// TestUnfencedReportEndsWithTheAuthority: where the platform doesn't compare fences, a
// report is given up before another node may send one.
func TestUnfencedReportEndsWithTheAuthority(t *testing.T) {
	s := newSite()
	r := s.reporter("n", 3)
	r.options.Authority = authority.New(authority.Options{Self: "n", Life: shortLife, Store: s.store, Log: s.log, Unfenced: true})
	s.awaitHold(t, r)
	term, held := r.options.Authority.Term()
	if !held {
		t.Fatal("the authority lapsed at once")
	}
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 1 || s.api.until.After(term.Until) {
		t.Errorf("%d windows; a report may take until %v after the authority", len(s.api.reports), s.api.until.Sub(term.Until))
	}
}
