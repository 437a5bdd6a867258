package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// fakeAPI is a platform API that records reports.
type fakeAPI struct {
	reports map[Window][]Counts
	highest uint64
	// silent makes the API accept reports without answering.
	silent bool
	fences []uint64
	// until is the deadline of the last call.
	until time.Time
}

func (a *fakeAPI) ReportUsage(ctx context.Context, act duty.LeaseToken, window Window, counts Counts) (duty.Verdict, error) {
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

// checkSameCounts fails if two reports of a window differ.
func (a *fakeAPI) checkSameCounts(t *testing.T) {
	t.Helper()
	for window, reports := range a.reports {
		for _, other := range reports[1:] {
			if diff := cmp.Diff(reports[0], other); diff != "" {
				t.Errorf("window %d was reported with different counts: %s", window, diff)
			}
		}
	}
}

type fakeFleet struct {
	members []Member
	// told are the collectors of other supervisors, which receive recorded windows.
	told []*Collector
	// gather answers a question for what the other supervisors have collected.
	gather func(after Window)
	// unanswered returns the supervisors that haven't answered it, none by default.
	unanswered func() []string
	// lacking returns the supervisors that lack the record of a window, none by default.
	lacking func(window Window) []string
	// earlier tells that a node of an earlier build has been heard.
	earlier bool
}

func (a fakeFleet) EarlierBuildHeard() bool { return a.earlier }

func (a fakeFleet) Members() []Member { return a.members }

func (a fakeFleet) GatherUsage(after Window) {
	if a.gather != nil {
		a.gather(after)
	}
}

func (a fakeFleet) GatherRecords() {}

func (a fakeFleet) Unanswered() []string {
	if a.unanswered != nil {
		return a.unanswered()
	}
	return nil
}

func (a fakeFleet) Unreached() []string { return nil }

func (a fakeFleet) Lacking(window Window) []string {
	if a.lacking != nil {
		return a.lacking(window)
	}
	return nil
}

func (a fakeFleet) TellRecorded(recorded map[Window]Counts) {
	for _, told := range a.told {
		told.MergeRecorded(recorded)
	}
}

// fixture is what the reporters of a test share.
type fixture struct {
	store *memorystore.Store
	api   *fakeAPI
	log   *logrus.Logger
}

func newFixture() *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &fixture{store: memorystore.New(), api: &fakeAPI{reports: make(map[Window][]Counts)}, log: log}
}

// leaseLife is short enough to expire within a test, and far above any scheduling delay.
const leaseLife = time.Second

// reporter returns a reporter of a node that has counted the given number of requests of tenant
// a in the first window.
func (s *fixture) reporter(node string, counted int, members ...Member) *Reporter {
	tally := NewTally(span)
	for range counted {
		tally.CountStarted("a", at(1))
	}
	r := NewReporter(Options{
		Node: node, Incarnation: node, Late: 10 * time.Second, Tally: tally, Collector: NewCollector(),
		Authority: authority.New(authority.Options{Self: node, Life: leaseLife, Store: s.store, Log: s.log}),
		Store:     s.store, API: s.api, Fleet: fakeFleet{members: members}, Designated: func() bool { return true }, Log: s.log,
	})
	r.first = WindowLength(span).WindowAt(at(0))
	return r
}

func TestWindowIsReportedOnceItIsOver(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 3)
	for _, second := range []float64{1, 4.9, 5.5} {
		r.Step(context.Background(), at(second))
	}
	if len(s.api.reports) != 0 {
		t.Fatalf("a window was reported before its end: %v", s.api.reports)
	}
	for _, second := range []float64{5.7, 6, 9} {
		r.Step(context.Background(), at(second))
	}
	want := map[Window][]Counts{WindowLength(span).WindowAt(at(0)): {{"a": 3}}}
	if diff := cmp.Diff(want, s.api.reports); diff != "" {
		t.Error(diff)
	}
}

// TestReporterCountsAllOfItsOwnTenants guards against a reporter that counts only as many of its
// own entries as fit in a message to another node.
func TestReporterCountsAllOfItsOwnTenants(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 1)
	want := Counts{"a": 1}
	for number := range 2 * maxEntries {
		tenant := fmt.Sprint("tenant-", number)
		r.options.Tally.CountStarted(tenant, at(2))
		want[tenant] = 1
	}
	r.Step(context.Background(), at(6))
	if diff := cmp.Diff(map[Window][]Counts{WindowLength(span).WindowAt(at(0)): {want}}, s.api.reports); diff != "" {
		t.Error(diff)
	}
}

