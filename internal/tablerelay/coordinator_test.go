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

// fleet is a node's view of the other nodes: those with a lower name outrank it.
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
func (f *fleet) Rank(string) int                { return f.rank }
func (f *fleet) Nodes() int                     { return f.nodes }
func (f *fleet) Large() bool                    { return f.nodes > 30 }
func (f *fleet) BroadcastAnnouncements(announcements []Announcement) {
	f.broadcasts = append(f.broadcasts, announcements)
}
func (f *fleet) BroadcastNews(tablefeed.News) { f.newsBroadcasts++ }
func (f *fleet) RequestAnnouncements(string)  { f.requested++ }

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
		"follower, reader outranks it":         {"a", false, 0, true},
		"follower, it outranks the reader":     {"z", false, 0, true},
		"reader, outranked":                    {"a", true, 0, true},
		"reader, outranks the other":           {"z", true, 0, false},
		"its own, relayed by another node":     {"m", false, 0, false},
		"just fresh enough":                    {"z", false, Freshness - 501*time.Millisecond, true},
		"too old":                              {"z", false, Freshness - 500*time.Millisecond, false},
		"reader, outranked, too old":           {"a", true, Freshness - 500*time.Millisecond, false},
		"reader, outranked, just fresh enough": {"a", true, Freshness - 501*time.Millisecond, true},
	} {
		coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
		coordinator.Receive([]Announcement{{Table: "table", Changed: 3, Confirmed: 9, AgeMillis: 500, Reader: test.from}}, origin)
		got, found := coordinator.LatestConfirmation("table", origin.Add(test.after), test.reads)
		if found != test.want {
			t.Errorf("%s: found %v", name, found)
		}
		want := tablefeed.Confirmation{Changed: 3, Confirmed: 9, At: origin.Add(-500 * time.Millisecond)}
		if diff := cmp.Diff(want, got); found && diff != "" {
			t.Error(name, diff)
		}
	}
}

// TestOlderVersionOfSameReaderIsIgnored, even if its confirmation seems more recent.
func TestOlderVersionOfSameReaderIsIgnored(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Receive([]Announcement{{Table: "table", Changed: 9, Confirmed: 9, AgeMillis: 600, Reader: "a"}}, origin)
	coordinator.Receive([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, Reader: "a"}}, origin)
	if got, found := coordinator.LatestConfirmation("table", origin, false); !found || got.Confirmed != 9 {
		t.Errorf("%+v, %v", got, found)
	}
}

// TestNewestVersionCounts, not the confirmation that seems most recent: its announcement may
// have spent time in a buffer.
func TestNewestVersionCounts(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Receive([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, Reader: "a"}}, origin)
	coordinator.Receive([]Announcement{{Table: "table", Changed: 9, Confirmed: 9, AgeMillis: 600, Reader: "z"}}, origin)
	if got, found := coordinator.LatestConfirmation("table", origin, false); !found || got.Confirmed != 9 {
		t.Errorf("%+v, %v", got, found)
	}
}

// TestHigherRanksTakeOverSooner: the first node doesn't wait for others, and no node waits
// longer than Freshness.
func TestHigherRanksTakeOverSooner(t *testing.T) {
	for rank, want := range map[int]time.Duration{0: 0, 1: firstTakeoverDelay, 2: firstTakeoverDelay + rankDelay, 300: Freshness} {
		if got := New(&fleet{rank: rank}).TakeoverDelay("table"); got != want {
			t.Errorf("rank %d waits %v, want %v", rank, got, want)
		}
	}
}

// TestHoldersAreReadersThatAnnouncedTheChange, the one with the latest confirmation first.
func TestHoldersAreReadersThatAnnouncedTheChange(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 9})
	coordinator.Receive([]Announcement{
		{Table: "table", Changed: 7, Confirmed: 8, AgeMillis: 200, Reader: "127.0.0.1:1"},
		{Table: "table", Changed: 7, Confirmed: 8, AgeMillis: 100, Reader: "127.0.0.1:2"},
		{Table: "table", Changed: 5, Confirmed: 8, Reader: "127.0.0.1:3"},
	}, origin)
	want := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:1")}
	if got := coordinator.holders("table", 5, origin); !slices.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if got := coordinator.holders("table", 5, origin.Add(Freshness)); len(got) != 0 {
		t.Errorf("holders by old announcements: %v", got)
	}
}

