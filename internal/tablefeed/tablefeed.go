// Package tablefeed follows tables of the platform's store: it reads a table
// whole, then its changes, and starts again where the store has forgotten them. It
// never goes back to an older version of a table. Where other nodes follow the same
// table, it takes the changes from them while their word is fresh.
package tablefeed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ErrNoCopy tells that no other node is to be asked for a table, or none has it.
var ErrNoCopy = eris.New("no other node gives a copy of the table")

// errOvertaken tells that other nodes know of a change with which the store doesn't answer.
var errOvertaken = eris.New("other nodes know of a change that the store hasn't answered with")

// ErrHistoryGone tells that the changes after a version are forgotten.
var ErrHistoryGone = eris.New("the store has forgotten the changes since that version")

// olderError tells that the store gave an older version of a table than is held.
type olderError struct {
	Table         string
	Version, Held Version
}

func (e olderError) Error() string {
	return fmt.Sprintf("the store gave version %d of table %s, older than %d, which is held", e.Version, e.Table, e.Held)
}

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	// Gone tells that the row was removed.
	Gone bool
}

// Store is the part of the platform's store that a feed needs.
type Store interface {
	// Read returns all rows of a table as of one version.
	Read(ctx context.Context, table string) ([]Row, Version, error)
	// Changes waits until a table has changed after a version, no longer than
	// patience, and returns the changed rows in order. It may return none.
	Changes(ctx context.Context, table string, after Version, patience time.Duration) ([]Row, Version, error)
}

// Consumer takes what a table holds.
type Consumer interface {
	// Reset gives all rows.
	Reset(rows []Row, version Version)
	// Apply gives changed rows.
	Apply(rows []Row, version Version)
}

// Reconciler is a Consumer that can tell which of two states of a row is the newer one by their
// content. A store that has come back from a copy gives old rows until they are written again.
type Reconciler interface {
	Consumer
	// IsHeldNewer reports whether a row that was held before the store came back is newer than
	// the one that it gives now, which is Gone where it gives none.
	IsHeldNewer(held, given Row) bool
}

// Confirmation is what is known of a table's version.
type Confirmation struct {
	// Changed is the version of the last change of the table, and Confirmed the
	// newest one up to which there is no other.
	Changed, Confirmed Version
	// At is when the store confirmed that.
	At time.Time
}

// Source is the way by which rows came.
type Source string

// The ways.
const (
	FromStore Source = "store"
	FromNews  Source = "news"
	FromNode  Source = "another node"
)

// News are the changes of a table between two versions.
type News struct {
	Table          string
	After, Version Version
	Rows           []Row
}

// Peers are the other nodes that follow the same tables.
type Peers interface {
	// LatestConfirmation returns the newest fresh word of another node on a table, false where there is
	// none. For a node that reads at the store, it is one of a node that is to do so rather.
	LatestConfirmation(table string, now time.Time, isReader bool) (Confirmation, bool)
	// HasChangeAfter reports whether another node has a change of a table after a version.
	HasChangeAfter(table string, after Version, now time.Time) bool
	// TakeoverDelay is how long after the last confirmation this node waits for another's
	// word before it calls the store itself, zero where it is the one to do so.
	TakeoverDelay(table string) time.Duration
	// MaxBackoff is the longest pause between calls to a store that fails.
	MaxBackoff(table string) time.Duration
	// BroadcastConfirmations tells other nodes that the store has confirmed a word of this one.
	BroadcastConfirmations()
	// BroadcastNews tells other nodes of changes that this one got from the store.
	BroadcastNews(news News)
	// FetchTable returns a whole table as another node holds it. It may wait for a node that is
	// itself about to get it. ErrNoCopy tells that this node is to read it at the store.
	FetchTable(ctx context.Context, table string) (Transfer, error)
	// FetchChanges returns the changes of a table after a version, or the whole table, as another
	// node holds it.
	FetchChanges(ctx context.Context, table string, after Version) (Transfer, error)
}

