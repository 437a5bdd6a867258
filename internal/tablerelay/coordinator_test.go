package tablerelay

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

var origin = time.Unix(0, 0)

// fleet is a node's view of the others: those with a lower name come before it.
type fleet struct {
	self           string
	rank           int
	nodes          int
	requested      int
	broadcasts     [][]Announcement
	newsBroadcasts int
}

func (f *fleet) Address() string                { return f.self }
func (f *fleet) Outranks(_, reader string) bool { return reader < f.self }
func (f *fleet) Place(string) int               { return f.rank }
func (f *fleet) Nodes() int                     { return f.nodes }
func (f *fleet) Large() bool                    { return f.nodes > 30 }
func (f *fleet) SpreadWords(announcements []Announcement) {
	f.broadcasts = append(f.broadcasts, announcements)
}
func (f *fleet) SpreadNews(tablefeed.News) { f.newsBroadcasts++ }
func (f *fleet) AskWords(string)           { f.requested++ }

func newTestCoordinator(others *fleet) *Coordinator {
	coordinator := New(others)
	coordinator.Add("table", tablefeed.New(nil, "table", nil, coordinator, logrus.New()))
	return coordinator
}

func TestFreshAnnouncementsCountFromAnyReader(t *testing.T) {
	for name, test := range map[string]struct {
		from  string
		reads bool
		after time.Duration
		want  bool
	}{
		"of a node before it":                     {"a", false, 0, true},
		"of a node after it":                      {"z", false, 0, true},
		"it reads, of a node before it":           {"a", true, 0, true},
		"it reads, of a node after it":            {"z", true, 0, false},
		"its own, from another node":              {"m", false, 0, false},
		"just before it is old":                   {"z", false, Freshness - 501*time.Millisecond, true},
		"too old":                                 {"z", false, Freshness - 500*time.Millisecond, false},
		"it reads, of a node before it, too old":  {"a", true, Freshness - 500*time.Millisecond, false},
		"it reads, of a node before it, just not": {"a", true, Freshness - 501*time.Millisecond, true},
	} {
		coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
		coordinator.Take([]Announcement{{Table: "table", Changed: 3, Confirmed: 9, AgeMillis: 500, Reader: test.from}}, origin)
		got, found := coordinator.LatestConfirmation("table", origin.Add(test.after), test.reads)
		if found != test.want {
			t.Errorf("%s: relies %v", name, found)
		}
		want := tablefeed.Confirmation{Changed: 3, Confirmed: 9, At: origin.Add(-500 * time.Millisecond)}
		if diff := cmp.Diff(want, got); found && diff != "" {
			t.Error(name, diff)
		}
	}
}

// TestOlderVersionOfTheSameReaderIsPassedOver, however young the word seems.
func TestOlderVersionOfSameReaderIsIgnored(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Take([]Announcement{{Table: "table", Changed: 9, Confirmed: 9, AgeMillis: 600, Reader: "a"}}, origin)
	coordinator.Take([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, Reader: "a"}}, origin)
	if got, found := coordinator.LatestConfirmation("table", origin, false); !found || got.Confirmed != 9 {
		t.Errorf("%+v, %v", got, found)
	}
}

// TestNewestVersionCounts, not the word that seems youngest: it may have lain in a buffer.
func TestNewestVersionCounts(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Take([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, Reader: "a"}}, origin)
	coordinator.Take([]Announcement{{Table: "table", Changed: 9, Confirmed: 9, AgeMillis: 600, Reader: "z"}}, origin)
	if got, found := coordinator.LatestConfirmation("table", origin, false); !found || got.Confirmed != 9 {
		t.Errorf("%+v, %v", got, found)
	}
}

// TestFirstNodesWaitLeastForOthers: the first for nobody, no other as long as a word counts.
func TestHigherRanksTakeOverSooner(t *testing.T) {
	for rank, want := range map[int]time.Duration{0: 0, 1: firstTakeoverDelay, 2: firstTakeoverDelay + rankDelay, 300: Freshness} {
		if got := New(&fleet{rank: rank}).TakeoverDelay("table"); got != want {
			t.Errorf("place %d waits %v, want %v", rank, got, want)
		}
	}
}