// TestRelayedAnnouncementsKeepTheirAge: a relayed announcement has the time since the store's
// confirmation, and an older one doesn't replace a newer one.
func TestRelayedAnnouncementsKeepTheirAge(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 5})
	coordinator.Receive([]Announcement{{Table: "table", Changed: 4, Confirmed: 9, AgeMillis: 300, Reader: "a"}}, origin)
	coordinator.Receive([]Announcement{{Table: "table", Changed: 3, Confirmed: 8, AgeMillis: 700, Reader: "a"}}, origin)
	want := []Announcement{{Table: "table", Changed: 4, Confirmed: 9, AgeMillis: 800, Reader: "a"}}
	if diff := cmp.Diff(want, coordinator.KnownAnnouncements(origin.Add(500*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	if got := coordinator.KnownAnnouncements(origin.Add(Freshness)); len(got) != 0 {
		t.Errorf("old announcements are returned: %v", got)
	}
}

// TestNewerAnnouncementsAreRequested when the known ones are old, at most once per
// requestInterval.
func TestNewerAnnouncementsAreRequested(t *testing.T) {
	others := &fleet{self: "m", rank: 5}
	coordinator := newTestCoordinator(others)
	coordinator.Receive([]Announcement{{Table: "table", Reader: "a"}}, origin)
	coordinator.LatestConfirmation("table", origin.Add(requestAge-1), false)
	if others.requested != 0 {
		t.Error("a newer announcement was requested though the known one is fresh")
	}
	for range 3 {
		coordinator.LatestConfirmation("table", origin.Add(requestAge), false)
	}
	coordinator.LatestConfirmation("table", origin.Add(requestAge+requestInterval), false)
	if others.requested != 2 {
		t.Errorf("announcements were requested %d times, want 2", others.requested)
	}
}

func TestUnknownTablesAreIgnored(t *testing.T) {
	coordinator := newTestCoordinator(&fleet{self: "m", rank: 1})
	coordinator.Receive([]Announcement{{Table: "other", Reader: "a"}}, origin)
	coordinator.ReceiveNews(tablefeed.News{Table: "other"})
	if _, found := coordinator.LatestConfirmation("other", origin, false); found {
		t.Error("a confirmation was found for a table without a feed")
	}
}

// TestLaterRanksBackOffLonger: otherwise hundreds of nodes would call a store that is down.
func TestLaterRanksBackOffLonger(t *testing.T) {
	for rank, want := range map[int]time.Duration{0: firstMaxBackoff, 3: firstMaxBackoff, 200: laterMaxBackoff} {
		if got := New(&fleet{rank: rank}).MaxBackoff("table"); got != want {
			t.Errorf("rank %d: max backoff %v", rank, got)
		}
	}
}

// testStore is a store with a settable version; it can be made to refuse calls.
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

// versionRecorder receives the versions that a consumer is given.
type versionRecorder chan tablefeed.Version

func (s versionRecorder) Reset(_ []tablefeed.Row, version tablefeed.Version) { s <- version }
func (s versionRecorder) Apply(_ []tablefeed.Row, version tablefeed.Version) { s <- version }

func receive(t *testing.T, got versionRecorder) tablefeed.Version {
	t.Helper()
	select {
	case version := <-got:
		return version
	case <-time.After(20 * time.Second):
		t.Fatal("the consumer received nothing")
		return 0
	}
}

// TestFollowsThroughAnotherNode: while the confirmation of a higher-ranking node is fresh, the
// store isn't called. Changes arrive as news, and missed ones are read.
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
		coordinator.Receive([]Announcement{{Table: "table", Changed: changed, Confirmed: confirmed, Reader: "a"}}, time.Now().Add(hour))
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
	// News that start after the held version leave a gap and aren't applied.
	feed.Offer(tablefeed.News{Table: "table", After: 20, Version: 21, Rows: changed})
	if store.calls.Load() != 1 {
		t.Errorf("%d calls to the store", store.calls.Load())
	}
	store.version.Store(21)
	announceVersion(21, 21)
	if version := receive(t, got); version != 21 {
		t.Errorf("received version %d, want 21", version)
	}
	cancel()
	<-ended
	if store.calls.Load() != 2 {
		t.Errorf("%d calls to the store", store.calls.Load())
	}
}

// TestRefusedNodeAppliesNews: the store may refuse one node while it serves the others.
func TestRefusedNodeAppliesNews(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := newTestStore(5)
	got := make(versionRecorder, 8)
	coordinator := New(&fleet{self: "m", rank: 1})
	feed := tablefeed.New(store, "table", got, coordinator, log)
	coordinator.Add("table", feed)
	coordinator.Receive([]Announcement{{Table: "table", Changed: 5, Confirmed: 5, Reader: "a"}}, time.Now().Add(time.Hour))
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

// TestSecondNodeTakesOver: nodes that start together read the table once each, and then wait
// for the announcements of the first one. If these don't arrive, the second one calls the
// store.
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
	if _, own := feed.Confirmation(); own {
		t.Error("a node that isn't the reader has a confirmation of its own")
	}
	store.version.Store(6)
	if version := receive(t, got); version != 6 || time.Since(begun) < firstTakeoverDelay {
		t.Errorf("version %d after %v", version, time.Since(begun))
	}
	cancel()
	<-ended
}

// TestRequestIntervalGrowsInLargeFleet until no request was needed for a while. Requests for
// one table don't delay those for another.
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
		t.Errorf("announcements of two tables were requested %d times in %v, want %d at most", others.requested, away, most)
	}
	if least := 2 * int(away/maxRequestInterval); others.requested < least {
		t.Errorf("announcements of two tables were requested %d times in %v, want %d at least", others.requested, away, least)
	}
	others.requested = 0
	for elapsed := time.Duration(0); elapsed <= requestInterval; elapsed += requestInterval {
		coordinator.LatestConfirmation("table", origin.Add(away+3*maxRequestInterval+elapsed), false)
	}
	if others.requested != 2 {
		t.Errorf("after a while announcements were requested %d times, want 2", others.requested)
	}
}

