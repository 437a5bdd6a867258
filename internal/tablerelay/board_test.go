package tablerelay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

var origin = time.Unix(0, 0)

func boardOf(node, zone string, fleet int) *Board {
	board := New(node, zone, func() int { return fleet }, nil)
	board.Add("table", tablefeed.New(nil, "table", nil, board, logrus.New()))
	return board
}

func TestReliesOnLowerNodesWhoseWordIsFresh(t *testing.T) {
	word := []Word{{Table: "table", Changed: 3, Confirmed: 9, AgeMillis: 500}}
	for name, test := range map[string]struct {
		from, zone string
		fleet      int
		after      time.Duration
		want       bool
	}{
		"lower, same zone":               {"a", "here", 60, 0, true},
		"higher":                         {"z", "here", 60, 0, false},
		"other zone of a large fleet":    {"a", "there", 60, 0, false},
		"other zone of a small fleet":    {"a", "there", 7, 0, true},
		"just before its age is too old": {"a", "here", 60, Freshness - 501*time.Millisecond, true},
		"too old":                        {"a", "here", 60, Freshness - 500*time.Millisecond, false},
	} {
		board := boardOf("m", "here", test.fleet)
		board.Take(test.from, test.zone, word, origin)
		got, found := board.Word("table", origin.Add(test.after))
		if found != test.want {
			t.Errorf("%s: relies %v", name, found)
		}
		want := tablefeed.Word{Changed: 3, Confirmed: 9, At: origin.Add(-500 * time.Millisecond)}
		if diff := cmp.Diff(want, got); found && diff != "" {
			t.Error(name, diff)
		}
	}
}

func TestUnknownTablesArePassedOver(t *testing.T) {
	board := boardOf("m", "here", 2)
	board.Take("a", "here", []Word{{Table: "other"}}, origin)
	board.TakeNews(tablefeed.News{Table: "other"})
	if _, found := board.Word("other", origin); found {
		t.Error("a table that isn't followed has a word")
	}
}

func TestNewsStayInTheZoneOfALargeFleet(t *testing.T) {
	for fleet, want := range map[int]string{smallFleet: "", smallFleet + 1: "here"} {
		sent := "none"
		board := New("m", "here", func() int { return fleet }, func(_ tablefeed.News, zone string) { sent = zone })
		board.Publish(tablefeed.News{})
		if sent != want {
			t.Errorf("%d nodes: sent to %q", fleet, sent)
		}
	}
}

// held is a store whose table changes on command; a cut one answers nothing.
type held struct {
	version, calls atomic.Int64
	cut            atomic.Bool
}

var changed = []tablefeed.Row{{Key: "k"}}

func holding(version int64) *held {
	store := &held{}
	store.version.Store(version)
	return store
}

var errCut = errors.New("cut")

func (h *held) Read(context.Context, string) ([]tablefeed.Row, tablefeed.Version, error) {
	return h.answer()
}

func (h *held) answer() ([]tablefeed.Row, tablefeed.Version, error) {
	h.calls.Add(1)
	if h.cut.Load() {
		return nil, 0, errCut
	}
	return changed, tablefeed.Version(h.version.Load()), nil
}

func (h *held) Changes(ctx context.Context, _ string, after tablefeed.Version, _ time.Duration) ([]tablefeed.Row, tablefeed.Version, error) {
	if tablefeed.Version(h.version.Load()) == after {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return h.answer()
}

// seen tells what a consumer was given.
type seen chan tablefeed.Version

func (s seen) Reset(_ []tablefeed.Row, version tablefeed.Version) { s <- version }
func (s seen) Apply(_ []tablefeed.Row, version tablefeed.Version) { s <- version }

func take(t *testing.T, got seen) tablefeed.Version {
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
	store := holding(5)
	got := make(seen, 8)
	board := New("m", "here", func() int { return 2 }, func(tablefeed.News, string) {})
	feed := tablefeed.New(store, "table", got, board, log)
	board.Add("table", feed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	say := func(changed, confirmed tablefeed.Version) {
		board.Take("a", "here", []Word{{Table: "table", Changed: changed, Confirmed: confirmed}}, time.Now().Add(time.Hour))
	}
	say(5, 5)
	go func() { feed.Run(ctx); close(ended) }()
	if version := take(t, got); version != 5 {
		t.Errorf("read version %d", version)
	}
	feed.Offer(tablefeed.News{Table: "table", After: 4, Version: 7, Rows: changed})
	if version := take(t, got); version != 7 {
		t.Errorf("news of version %d", version)
	}
	say(7, 9)
	// News that begin after what is known leave a gap: they are not applied.
	feed.Offer(tablefeed.News{Table: "table", After: 20, Version: 21, Rows: changed})
	if store.calls.Load() != 1 {
		t.Errorf("%d calls to the store", store.calls.Load())
	}
	store.version.Store(21)
	say(21, 21)
	if version := take(t, got); version != 21 {
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
func TestNodeThatIsRefusedHearsOfChangesFromOthers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := holding(5)
	got := make(seen, 8)
	board := New("m", "here", func() int { return 2 }, func(tablefeed.News, string) {})
	feed := tablefeed.New(store, "table", got, board, log)
	board.Add("table", feed)
	board.Take("a", "here", []Word{{Table: "table", Changed: 5, Confirmed: 5}}, time.Now().Add(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { feed.Run(ctx); close(ended) }()
	take(t, got)
	store.cut.Store(true)
	feed.Offer(tablefeed.News{Table: "table", After: 5, Version: 6, Rows: changed})
	if version := take(t, got); version != 6 {
		t.Errorf("news of version %d", version)
	}
	cancel()
	<-ended
}