// TestReporterWaitsForLiveNodes checks that it waits for maxNodeWait at most.
func TestReporterWaitsForLiveNodes(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 1, Member{Node: "late"}, Member{Node: "dead", Silent: time.Minute})
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 0 {
		t.Fatal("the reporter didn't wait for a live node")
	}
	other := NewTally(span)
	other.CountStarted("a", at(2))
	r.options.Collector.MergeDelta("late", other.Since(0, at(6.5)))
	r.Step(context.Background(), at(6.6))
	if got := s.api.reports[WindowLength(span).WindowAt(at(0))]; len(got) != 1 || got[0]["a"] != 2 {
		t.Errorf("reports %v, want one of 2 requests", got)
	}
	silent := newFixture()
	r = silent.reporter("n", 1, Member{Node: "late"})
	r.Step(context.Background(), at(8.5))
	if len(silent.api.reports) != 1 {
		t.Error("the reporter waits for longer than maxNodeWait")
	}
}

// TestNextHolderReportsRecordedCounts checks that the next holder of the authority, which has
// other counts, reports what its predecessor recorded, whether the predecessor's record or
// report was answered or not.
func TestNextHolderReportsRecordedCounts(t *testing.T) {
	for _, lost := range []struct {
		name string
		do   func(s *fixture)
	}{
		{"report not answered", func(s *fixture) { s.api.silent = true }},
		{"record not answered", func(s *fixture) { s.store.SetFaults(memorystore.Faults{LoseWrites: true}) }},
		{"nothing lost", func(*fixture) {}},
	} {
		s := newFixture()
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
		first.Step(context.Background(), at(8)) // the former holder continues
		s.api.checkSameCounts(t)
		if got := s.api.reports[WindowLength(span).WindowAt(at(0))]; len(got) == 0 || got[0]["a"] != 5 {
			t.Errorf("%s: %v", lost.name, got)
		}
	}
}

// awaitHold waits until a reporter has the authority.
func (s *fixture) awaitHold(t *testing.T, r *Reporter) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); r.options.Authority.Acquire(context.Background()) != authority.Held; {
		if time.Now().After(end) {
			t.Fatal("the authority didn't become free")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestWindowLostInARestoreIsReportedWithTheSameCounts checks that the next holder has received
// the recorded counts, whether the node that recorded them continues or not.
func TestWindowLostInARestoreIsReportedWithTheSameCounts(t *testing.T) {
	for _, lives := range []bool{true, false} {
		s := newFixture()
		first, second := s.reporter("first", 3), s.reporter("second", 5)
		first.options.Fleet = fakeFleet{told: []*Collector{second.options.Collector}}
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
			time.Sleep(leaseLife / 8)
		}
		s.api.checkSameCounts(t)
	}
}

// TestNextHolderAsksOnceItHasTheAuthority checks that a node that asked the other supervisors
// while another node still reported asks them again once it has the authority: a window may have
// been recorded and reported since, without this node being told, and lost in a restore.
func TestNextHolderAsksOnceItHasTheAuthority(t *testing.T) {
	s := newFixture()
	first, second := s.reporter("first", 3), s.reporter("second", 1)
	third := NewCollector()
	first.options.Fleet = fakeFleet{told: []*Collector{third}}
	second.options.Fleet = fakeFleet{gather: func(after Window) { second.options.Collector.MergeRecorded(third.Recorded(after)) }}
	s.awaitHold(t, first)
	second.Step(context.Background(), at(6)) // asks, and doesn't get the authority
	first.Step(context.Background(), at(6.2))
	s.store.Restore(0)
	s.store.Restore(0)
	for moment := 8.0; len(s.api.reports[WindowLength(span).WindowAt(at(0))]) < 2; moment += retryInterval.Seconds() {
		if moment > 25 {
			t.Fatal("the next holder reports nothing")
		}
		second.Step(context.Background(), at(moment))
		time.Sleep(leaseLife / 8)
	}
	s.api.checkSameCounts(t)
}

// TestLateAnswerAboutARecordedWindowIsAwaited guards against a holder that records a window
// while the answer of the only node that knows the window's record is still on its way.
func TestLateAnswerAboutARecordedWindowIsAwaited(t *testing.T) {
	s := newFixture()
	window := WindowLength(span).WindowAt(at(0))
	r := s.reporter("n", 1)
	answered := false
	r.options.Fleet = fakeFleet{unanswered: func() []string {
		if answered {
			return nil
		}
		return []string{"other"}
	}}
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 0 {
		t.Fatalf("reported before the other supervisor answered: %v", s.api.reports)
	}
	answered = true
	r.options.Collector.MergeRecorded(map[Window]Counts{window: {"a": 3}})
	r.Step(context.Background(), at(7))
	if diff := cmp.Diff(map[Window][]Counts{window: {{"a": 3}}}, s.api.reports); diff != "" {
		t.Error(diff)
	}
}

// TestSilentSupervisorDelaysReportsOnce checks that a supervisor that never answers delays the
// first report by gatherTimeout, and the following ones not at all.
func TestSilentSupervisorDelaysReportsOnce(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 1)
	r.options.Fleet = fakeFleet{unanswered: func() []string { return []string{"paused"} }}
	begun := time.Now()
	for moment := 6.0; len(s.api.reports) == 0; moment += retryInterval.Seconds() {
		if moment > 20 {
			t.Fatal("nothing is reported")
		}
		r.Step(context.Background(), at(moment))
	}
	if waited := time.Since(begun); waited < gatherTimeout {
		t.Errorf("waited %v, want at least %v", waited, gatherTimeout)
	}
	r.Step(context.Background(), at(25))
	if len(s.api.reports) < 2 {
		t.Error("waits again for the same supervisor")
	}
}

