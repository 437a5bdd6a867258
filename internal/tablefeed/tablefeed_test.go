package tablefeed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// scriptedCall is a call that a scripted store expects, and its answer.
type scriptedCall struct {
	call    string
	rows    []Row
	version Version
	err     error
}

// scriptedStore answers by a script, and stops the feed at its end.
type scriptedStore struct {
	t        *testing.T
	steps    []scriptedCall
	cancel   context.CancelFunc
	received []string
}

func (s *scriptedStore) next(call string) ([]Row, Version, error) {
	if len(s.steps) == 0 {
		s.cancel()
		return nil, 0, context.Canceled
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.call != call {
		s.t.Errorf("the feed made the call %q, want %q", call, next.call)
	}
	return next.rows, next.version, next.err
}

func (s *scriptedStore) Read(context.Context, string) ([]Row, Version, error) { return s.next("read") }

func (s *scriptedStore) Changes(_ context.Context, _ string, after Version, _ time.Duration) ([]Row, Version, error) {
	return s.next(fmt.Sprintf("changes after %d", after))
}

func (s *scriptedStore) Reset(rows []Row, version Version) {
	s.received = append(s.received, fmt.Sprintf("reset to %d with %d", version, len(rows)))
}

func (s *scriptedStore) Apply(rows []Row, version Version) {
	s.received = append(s.received, fmt.Sprintf("apply %d with %d", version, len(rows)))
}

func play(t *testing.T, steps ...scriptedCall) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &scriptedStore{t: t, steps: steps, cancel: cancel}
	New(s, "table", s, nil, log).Run(ctx)
	return s.received
}

