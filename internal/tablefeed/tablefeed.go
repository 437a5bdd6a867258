// Package tablefeed keeps a copy of a table of the platform's store up to date. It reads the
// whole table, then its changes by long polling, and the whole table again if the store has
// discarded the changes since then. It never goes back to an older version of a table. If other
// nodes follow the same table, it takes the changes from them for as long as their
// confirmations are fresh.
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

// ErrNoCopy means that no other node is to be asked for a table, or that none has it.
var ErrNoCopy = eris.New("no other node provided a copy of the table")

// errOvertaken means that other nodes know of a change, but the store has not answered the call
// for it.
var errOvertaken = eris.New("other nodes know of a change that the store hasn't returned")

// ErrHistoryGone means that the store no longer has the changes since a version.
var ErrHistoryGone = eris.New("the store no longer has the changes since that version")

// olderError means that the store returned an older version of a table than this node holds.
type olderError struct {
	Table         string
	Version, Held Version
}

func (e olderError) Error() string {
	return fmt.Sprintf("the store returned version %d of table %s, older than the held version %d", e.Version, e.Table, e.Held)
}

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	// Gone means that the row was deleted.
	Gone bool
}

// Store is the interface to the platform's store.
type Store interface {
	// Read returns all rows of a table as of a single version.
	Read(ctx context.Context, table string) ([]Row, Version, error)
	// Changes waits up to patience for a change of a table after a version, and returns the
	// changed rows in order. It may return none.
	Changes(ctx context.Context, table string, after Version, patience time.Duration) ([]Row, Version, error)
}

// Consumer receives the contents of a table.
type Consumer interface {
	// Reset replaces all rows.
	Reset(rows []Row, version Version)
	// Apply applies changed rows.
	Apply(rows []Row, version Version)
}

// Reconciler is a Consumer that can tell by their content which of two states of a row is
// newer. A store that was restored from a backup returns old rows until they are written again.
type Reconciler interface {
	Consumer
	// IsHeldNewer reports whether a row held from before the restore is newer than the row that
	// the store returns now, which is Gone if it returns none.
	IsHeldNewer(held, given Row) bool
}

// Confirmation is what the store has confirmed of a table's version.
type Confirmation struct {
	// Changed is the version of the last change of the table; Confirmed is the newest version
	// up to which there is no later change.
	Changed, Confirmed Version
	// At is when the store confirmed that.
	At time.Time
}

// Source is where the last rows of a Feed came from.
type Source string

// Sources of rows: the store, a News broadcast, or a transfer from another node.
const (
	FromStore Source = "store"
	FromNews  Source = "news"
	FromNode  Source = "another node"
)

// News are the changes of a table between two versions, as one node broadcasts them to the
// others.
type News struct {
	Table          string
	After, Version Version
	Rows           []Row
}

// Peers are the other nodes that follow the same tables.
type Peers interface {
	// LatestConfirmation returns the newest fresh confirmation of a table by another node, and
	// false if there is none. If this node reads the table at the store (isReader), only nodes
	// that outrank it as readers are considered.
	LatestConfirmation(table string, now time.Time, isReader bool) (Confirmation, bool)
	// HasChangeAfter reports whether another node has a change of a table after a version.
	HasChangeAfter(table string, after Version, now time.Time) bool
	// TakeoverDelay is how long after the last confirmation this node waits for one from
	// another node before it calls the store itself, zero if it is the first in rank.
	TakeoverDelay(table string) time.Duration
	// MaxBackoff is the longest pause between calls to a failing store.
	MaxBackoff(table string) time.Duration
	// BroadcastConfirmations sends this node's own confirmations to the other nodes.
	BroadcastConfirmations()
	// BroadcastNews sends changes that this node read at the store to the other nodes.
	BroadcastNews(news News)
	// FetchTable returns a whole table from another node. It may wait for a node that is itself
	// about to get it. ErrNoCopy means that this node is to read it at the store.
	FetchTable(ctx context.Context, table string) (Transfer, error)
	// FetchChanges returns the changes of a table after a version, or the whole table, from
	// another node.
	FetchChanges(ctx context.Context, table string, after Version) (Transfer, error)
}

// Timing and sizes of a feed.
const (
	// longPollTime is how long the store holds a call open while nothing changes.
	longPollTime = 700 * time.Millisecond
	takeoverPoll = 100 * time.Millisecond
	// firstBackoffDivisor makes the backoff after the first failure a fourth of the longest
	// one.
	firstBackoffDivisor = 4
	maxSoloBackoff      = 800 * time.Millisecond // of a node that follows the table without peers
	// callGrace is how long after longPollTime a call for changes is abandoned. A call for the
	// whole table, which isn't held open, is abandoned after callGrace alone.
	callGrace = 1200 * time.Millisecond
	// maxAnswerDelay is how long after longPollTime an answer still counts as confirmed on
	// arrival. A later one was delayed on its way, so its confirmation is dated back to this
	// limit.
	maxAnswerDelay = 100 * time.Millisecond
	// overtakenDelay is how much later than another node this node may get a change from the
	// store before it takes the change from that node instead.
	overtakenDelay = 200 * time.Millisecond
	// newsDelay is how long a node that has heard of a change waits for its news before it asks
	// for the change.
	newsDelay = 60 * time.Millisecond
	// backoffPoll is the interval at which other nodes' confirmations are checked while this
	// node backs off from the store.
	backoffPoll = 200 * time.Millisecond
	// minWait is the shortest wait for a newer confirmation.
	minWait = 20 * time.Millisecond
	// minChangePause is the pause between a change and the next call. When a fleet of workers
	// starts, they write their entries one by one, and the pause lets several changes come at
	// once. A change of fullChangeRows or more is followed by maxChangePause, because each
	// change is sent to all nodes: two changes of a thousand rows per second cost them less
	// than ten of two hundred. Changes may take two seconds to reach all nodes.
	minChangePause = 50 * time.Millisecond
	maxChangePause = 500 * time.Millisecond
	fullChangeRows = 200
	// newsBuffer is the capacity for news that wait to be applied.
	newsBuffer = 64
	// olderLogInterval is the shortest time between two log lines on ignored answers.
	olderLogInterval = time.Second
)