// TestWindowIsReportedOnceAnotherNodeHasItsRecord guards against a report that is accepted while
// its record is known to no other node: the reporter may end and the store be restored next.
func TestWindowIsReportedOnceAnotherNodeHasItsRecord(t *testing.T) {
	s := newFixture()
	window := WindowLength(span).WindowAt(at(0))
	r := s.reporter("n", 3)
	other := NewCollector()
	r.options.Fleet = fakeFleet{lacking: func(window Window) []string {
		if _, held := other.History().Find(window); held {
			return nil
		}
		return []string{"other"}
	}}
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 0 {
		t.Fatalf("reported although no other node has the record: %v", s.api.reports)
	}
	other.MergeRecorded(r.options.Collector.Recorded(0))
	r.Step(context.Background(), at(7))
	if diff := cmp.Diff(map[Window][]Counts{window: {{"a": 3}}}, s.api.reports); diff != "" {
		t.Error(diff)
	}
}

// TestPausedSupervisorDoesNotStopReports checks that a supervisor that never confirms a record
// delays its report by heldTimeout only.
func TestPausedSupervisorDoesNotStopReports(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 3)
	r.options.Fleet = fakeFleet{lacking: func(Window) []string { return []string{"paused"} }}
	begun := time.Now()
	for moment := 6.0; len(s.api.reports) == 0; moment += retryInterval.Seconds() {
		if moment > 20 {
			t.Fatal("nothing is reported")
		}
		r.Step(context.Background(), at(moment))
	}
	if waited := time.Since(begun); waited < heldTimeout {
		t.Errorf("reported after %v, want at least %v", waited, heldTimeout)
	}
}

// TestWindowWhoseRecordNobodyKnowsIsLeftOut guards against a second report of a window after all
// nodes that knew its record ended and the store was restored to before it.
func TestWindowWhoseRecordNobodyKnowsIsLeftOut(t *testing.T) {
	s := newFixture()
	s.reporter("first", 3).Step(context.Background(), at(6))
	s.store.Restore(0)
	window := WindowLength(span).WindowAt(at(0))
	second := s.reporter("second", 1)
	for moment := 8.0; len(s.api.reports[window+1]) == 0; moment += retryInterval.Seconds() {
		if moment > 30 {
			t.Fatalf("windows that end after the restore aren't reported: %v", s.api.reports)
		}
		second.Step(context.Background(), at(moment))
		time.Sleep(leaseLife / 8)
	}
	if diff := cmp.Diff([]Counts{{"a": 3}}, s.api.reports[window]); diff != "" {
		t.Errorf("reports of the window from before the restore: %s", diff)
	}
}

// TestRecordMadeAnewByAnEarlierBuildIsNotReported guards against a second report of a window that
// an earlier build recorded anew after a restore, and that this build finds in the store.
func TestRecordMadeAnewByAnEarlierBuildIsNotReported(t *testing.T) {
	window := WindowLength(span).WindowAt(at(0))
	for name, known := range map[string]map[Window]Counts{
		"nobody knows its first record": nil,
		"its first record is known":     {window: {"a": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture()
			s.reporter("first", 3).Step(context.Background(), at(6))
			s.store.Restore(0)
			s.recordAsEarlierBuild(t, window, Counts{"a": 1})
			second := s.reporter("second", 1)
			second.options.Fleet = fakeFleet{earlier: true}
			second.options.Collector.MergeRecorded(known)
			for moment := 8.0; len(s.api.reports[window+1]) == 0; moment += retryInterval.Seconds() {
				if moment > 30 {
					t.Fatalf("windows that end after the restore aren't reported: %v", s.api.reports)
				}
				second.Step(context.Background(), at(moment))
				time.Sleep(leaseLife / 8)
			}
			s.api.checkSameCounts(t)
		})
	}
}