// TestHoldersAreThoseThatToldOfTheChange, the one heard last first.
func TestHoldersAreReadersThatAnnouncedTheChange(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Take([]Announcement{
		{Table: "table", Changed: 7, Confirmed: 8, AgeMillis: 200, Reader: "127.0.0.1:1"},
		{Table: "table", Changed: 7, Confirmed: 8, AgeMillis: 100, Reader: "127.0.0.1:2"},
		{Table: "table", Changed: 5, Confirmed: 8, Reader: "127.0.0.1:3"},
	}, origin)
	want := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:1")}
	if got := coordinator.holders("table", 5, origin); !slices.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if got := coordinator.holders("table", 5, origin.Add(Freshness)); len(got) != 0 {
		t.Errorf("old words count: %v", got)
	}
}

// TestWordsDontGrowYoungerOnTheWay: what is passed on tells the time since the store's
// confirmation, and an older word doesn't take the place of a newer one.
func TestRelayedAnnouncementsKeepTheirAge(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 5})
	coordinator.Take([]Announcement{{Table: "table", Changed: 4, Confirmed: 9, AgeMillis: 300, Reader: "a"}}, origin)
	coordinator.Take([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, AgeMillis: 700, Reader: "a"}}, origin)
	want := []Announcement{{Table: "table", Changed: 4, Confirmed: 9, AgeMillis: 800, Reader: "a"}}
	if diff := cmp.Diff(want, coordinator.Known(origin.Add(500*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	if got := coordinator.Known(origin.Add(Freshness)); len(got) != 0 {
		t.Errorf("old words are passed on: %v", got)
	}
}

// TestOldWordsAreAskedFor, at most each pullEvery.
func TestNewerAnnouncementsAreRequested(t *testing.T) {
	others := &fleet{self: "m", rank: 5}
	coordinator := newTestCoordinator(others)
	coordinator.Take([]Announcement{{Table: "table", Reader: "a"}}, origin)
	coordinator.LatestConfirmation("table", origin.Add(requestAge-1), false)
	if others.requested != 0 {
		t.Error("a fresh word is asked for")
	}
	for range 3 {
		coordinator.LatestConfirmation("table", origin.Add(requestAge), false)
	}
	coordinator.LatestConfirmation("table", origin.Add(requestAge+requestInterval), false)
	if others.requested != 2 {
		t.Errorf("words were asked for %d times", others.requested)
	}
}

func TestUnknownTablesAreIgnored(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 1})
	coordinator.Take([]Announcement{{Table: "other", Reader: "a"}}, origin)
	coordinator.TakeNews(tablefeed.News{Table: "other"})
	if _, found := coordinator.LatestConfirmation("other", origin, false); found {
		t.Error("a table that isn't followed has a word")
	}
}

// TestLaterNodesCallALostStoreLess: hundreds would call one that is down.
func TestLaterRanksBackOffLonger(t *testing.T) {
	for rank, want := range map[int]time.Duration{0: firstMaxBackoff, 3: firstMaxBackoff, 200: laterMaxBackoff} {
		if got := New(&fleet{rank: rank}).MaxBackoff("table"); got != want {
			t.Errorf("place %d: %v", rank, got)
		}
	}
}

// held is a store whose table changes on command; a cut one answers nothing.
type testStore struct {
	version, calls atomic.Int64
	refuses        atomic.Bool
}

var changed = []tablefeed.Row{{Key: "k"}}

func newTestStore(version int64) *testStore {
	store := &testStore{}
	store.version.Store(version)
	return store
}

var errRefused = errors.New("cut")

func (h *testStore) Read(context.Context, string) ([]tablefeed.Row, tablefeed.Version, error) {
	return h.answer()
}

func (h *testStore) answer() ([]tablefeed.Row, tablefeed.Version, error) {
	h.calls.Add(1)
	if h.refuses.Load() {
		return nil, 0, errRefused
	}
	return changed, tablefeed.Version(h.version.Load()), nil
}