// The figures of a feed.
const (
	// patience is how long the store holds a call while nothing changes.
	longPollTime = 700 * time.Millisecond
	takeoverPoll = 100 * time.Millisecond
	// firstShare is the part of the longest pause that is made after a first failure.
	firstBackoffDivisor = 4
	maxSoloBackoff      = 800 * time.Millisecond // of a node that follows alone
	// slowCall is added to patience before a call is given up.
	callGrace = 1200 * time.Millisecond
	// lateAnswer is how long after its patience an answer may tell of this moment:
	// one that comes later has waited somewhere.
	maxAnswerDelay = 100 * time.Millisecond
	// overtakenAfter is how much later than another node this one may have a change from the
	// store before it takes it from the other.
	overtakenDelay = 200 * time.Millisecond
	// newsDelay is how long a node waits for news of a change that it has heard of
	// before it asks the store.
	newsDelay = 60 * time.Millisecond
	// pauseLook is the time between two looks for other nodes' words while calls to the store
	// pause.
	backoffPoll = 200 * time.Millisecond
	// shortest is the shortest wait for a newer word.
	minWait = 20 * time.Millisecond
	// changePause is left between a change and the next call: when a fleet of workers
	// starts, they write their entries one by one. A change of fullChange rows or more has
	// longestChangePause, since each is told to all nodes: two a second of a thousand rows
	// cost them less than ten of two hundred, and two seconds are allowed.
	minChangePause = 50 * time.Millisecond
	maxChangePause = 500 * time.Millisecond
	fullChangeRows = 200
	// maxNews bounds the news that wait to be applied.
	newsBuffer = 64
	// olderEvery is the least time between two lines on answers that were not taken.
	olderLogInterval = time.Second
)

// Feed follows one table.
type Feed struct {
	store    Store
	table    string
	consumer Consumer
	peers    Peers
	// copied holds the table for other nodes.
	copy      Copy
	log       *logrus.Logger
	storeLost bool
	backoff   time.Duration
	// olderLogged is when an answer that was not taken was logged.
	olderLogged time.Time
	// callAfter is when the store may be called again after a call that failed.
	retryAt time.Time
	// rested is how long the feed has rested since its last call to the store.
	pausedFor time.Duration
	// forgotten is the version after which the store has forgotten the changes, zero where
	// they can be asked for.
	historyGoneAfter Version
	// relying tells that the last word was another node's, and acting that this node
	// calls the store, for others too.
	followsPeer, isReader bool
	// behindSince is since when another node knows of a newer change, zero where none
	// does.
	behindSince time.Time
	news        chan News
	// unapplied are news that came during a call to the store.
	pendingNews []News
	wake        chan struct{}

	mu sync.Mutex
	// changed is closed when the word changes, and replaced.
	changed      chan struct{}
	confirmation Confirmation
	// own tells that the store itself gave the word to this node, which reads for others
	// too.
	own bool
	// source is the way by which the last rows came.
	source Source
}