// recordAsEarlierBuild records a window as builds without a history do: with whatever counts the
// node has.
func (s *fixture) recordAsEarlierBuild(t *testing.T, window Window, counts Counts) {
	t.Helper()
	content, err := json.Marshal(counts)
	if err != nil {
		t.Fatal(err)
	}
	write := rowstore.Write{Table: Table, Key: windowKey(window), Value: content}
	if _, done, err := s.store.Transact(context.Background(), rowstore.Transaction{Writes: []rowstore.Write{write}}); err != nil || !done {
		t.Fatal(done, err)
	}
}

// TestReporterThatLivesThroughARestoreLeavesNothingOut checks that the holder of the authority,
// which knows what it has recorded, reports a window that ended before the restore.
func TestReporterThatLivesThroughARestoreLeavesNothingOut(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 3)
	r.Step(context.Background(), at(6))
	s.store.SetFaults(memorystore.Faults{Down: true})
	r.Step(context.Background(), at(11))
	s.store.SetFaults(memorystore.Faults{})
	s.store.Restore(0)
	window := WindowLength(span).WindowAt(at(0))
	for moment := 12.0; len(s.api.reports[window+1]) == 0; moment += retryInterval.Seconds() {
		if moment > 30 {
			t.Fatalf("the window that ended before the restore is left out: %v", s.api.reports)
		}
		r.Step(context.Background(), at(moment))
		time.Sleep(leaseLife / 8)
	}
	s.api.checkSameCounts(t)
}

// TestFormerHolderRecordsNothing checks that a write under the authority's condition fails once
// another node has the authority, as after a pause of the process.
func TestFormerHolderRecordsNothing(t *testing.T) {
	s := newFixture()
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
		t.Errorf("a write under a former authority: done %v, error %v", done, err)
	}
}

// TestWindowsAreNotReportedBeforeTheyAreRecorded checks that windows wait while the store is
// unavailable.
func TestWindowsAreNotReportedBeforeTheyAreRecorded(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 3)
	s.store.SetFaults(memorystore.Faults{Down: true})
	for second := 6.0; second < 12; second++ {
		r.Step(context.Background(), at(second))
	}
	if len(s.api.reports) != 0 {
		t.Fatalf("windows were reported that aren't recorded: %v", s.api.reports)
	}
	s.store.SetFaults(memorystore.Faults{})
	r.Step(context.Background(), at(12.5))
	if len(s.api.reports) != 2 {
		t.Errorf("%d windows reported once the store was available again, want 2", len(s.api.reports))
	}
}

// TestCountsThatNodesWroteToTheStoreAreReported checks the rows of nodes that reach no
// supervisor.
func TestCountsThatNodesWroteToTheStoreAreReported(t *testing.T) {
	s := newFixture()
	window := WindowLength(span).WindowAt(at(0))
	row, _ := json.Marshal(NodeRow{Incarnation: "cut off", Entries: []Entry{{Window: window, Tenant: "a", Count: 7}}})
	_, _, _ = s.store.Transact(context.Background(), rowstore.Transaction{Writes: []rowstore.Write{{Table: Table, Key: NodeKey("m"), Value: row}}})
	r := s.reporter("n", 1)
	r.Step(context.Background(), at(6))
	if got := s.api.reports[window]; len(got) != 1 || got[0]["a"] != 8 {
		t.Errorf("reports %v, want one of 8 requests", got)
	}
}

// TestUnfencedReportEndsWithTheAuthority checks that, if the platform doesn't compare fencing
// tokens, a report is cancelled before another node can send one.
func TestUnfencedReportEndsWithTheAuthority(t *testing.T) {
	s := newFixture()
	r := s.reporter("n", 3)
	r.options.Authority = authority.New(authority.Options{Self: "n", Life: leaseLife, Store: s.store, Log: s.log, Unfenced: true})
	s.awaitHold(t, r)
	term, held := r.options.Authority.Term()
	if !held {
		t.Fatal("the authority lapsed at once")
	}
	r.Step(context.Background(), at(6))
	if len(s.api.reports) != 1 || s.api.until.After(term.Until) {
		t.Errorf("%d windows reported; the deadline of the last report is %v after the end of the authority", len(s.api.reports), s.api.until.Sub(term.Until))
	}
}