func (h *testStore) Changes(ctx context.Context, _ string, after tablefeed.Version, _ time.Duration) ([]tablefeed.Row, tablefeed.Version, error) {
	if tablefeed.Version(h.version.Load()) == after {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return h.answer()
}

// seen tells what a consumer was given.
type versionRecorder chan tablefeed.Version

func (s versionRecorder) Reset(_ []tablefeed.Row, version tablefeed.Version) { s <- version }
func (s versionRecorder) Apply(_ []tablefeed.Row, version tablefeed.Version) { s <- version }

func receive(t *testing.T, got versionRecorder) tablefeed.Version {
	t.Helper()
	select {
	case version := <-got:
		return version
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		return 0
	}
}

// TestFollowsThroughAnotherNode: while a lower node's word is fresh the store isn't
// called; changes come as news, and missed ones are asked for.
func TestFollowsThroughAnotherNode(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := newTestStore(5)
	got := make(versionRecorder, 8)
	coordinator := New(&fleet{self: "m", rank: 1})
	feed := tablefeed.New(store, "table", got, coordinator, log)
	coordinator.Add("table", feed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	hour := time.Duration(0)
	announceVersion := func(changed, confirmed tablefeed.Version) {
		hour += time.Hour
		coordinator.Take([]Announcement{{Table: "table", Changed: changed, Confirmed: confirmed, Reader: "a"}}, time.Now().Add(hour))
	}
	announceVersion(5, 5)
	go func() { feed.Run(ctx); close(ended) }()
	if version := receive(t, got); version != 5 {
		t.Errorf("read version %d", version)
	}
	feed.Offer(tablefeed.News{Table: "table", After: 4, Version: 7, Rows: changed})
	if version := receive(t, got); version != 7 {
		t.Errorf("news of version %d", version)
	}
	announceVersion(7, 9)
	// News that begin after what is known leave a gap: they are not applied.
	feed.Offer(tablefeed.News{Table: "table", After: 20, Version: 21, Rows: changed})
	if store.calls.Load() != 1 {
		t.Errorf("%d calls to the store", store.calls.Load())
	}
	store.version.Store(21)
	announceVersion(21, 21)
	if version := receive(t, got); version != 21 {
		t.Errorf("asked for version %d", version)
	}
	cancel()
	<-ended
	if store.calls.Load() != 2 {
		t.Errorf("%d calls to the store", store.calls.Load())
	}
}

// TestNodeThatIsRefusedHearsOfChangesFromOthers: the store may refuse one node while
// it serves the others.
func TestRefusedNodeAppliesNews(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := newTestStore(5)
	got := make(versionRecorder, 8)
	coordinator := New(&fleet{self: "m", rank: 1})
	feed := tablefeed.New(store, "table", got, coordinator, log)
	coordinator.Add("table", feed)
	coordinator.Take([]Announcement{{Table: "table", Changed: 5, Confirmed: 5, Reader: "a"}}, time.Now().Add(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { feed.Run(ctx); close(ended) }()
	receive(t, got)
	store.refuses.Store(true)
	feed.Offer(tablefeed.News{Table: "table", After: 5, Version: 6, Rows: changed})
	if version := receive(t, got); version != 6 {
		t.Errorf("news of version %d", version)
	}
	cancel()
	<-ended
}

// TestOnlyOneOfManyCallsTheStore: nodes that start at once read the table once each, and
// then wait for the word of the first; when it is lost the second calls.
func TestSecondNodeTakesOver(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := newTestStore(5)
	got := make(versionRecorder, 8)
	coordinator := New(&fleet{self: "m", rank: 1})
	feed := tablefeed.New(store, "table", got, coordinator, log)
	coordinator.Add("table", feed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	begun := time.Now()
	go func() { feed.Run(ctx); close(ended) }()
	receive(t, got)
	if _, own := feed.Word(); own {
		t.Error("a node speaks for the store that isn't the one to call it")
	}
	store.version.Store(6)
	if version := receive(t, got); version != 6 || time.Since(begun) < firstTakeoverDelay {
		t.Errorf("version %d after %v", version, time.Since(begun))
	}
	cancel()
	<-ended
}

// TestLateWordsAreAskedForLessAndLess in a large fleet, until they were not needed for a
// while. One table's don't wait for another's.
func TestRequestIntervalGrowsInLargeFleet(t *testing.T) {
	others := &fleet{self: "m", rank: 5, nodes: 985}
	coordinator := newTestCoordinator(others)
	coordinator.Add("another", tablefeed.New(nil, "another", nil, coordinator, logrus.New()))
	const away = 20 * time.Second
	for elapsed := time.Duration(0); elapsed < away; elapsed += requestInterval / 2 {
		coordinator.LatestConfirmation("table", origin.Add(elapsed), false)
		coordinator.LatestConfirmation("another", origin.Add(elapsed), false)
	}
	if most := 2 * (int(away/maxRequestInterval) + 5); others.requested > most {
		t.Errorf("words on two tables were asked for %d times in %v, want %d at most", others.requested, away, most)
	}
	if least := 2 * int(away/maxRequestInterval); others.requested < least {
		t.Errorf("words on two tables were asked for %d times in %v, want %d at least", others.requested, away, least)
	}
	others.requested = 0
	for elapsed := time.Duration(0); elapsed <= requestInterval; elapsed += requestInterval {
		coordinator.LatestConfirmation("table", origin.Add(away+3*maxRequestInterval+elapsed), false)
	}
	if others.requested != 2 {
		t.Errorf("after a while words were asked for %d times, want 2", others.requested)
	}
}

// TestALargeFleetCallsAStoreThatFailsNoMoreOften than one of sixty nodes, but for the first.
func TestBackoffGrowsWithFleetSize(t *testing.T) {
	for _, nodes := range []int{6, 60, 985, 2000} {
		first, other := New(&fleet{rank: 0, nodes: nodes}), New(&fleet{rank: 200, nodes: nodes})
		if got := first.MaxBackoff("table"); got != firstMaxBackoff {
			t.Errorf("%d nodes: the first pauses %v", nodes, got)
		}
		pause := other.MaxBackoff("table")
		if a, b := float64(nodes)/pause.Seconds(), laterBackoffNodes/laterMaxBackoff.Seconds(); a > b+0.01 || pause < laterMaxBackoff {
			t.Errorf("%d nodes that pause %v call %.1f times a second, want %.1f at most", nodes, pause, a, b)
		}
	}
}

// TestFreshWordEndsALongPause: a node whose calls failed for long follows others as soon as
// one of them is confirmed again, unless it can't rely on that one: it would call the store
// again for each word.
func TestFreshAnnouncementEndsBackoff(t *testing.T) {
	for name, test := range map[string]struct {
		rank    int
		reader  string
		changed tablefeed.Version
		want    bool
	}{
		"a node that comes before it":          {9, "a", 0, true},
		"one that comes after it":              {9, "z", 0, true},
		"it is the first":                      {0, "a", 0, false},
		"changes are missing that it tells of": {9, "a", 3, false},
	} {
		coordinator := New(&fleet{self: "m", rank: test.rank})
		feed := tablefeed.New(nil, "table", nil, coordinator, logrus.New())
		coordinator.Add("table", feed)
		announcement := Announcement{Table: "table", Changed: test.changed, Confirmed: 9, Reader: test.reader}
		now := time.Now()
		for changed := range 2 { // the second word tells of no change
			coordinator.Take([]Announcement{announcement}, now)
			woken := false
			select {
			case <-feed.Woken():
				woken = true
			default:
			}
			if want := test.want || changed == 0 && test.changed > 0; woken != want {
				t.Errorf("%s, word %d: the pause ends %v", name, changed, woken)
			}
			announcement.Confirmed++
			now = now.Add(time.Second)
		}
	}
}

// ownReader is a store that confirms a table at once.
type oneChangeStore struct{ cancel context.CancelFunc }

func (r *oneChangeStore) Read(context.Context, string) ([]tablefeed.Row, tablefeed.Version, error) {
	return nil, 1, nil
}

func (r *oneChangeStore) Changes(_ context.Context, _ string, after tablefeed.Version, _ time.Duration) ([]tablefeed.Row, tablefeed.Version, error) {
	defer r.cancel()
	return []tablefeed.Row{{Key: "k"}}, after + 1, nil
}

type discardConsumer struct{}

func (discardConsumer) Reset([]tablefeed.Row, tablefeed.Version) {}
func (discardConsumer) Apply([]tablefeed.Row, tablefeed.Version) {}

// TestNodeThatReadsForItselfTellsOnlyThoseThatAsk, in a large fleet, unless it is one of the
// first: many may have to at once.
func TestLowRankedReaderDoesNotBroadcast(t *testing.T) {
	for name, test := range map[string]struct {
		nodes, rank int
		broadcasts  bool
	}{
		"the first of a large fleet":        {985, 0, true},
		"the third of a zone":               {985, broadcastRanks, true},
		"another one":                       {985, broadcastRanks + 1, false},
		"one that doesn't know its place":   {985, 1 << 20, false},
		"any node of a fleet of a few":      {30, 29, true},
		"a node of a fleet of a few dozens": {75, 12, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			others := &fleet{self: "m", rank: test.rank, nodes: test.nodes}
			coordinator := New(others)
			ctx, cancel := context.WithCancel(context.Background())
			log := logrus.New()
			log.SetOutput(io.Discard)
			feed := tablefeed.New(&oneChangeStore{cancel}, "table", discardConsumer{}, coordinator, log)
			coordinator.Add("table", feed)
			feed.Run(ctx)
			if got := others.newsBroadcasts > 0; got != test.broadcasts {
				t.Errorf("it tells all of changes: %v", got)
			}
			if got := len(others.broadcasts) > 0; got != test.broadcasts {
				t.Errorf("it tells all what is confirmed: %v", got)
			}
			if len(coordinator.Known(time.Now())) == 0 {
				t.Error("it has nothing to tell who asks")
			}
		})
	}
}