// TestBackoffGrowsWithFleetSize: however large the fleet, its nodes other than the first ones
// together call a failing store no more often than sixty nodes do.
func TestBackoffGrowsWithFleetSize(t *testing.T) {
	for _, nodes := range []int{6, 60, 985, 2000} {
		first, other := New(&fleet{rank: 0, nodes: nodes}), New(&fleet{rank: 200, nodes: nodes})
		if got := first.MaxBackoff("table"); got != firstMaxBackoff {
			t.Errorf("%d nodes: max backoff %v of the first", nodes, got)
		}
		pause := other.MaxBackoff("table")
		if a, b := float64(nodes)/pause.Seconds(), laterBackoffNodes/laterMaxBackoff.Seconds(); a > b+0.01 || pause < laterMaxBackoff {
			t.Errorf("%d nodes with a max backoff of %v call %.1f times per second, want %.1f at most", nodes, pause, a, b)
		}
	}
}

// TestFreshAnnouncementEndsBackoff: a node whose calls have failed for long follows another
// node as soon as the store confirms the table to that one again. It must not do so if it can't
// rely on that node, because it would call the store again for each announcement.
func TestFreshAnnouncementEndsBackoff(t *testing.T) {
	for name, test := range map[string]struct {
		rank    int
		reader  string
		changed tablefeed.Version
		want    bool
	}{
		"the reader outranks it":     {9, "a", 0, true},
		"it outranks the reader":     {9, "z", 0, true},
		"it has the first rank":      {0, "a", 0, false},
		"it lacks announced changes": {9, "a", 3, false},
	} {
		coordinator := New(&fleet{self: "m", rank: test.rank})
		feed := tablefeed.New(nil, "table", nil, coordinator, logrus.New())
		coordinator.Add("table", feed)
		announcement := Announcement{Table: "table", Changed: test.changed, Confirmed: 9, Reader: test.reader}
		now := time.Now()
		for changed := range 2 { // the second announcement has no new change
			coordinator.Receive([]Announcement{announcement}, now)
			woken := false
			select {
			case <-feed.Woken():
				woken = true
			default:
			}
			if want := test.want || changed == 0 && test.changed > 0; woken != want {
				t.Errorf("%s, announcement %d: woken %v", name, changed, woken)
			}
			announcement.Confirmed++
			now = now.Add(time.Second)
		}
	}
}

// oneChangeStore answers the first call for changes at once, and stops the feed.
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

// TestLowRankedReaderDoesNotBroadcast: in a large fleet, many nodes may have to read for
// themselves at the same time, so only the first ones broadcast what they read.
func TestLowRankedReaderDoesNotBroadcast(t *testing.T) {
	for name, test := range map[string]struct {
		nodes, rank int
		broadcasts  bool
	}{
		"first rank in a large fleet":   {985, 0, true},
		"last broadcasting rank":        {985, maxBroadcastRank, true},
		"next rank":                     {985, maxBroadcastRank + 1, false},
		"unknown rank":                  {985, 1 << 20, false},
		"last rank in a small fleet":    {30, 29, true},
		"low rank in a fleet of dozens": {75, 12, false},
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
				t.Errorf("broadcasts changes: %v", got)
			}
			if got := len(others.broadcasts) > 0; got != test.broadcasts {
				t.Errorf("broadcasts confirmations: %v", got)
			}
			if len(coordinator.KnownAnnouncements(time.Now())) == 0 {
				t.Error("it has no announcement for nodes that ask")
			}
		})
	}
}