// New returns a feed of a table. others may be nil.
func New(store Store, table string, consumer Consumer, peers Peers, log *logrus.Logger) *Feed {
	return &Feed{
		store: store, table: table, consumer: consumer, peers: peers, log: log, storeLost: true,
		news: make(chan News, newsBuffer), wake: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// Word returns what is known of the table's version, and whether this node has it
// from the store itself. It is safe for concurrent use with Run.
func (f *Feed) Word() (confirmation Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation, f.own
}

// Source returns the way by which the last rows came. It is safe for concurrent use with Run.
func (f *Feed) Source() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// Offer gives changes that another node got from the store. It never blocks.
func (f *Feed) Offer(news News) {
	select {
	case f.news <- news:
		f.Wake()
	default:
	}
}

// Wake tells that another node knows of a change. It never blocks.
func (f *Feed) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Woken gives a token when another node knows of a change. It is for one who waits to call
// Run.
func (f *Feed) Woken() <-chan struct{} { return f.wake }

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	known := false
	for ctx.Err() == nil {
		if known && f.followPeers(ctx) || f.waitOutBackoff(ctx) {
			continue
		}
		var err error
		switch {
		case !known:
			err = f.readFirst(ctx)
		case f.historyGoneAfter > 0:
			err = f.readAfterGap(ctx)
		default:
			err = f.pollChanges(ctx)
		}
		switch {
		case err == nil:
			known = true
		case errors.Is(err, ErrHistoryGone):
			f.historyGoneAfter = f.confirmation.Confirmed
			f.log.WithFields(logrus.Fields{"table": f.table, "version": f.confirmation.Confirmed}).Warn("store forgot its history; reading the table again")
		default:
			f.callFailed(ctx, err)
		}
	}
}

func (f *Feed) waitOrWake(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// set records a word; only Run's goroutine does.
func (f *Feed) set(confirmation Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation, f.own = confirmation, own
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed is closed when more is known of the table than now. It is safe for concurrent use
// with Run.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Feed) readStore(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callGrace)
	defer cancel()
	start := time.Now()
	rows, version, err := f.store.Read(callCtx, f.table)
	if err != nil {
		return err
	}
	if version < f.confirmation.Confirmed {
		return olderError{Table: f.table, Version: version, Held: f.confirmation.Confirmed}
	}
	f.reset(rows, Confirmation{Changed: version, Confirmed: version, At: start}, f.isReader, FromStore)
	f.historyGoneAfter = 0
	f.storeRegained()
	return nil
}

func (f *Feed) pollChanges(ctx context.Context) error {
	start := time.Now()
	after := f.confirmation.Confirmed
	// The time between two confirmations stays the same: others wait for them.
	hold := longPollTime - f.pausedFor
	f.pausedFor = 0
	rows, version, err := f.callStore(ctx, after, hold)
	if err != nil {
		return err
	}
	if version < after {
		return olderError{Table: f.table, Version: version, Held: after}
	}
	lastChange := f.confirmation.Changed
	confirmation := Confirmation{Changed: lastChange, Confirmed: version, At: earlier(time.Now(), start.Add(longPollTime+maxAnswerDelay))}
	if len(rows) > 0 {
		confirmation.Changed = version
	}
	if len(rows) > 0 {
		f.apply(rows, confirmation, f.isReader, FromStore)
	} else {
		f.set(confirmation, f.isReader)
	}
	f.storeRegained()
	if f.peers == nil || !f.isReader {
		return nil
	}
	if len(rows) > 0 {
		// Nothing changed between before and after.
		f.peers.BroadcastNews(News{Table: f.table, After: lastChange, Version: version, Rows: rows})
	}
	f.peers.BroadcastConfirmations()
	if len(rows) > 0 {
		f.pausedFor = changePauseFor(len(rows))
		f.sleep(ctx, f.pausedFor)
	}
	return nil
}

// pauseAfter is what is left between a change of so many rows and the next call.
func changePauseFor(rows int) time.Duration {
	full := min(float64(rows)/fullChangeRows, 1)
	return minChangePause + time.Duration(full*float64(maxChangePause-minChangePause))
}

// rest waits for a time, whatever wakes the feed.
func (f *Feed) sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

func (f *Feed) storeRegained() {
	f.backoff = 0
	f.behindSince = time.Time{}
	if f.storeLost {
		f.storeLost = false
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.confirmation.Confirmed}).Info("store regained")
	}
}

// failed logs the first failure of a row of them, and pauses longer after each.
func (f *Feed) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.logOlder(err)
	if !f.storeLost {
		f.storeLost = true
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.confirmation.Confirmed, "cause": err.Error()}).Warn("store lost; going on with what is known")
	}
	maxBackoff := maxSoloBackoff
	if f.peers != nil {
		maxBackoff = f.peers.MaxBackoff(f.table)
	}
	f.backoff = min(max(2*f.backoff, maxBackoff/firstBackoffDivisor), maxBackoff)
	f.retryAt = time.Now().Add(f.backoff/2 + rand.N(f.backoff))
}

// logOlder logs that an answer was not taken, at most once in olderEvery.
func (f *Feed) logOlder(err error) {
	var older olderError
	if !errors.As(err, &older) || time.Since(f.olderLogged) < olderLogInterval {
		return
	}
	f.olderLogged = time.Now()
	f.log.WithFields(logrus.Fields{"table": f.table, "version": older.Version, "held": older.Held, "age_ms": time.Since(f.confirmation.At).Milliseconds()}).
		Warn("an answer of the store was not taken: it is older than what is held")
}

// pauses lets a moment of the pause after a failed call pass. It reports false where there is
// none. The pause puts off calls to the store only: a feed that slept through it would hear
// of no change that other nodes tell of.
func (f *Feed) waitOutBackoff(ctx context.Context) bool {
	left := time.Until(f.retryAt)
	if left <= 0 {
		return false
	}
	f.waitOrWake(ctx, min(left, backoffPoll))
	return true
}