func TestFollowsTable(t *testing.T) {
	rows := []Row{{Key: "k"}}
	got := play(t,
		scriptedCall{call: "read", err: errors.New("down")},
		scriptedCall{call: "read", rows: rows, version: 5},
		scriptedCall{call: "changes after 5", version: 6},
		scriptedCall{call: "changes after 6", err: errors.New("cut")},
		scriptedCall{call: "changes after 6", rows: rows, version: 8},
		scriptedCall{call: "changes after 8", err: ErrHistoryGone},
		scriptedCall{call: "read", version: 9},
		scriptedCall{call: "changes after 9", rows: rows, version: 10},
	)
	want := []string{"reset to 5 with 1", "apply 8 with 1", "reset to 9 with 0", "apply 10 with 1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestNeverReturnsToAnOlderVersion: a stale read after the store has discarded its history must
// be repeated.
func TestNeverReturnsToAnOlderVersion(t *testing.T) {
	got := play(t,
		scriptedCall{call: "read", version: 5},
		scriptedCall{call: "changes after 5", err: ErrHistoryGone},
		scriptedCall{call: "read", version: 4},
		scriptedCall{call: "read", version: 5},
		scriptedCall{call: "changes after 5", version: 3},
		scriptedCall{call: "changes after 5", version: 6},
	)
	want := []string{"reset to 5 with 0", "reset to 5 with 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// silentStore doesn't answer, like a store whose answer was lost on a connection.
type silentStore struct{ timeouts chan time.Duration }

func (s *silentStore) Read(context.Context, string) ([]Row, Version, error) { return nil, 1, nil }

func (s *silentStore) Changes(ctx context.Context, _ string, _ Version, _ time.Duration) ([]Row, Version, error) {
	deadline, _ := ctx.Deadline()
	s.timeouts <- time.Until(deadline)
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestUnansweredCallTimesOutSoon: when the store returns after seconds without answers, a
// configuration must be in force within seconds. A call with a timeout of eight seconds whose
// answer was lost delayed it.
func TestUnansweredCallTimesOutSoon(t *testing.T) {
	const longest = 2 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &silentStore{timeouts: make(chan time.Duration, 1)}
	ended := make(chan struct{})
	go func() { New(store, "table", &scriptedStore{}, nil, log).Run(ctx); close(ended) }()
	if timeout := <-store.timeouts; timeout > longest {
		t.Errorf("timeout %v of a call for changes", timeout)
	}
	cancel()
	<-ended
}

// holdRecorder records how long the store is asked to hold each call for changes. It answers
// the first one with a large change.
type holdRecorder struct {
	holds  []time.Duration
	cancel context.CancelFunc
}

func (h *holdRecorder) Read(context.Context, string) ([]Row, Version, error) { return nil, 1, nil }

func (h *holdRecorder) Changes(_ context.Context, _ string, after Version, span time.Duration) ([]Row, Version, error) {
	h.holds = append(h.holds, span)
	switch len(h.holds) {
	case 1:
		return make([]Row, 2*fullChangeRows), after + 1, nil
	case 3:
		h.cancel()
	}
	return nil, after + 1, nil
}

// readerPeers are peers for which this node is the one that calls the store.
type readerPeers struct{}

func (readerPeers) LatestConfirmation(string, time.Time, bool) (Confirmation, bool) {
	return Confirmation{}, false
}
func (readerPeers) HasChangeAfter(string, Version, time.Time) bool { return false }
func (readerPeers) TakeoverDelay(string) time.Duration             { return 0 }
func (readerPeers) MaxBackoff(string) time.Duration                { return maxSoloBackoff }
func (readerPeers) BroadcastConfirmations()                        {}
func (readerPeers) BroadcastNews(News)                             {}
func (readerPeers) FetchTable(context.Context, string) (Transfer, error) {
	return Transfer{}, ErrNoCopy
}
func (readerPeers) FetchChanges(context.Context, string, Version) (Transfer, error) {
	return Transfer{}, ErrNoCopy
}

// TestConfirmationIntervalStaysAfterLargeChange: other nodes wait for the next confirmation.
// They would take over from this node if the pause after a large change came on top of the long
// poll.
func TestConfirmationIntervalStaysAfterLargeChange(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &holdRecorder{cancel: cancel}
	New(store, "table", &scriptedStore{}, readerPeers{}, log).Run(ctx)
	if want := []time.Duration{longPollTime, longPollTime - maxChangePause, longPollTime}; !slices.Equal(store.holds[:3], want) {
		t.Errorf("calls are held for %v, want %v", store.holds, want)
	}
}

// copyPeers are peers of which one holds the table at a version.
type copyPeers struct {
	readerPeers
	version Version
}

func (c copyPeers) FetchTable(context.Context, string) (Transfer, error) {
	return Transfer{Whole: true, Confirmation: Confirmation{Changed: c.version, Confirmed: c.version, At: time.Now()}}, nil
}

// TestOldCopyDoesNotReplaceMissingHistory: a copy of the version for which the store has
// discarded the changes, or of an older one, doesn't help, because the next call would fail in
// the same way.
func TestOldCopyDoesNotReplaceMissingHistory(t *testing.T) {
	for version, want := range map[Version][]string{
		5: {"reset to 5 with 0", "reset to 9 with 1"},
		7: {"reset to 7 with 0", "reset to 9 with 1"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &scriptedStore{t: t, cancel: cancel, steps: []scriptedCall{
			{call: fmt.Sprintf("changes after %d", version), err: ErrHistoryGone},
			{call: "read", rows: []Row{{Key: "k"}}, version: 9},
		}}
		New(s, "table", s, copyPeers{version: version}, log).Run(ctx)
		if diff := cmp.Diff(want, s.received); diff != "" {
			t.Errorf("a copy of version %d: %s", version, diff)
		}
	}
}

// refusingStore answers the first read only, and refuses all other calls.
type refusingStore struct{ refused chan struct{} }

func (r *refusingStore) Read(context.Context, string) ([]Row, Version, error) { return nil, 1, nil }

func (r *refusingStore) Changes(context.Context, string, Version, time.Duration) ([]Row, Version, error) {
	select {
	case r.refused <- struct{}{}:
	default:
	}
	return nil, 0, errors.New("turned away")
}

// changePeers are peers of which one has changes from some time on; the backoff after failed
// calls is long.
type changePeers struct {
	readerPeers
	started chan struct{}
}

func (f *changePeers) MaxBackoff(string) time.Duration { return time.Hour }

func (f *changePeers) LatestConfirmation(_ string, now time.Time, _ bool) (Confirmation, bool) {
	select {
	case <-f.started:
		return Confirmation{Changed: 7, Confirmed: 7, At: now}, true
	default:
		return Confirmation{}, false
	}
}

func (f *changePeers) HasChangeAfter(table string, after Version, now time.Time) bool {
	confirmation, found := f.LatestConfirmation(table, now, false)
	return found && confirmation.Changed > after
}

func (f *changePeers) FetchChanges(context.Context, string, Version) (Transfer, error) {
	return Transfer{Rows: []Row{{Key: "k"}}, Confirmation: Confirmation{Changed: 7, Confirmed: 7, At: time.Now()}}, nil
}

// applyRecorder reports when changes are applied.
type applyRecorder struct{ done chan Version }

func (applyRecorder) Reset([]Row, Version) {}

func (a applyRecorder) Apply(_ []Row, version Version) { a.done <- version }

// expect waits until changes are applied, and checks their version.
func (a applyRecorder) expect(t *testing.T, want Version) {
	t.Helper()
	select {
	case version := <-a.done:
		if version != want {
			t.Errorf("version %d was applied", version)
		}
	case <-time.After(20 * time.Second):
		t.Error("no changes were applied")
	}
}

// TestRefusedNodeFollowsOthers during its backoff from the store, even if no news reaches it:
// in a large fleet the backoff is a minute, while a configuration must be in force within
// seconds.
func TestRefusedNodeFollowsOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, fleet := &refusingStore{make(chan struct{}, 1)}, &changePeers{started: make(chan struct{})}
	consumer := applyRecorder{make(chan Version)}
	go New(store, "table", consumer, fleet, log).Run(ctx)
	<-store.refused
	close(fleet.started)
	consumer.expect(t, 7)
}

// confirmingPeers are peers of which one has a confirmation of a given age; this node's
// takeover delay is a second.
type confirmingPeers struct {
	readerPeers
	age time.Duration
}

func (confirmingPeers) TakeoverDelay(string) time.Duration { return time.Second }

func (f confirmingPeers) LatestConfirmation(_ string, now time.Time, _ bool) (Confirmation, bool) {
	return Confirmation{Changed: 1, Confirmed: 1, At: now.Add(-f.age)}, true
}

// TestNodeReadsAtStoreWhenConfirmationsAreOld, and not before.
func TestNodeReadsAtStoreWhenConfirmationsAreOld(t *testing.T) {
	for age, want := range map[time.Duration]bool{0: false, time.Second: true} {
		ctx, cancel := context.WithTimeout(context.Background(), 3*takeoverPoll+time.Second)
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &silentStore{timeouts: make(chan time.Duration, 10)}
		feed := New(store, "table", &scriptedStore{}, confirmingPeers{age: age}, log)
		ended := make(chan struct{})
		go func() { feed.Run(ctx); close(ended) }()
		if want {
			<-store.timeouts
			cancel()
		}
		<-ended
		cancel()
		if len(store.timeouts) > 0 && !want {
			t.Error("the store was called although another node's confirmation is fresh")
		}
	}
}

// muteStore answers the first read only, and reports why calls for changes end.
type muteStore struct {
	called chan struct{}
	ended  chan error
}

func (m *muteStore) Read(context.Context, string) ([]Row, Version, error) { return nil, 1, nil }

func (m *muteStore) Changes(ctx context.Context, _ string, _ Version, _ time.Duration) ([]Row, Version, error) {
	m.called <- struct{}{}
	<-ctx.Done()
	m.ended <- ctx.Err()
	return nil, 0, ctx.Err()
}

// newMuteFeed returns a feed of a muteStore, with peers of which one has changes from some time
// on.
func newMuteFeed() (*muteStore, *changePeers, applyRecorder, *Feed) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, fleet := &muteStore{make(chan struct{}, 1), make(chan error, 1)}, &changePeers{started: make(chan struct{})}
	consumer := applyRecorder{make(chan Version, 1)}
	return store, fleet, consumer, New(store, "table", consumer, fleet, log)
}

// TestCallThatTheStoreDoesNotAnswerHidesNoChange: a call that hangs must not delay a change
// that another node announces.
func TestCallThatTheStoreDoesNotAnswerHidesNoChange(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, fleet, consumer, feed := newMuteFeed()
	go feed.Run(ctx)
	<-store.called
	close(fleet.started)
	feed.Wake()
	if err := <-store.ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want it canceled", err)
	}
	if version := <-consumer.done; version != 7 {
		t.Errorf("version %d was applied", version)
	}
}

func TestCallHidesNoChangeThatWasKnownBeforeIt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, fleet, _, feed := newMuteFeed()
	close(fleet.started)
	go feed.Run(ctx)
	<-store.called
	if err := <-store.ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want it canceled", err)
	}
}

// startPeers are peers from which a starting node gets version 5, and then waits for a newer
// copy in vain.
type startPeers struct {
	readerPeers
	fetched bool
}

func (s *startPeers) FetchTable(ctx context.Context, _ string) (Transfer, error) {
	if s.fetched {
		<-ctx.Done()
		return Transfer{}, ErrNoCopy
	}
	s.fetched = true
	return Transfer{Whole: true, Confirmation: Confirmation{Changed: 5, Confirmed: 5, At: time.Now()}}, nil
}

func TestForgottenHistoryDoesNotMakeANodeWaitLikeOneThatStarts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &scriptedStore{t: t, cancel: cancel, steps: []scriptedCall{
		{call: "changes after 5", err: ErrHistoryGone},
		{call: "read", rows: []Row{{Key: "k"}}, version: 9},
	}}
	New(s, "table", s, &startPeers{}, log).Run(ctx)
	if diff := cmp.Diff([]string{"reset to 5 with 0", "reset to 9 with 1"}, s.received); diff != "" {
		t.Error(diff)
	}
}

// forgetfulStore answers the first read only, and has discarded all changes.
type forgetfulStore struct {
	refusingStore
	read bool
}

func (*forgetfulStore) Changes(context.Context, string, Version, time.Duration) ([]Row, Version, error) {
	return nil, 0, ErrHistoryGone
}

func (r *forgetfulStore) Read(context.Context, string) ([]Row, Version, error) {
	if r.read {
		select {
		case r.refused <- struct{}{}:
		default:
		}
		return nil, 0, errors.New("turned away")
	}
	r.read = true
	return nil, 1, nil
}

// TestNodeWithoutHistoryFollowsOthers while the store refuses to let it read the table again.
func TestNodeWithoutHistoryFollowsOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, fleet := &forgetfulStore{}, &changePeers{started: make(chan struct{})}
	store.refused = make(chan struct{}, 1)
	consumer := applyRecorder{make(chan Version)}
	go New(store, "table", consumer, fleet, log).Run(ctx)
	<-store.refused
	close(fleet.started)
	consumer.expect(t, 7)
}