// Feed follows one table. The fields above mu belong to the goroutine of Run, except for copy
// and the channels, which are safe for concurrent use.
type Feed struct {
	store    Store
	table    string
	consumer Consumer
	peers    Peers
	// copy serves the table to other nodes.
	copy      Copy
	log       *logrus.Logger
	storeLost bool
	backoff   time.Duration
	// olderLogged is when an ignored answer was last logged.
	olderLogged time.Time
	// retryAt is when the store may be called again after a failed call.
	retryAt time.Time
	// pausedFor is how long the feed has paused since its last call to the store.
	pausedFor time.Duration
	// historyGoneAfter is the version whose later changes the store has discarded, zero if it
	// still has them.
	historyGoneAfter Version
	// followsPeer means that the last confirmation was another node's. isReader means that this
	// node reads the table at the store, for the others too. Both are false at the start.
	followsPeer, isReader bool
	// behindSince is since when another node has known of a change that this node lacks, zero
	// if there is none.
	behindSince time.Time
	news        chan News
	// pendingNews are news that arrived during a call to the store.
	pendingNews []News
	wake        chan struct{}

	mu sync.Mutex
	// changed is closed and replaced when the confirmation changes.
	changed      chan struct{}
	confirmation Confirmation
	// own means that the store gave the confirmation to this node as a reader.
	own bool
	// source is where the last rows came from.
	source Source
}

// New returns a feed of a table. peers may be nil.
func New(store Store, table string, consumer Consumer, peers Peers, log *logrus.Logger) *Feed {
	return &Feed{
		store: store, table: table, consumer: consumer, peers: peers, log: log, storeLost: true,
		news: make(chan News, newsBuffer), wake: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// Confirmation returns the latest confirmation of the table, and whether this node got it from
// the store itself as a reader. It is safe for concurrent use with Run.
func (f *Feed) Confirmation() (confirmation Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation, f.own
}

// Source returns where the last rows came from. It is safe for concurrent use with Run.
func (f *Feed) Source() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// Offer passes changes that another node read at the store to the feed. It never blocks.
func (f *Feed) Offer(news News) {
	select {
	case f.news <- news:
		f.Wake()
	default:
	}
}

// Wake tells the feed that another node knows of a change. It never blocks.
func (f *Feed) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Woken returns a channel that receives a value when Wake is called. It is for callers that
// wait before they call Run.
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
			// The store has discarded the changes since the held version. The table is read
			// again unless another node has the changes.
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

// set records a confirmation. Only Run's goroutine calls it.
func (f *Feed) set(confirmation Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation, f.own = confirmation, own
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the confirmation next changes. It is safe for
// concurrent use with Run.
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
	// Subtracting the pause keeps the interval between confirmations constant, on which other
	// nodes rely.
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
		// Nothing changed between lastChange and after, so the news may start at lastChange.
		f.peers.BroadcastNews(News{Table: f.table, After: lastChange, Version: version, Rows: rows})
	}
	f.peers.BroadcastConfirmations()
	if len(rows) > 0 {
		f.pausedFor = changePauseFor(len(rows))
		f.sleep(ctx, f.pausedFor)
	}
	return nil
}

// changePauseFor returns the pause between a change of a number of rows and the next call.
func changePauseFor(rows int) time.Duration {
	full := min(float64(rows)/fullChangeRows, 1)
	return minChangePause + time.Duration(full*float64(maxChangePause-minChangePause))
}

// sleep waits for a time even if the feed is woken.
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

// storeRegained records that a call to the store succeeded. It logs "store regained" after failed
// calls and after the first successful call since the start, once for each table.
func (f *Feed) storeRegained() {
	f.backoff = 0
	f.behindSince = time.Time{}
	if f.storeLost {
		f.storeLost = false
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.confirmation.Confirmed}).Info("store regained")
	}
}

// callFailed logs the first of consecutive failures, and increases the backoff with each.
// "store lost" means that calls fail; the held version is used on.
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

// logOlder logs that an older answer was ignored, at most once per olderLogInterval.
func (f *Feed) logOlder(err error) {
	var older olderError
	if !errors.As(err, &older) || time.Since(f.olderLogged) < olderLogInterval {
		return
	}
	f.olderLogged = time.Now()
	f.log.WithFields(logrus.Fields{"table": f.table, "version": older.Version, "held": older.Held, "age_ms": time.Since(f.confirmation.At).Milliseconds()}).
		Warn("ignored an answer of the store: it is older than the held version")
}

// waitOutBackoff waits for part of the backoff after a failed call. It returns false if there
// is none left. Only calls to the store are delayed: a feed that slept through the backoff
// would miss changes that other nodes announce meanwhile.
func (f *Feed) waitOutBackoff(ctx context.Context) bool {
	left := time.Until(f.retryAt)
	if left <= 0 {
		return false
	}
	f.waitOrWake(ctx, min(left, backoffPoll))
	return true
}
