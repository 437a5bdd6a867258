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
	LatestConfirmation(table string, now time.Time, reads bool) (Confirmation, bool)
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
	patience   = 700 * time.Millisecond
	firstPause = 100 * time.Millisecond
	// firstShare is the part of the longest pause that is made after a first failure.
	firstShare = 4
	maxPause   = 800 * time.Millisecond // of a node that follows alone
	// slowCall is added to patience before a call is given up.
	slowCall = 1200 * time.Millisecond
	// lateAnswer is how long after its patience an answer may tell of this moment:
	// one that comes later has waited somewhere.
	lateAnswer = 100 * time.Millisecond
	// overtakenAfter is how much later than another node this one may have a change from the
	// store before it takes it from the other.
	overtakenAfter = 200 * time.Millisecond
	// newsDelay is how long a node waits for news of a change that it has heard of
	// before it asks the store.
	newsDelay = 60 * time.Millisecond
	// pauseLook is the time between two looks for other nodes' words while calls to the store
	// pause.
	pauseLook = 200 * time.Millisecond
	// shortest is the shortest wait for a newer word.
	shortest = 20 * time.Millisecond
	// changePause is left between a change and the next call: when a fleet of workers
	// starts, they write their entries one by one. A change of fullChange rows or more has
	// longestChangePause, since each is told to all nodes: two a second of a thousand rows
	// cost them less than ten of two hundred, and two seconds are allowed.
	changePause        = 50 * time.Millisecond
	longestChangePause = 500 * time.Millisecond
	fullChange         = 200
	// maxNews bounds the news that wait to be applied.
	maxNews = 64
	// olderEvery is the least time between two lines on answers that were not taken.
	olderEvery = time.Second
)

// Feed follows one table.
type Feed struct {
	store    Store
	table    string
	consumer Consumer
	others   Peers
	// copied holds the table for other nodes.
	copied Copy
	log    *logrus.Logger
	lost   bool
	pause  time.Duration
	// olderLogged is when an answer that was not taken was logged.
	olderLogged time.Time
	// callAfter is when the store may be called again after a call that failed.
	callAfter time.Time
	// rested is how long the feed has rested since its last call to the store.
	rested time.Duration
	// forgotten is the version after which the store has forgotten the changes, zero where
	// they can be asked for.
	forgotten Version
	// relying tells that the last word was another node's, and acting that this node
	// calls the store, for others too.
	relying, acting bool
	// behindSince is since when another node knows of a newer change, zero where none
	// does.
	behindSince time.Time
	news        chan News
	// unapplied are news that came during a call to the store.
	unapplied []News
	wake      chan struct{}

	mu sync.Mutex
	// changed is closed when the word changes, and replaced.
	changed chan struct{}
	word    Confirmation
	// own tells that the store itself gave the word to this node, which reads for others
	// too.
	own bool
	// source is the way by which the last rows came.
	source Source
}

// New returns a feed of a table. others may be nil.
func New(store Store, table string, consumer Consumer, others Peers, log *logrus.Logger) *Feed {
	return &Feed{
		store: store, table: table, consumer: consumer, others: others, log: log, lost: true,
		news: make(chan News, maxNews), wake: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// Word returns what is known of the table's version, and whether this node has it
// from the store itself. It is safe for concurrent use with Run.
func (f *Feed) Word() (word Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.word, f.own
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
		if known && f.relies(ctx) || f.pauses(ctx) {
			continue
		}
		var err error
		switch {
		case !known:
			err = f.begin(ctx)
		case f.forgotten > 0:
			err = f.readAgain(ctx)
		default:
			err = f.change(ctx)
		}
		switch {
		case err == nil:
			known = true
		case errors.Is(err, ErrHistoryGone):
			f.forgotten = f.word.Confirmed
			f.log.WithFields(logrus.Fields{"table": f.table, "version": f.word.Confirmed}).Warn("store forgot its history; reading the table again")
		default:
			f.failed(ctx, err)
		}
	}
}

func (f *Feed) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// set records a word; only Run's goroutine does.
func (f *Feed) set(word Confirmation, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.word, f.own = word, own
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

func (f *Feed) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, slowCall)
	defer cancel()
	begun := time.Now()
	rows, version, err := f.store.Read(callCtx, f.table)
	if err != nil {
		return err
	}
	if version < f.word.Confirmed {
		return olderError{Table: f.table, Version: version, Held: f.word.Confirmed}
	}
	f.reset(rows, Confirmation{Changed: version, Confirmed: version, At: begun}, f.acting, FromStore)
	f.forgotten = 0
	f.regained()
	return nil
}

func (f *Feed) change(ctx context.Context) error {
	begun := time.Now()
	after := f.word.Confirmed
	// The time between two confirmations stays the same: others wait for them.
	held := patience - f.rested
	f.rested = 0
	rows, version, err := f.call(ctx, after, held)
	if err != nil {
		return err
	}
	if version < after {
		return olderError{Table: f.table, Version: version, Held: after}
	}
	before := f.word.Changed
	word := Confirmation{Changed: before, Confirmed: version, At: earlier(time.Now(), begun.Add(patience+lateAnswer))}
	if len(rows) > 0 {
		word.Changed = version
	}
	if len(rows) > 0 {
		f.apply(rows, word, f.acting, FromStore)
	} else {
		f.set(word, f.acting)
	}
	f.regained()
	if f.others == nil || !f.acting {
		return nil
	}
	if len(rows) > 0 {
		// Nothing changed between before and after.
		f.others.BroadcastNews(News{Table: f.table, After: before, Version: version, Rows: rows})
	}
	f.others.BroadcastConfirmations()
	if len(rows) > 0 {
		f.rested = pauseAfter(len(rows))
		f.rest(ctx, f.rested)
	}
	return nil
}

// pauseAfter is what is left between a change of so many rows and the next call.
func pauseAfter(rows int) time.Duration {
	full := min(float64(rows)/fullChange, 1)
	return changePause + time.Duration(full*float64(longestChangePause-changePause))
}

// rest waits for a time, whatever wakes the feed.
func (f *Feed) rest(ctx context.Context, span time.Duration) {
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

func (f *Feed) regained() {
	f.pause = 0
	f.behindSince = time.Time{}
	if f.lost {
		f.lost = false
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.word.Confirmed}).Info("store regained")
	}
}

// failed logs the first failure of a row of them, and pauses longer after each.
func (f *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.logOlder(err)
	if !f.lost {
		f.lost = true
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.word.Confirmed, "cause": err.Error()}).Warn("store lost; going on with what is known")
	}
	longest := maxPause
	if f.others != nil {
		longest = f.others.MaxBackoff(f.table)
	}
	f.pause = min(max(2*f.pause, longest/firstShare), longest)
	f.callAfter = time.Now().Add(f.pause/2 + rand.N(f.pause))
}

// logOlder logs that an answer was not taken, at most once in olderEvery.
func (f *Feed) logOlder(err error) {
	var older olderError
	if !errors.As(err, &older) || time.Since(f.olderLogged) < olderEvery {
		return
	}
	f.olderLogged = time.Now()
	f.log.WithFields(logrus.Fields{"table": f.table, "version": older.Version, "held": older.Held, "age_ms": time.Since(f.word.At).Milliseconds()}).
		Warn("an answer of the store was not taken: it is older than what is held")
}

// pauses lets a moment of the pause after a failed call pass. It reports false where there is
// none. The pause puts off calls to the store only: a feed that slept through it would hear
// of no change that other nodes tell of.
func (f *Feed) pauses(ctx context.Context) bool {
	left := time.Until(f.callAfter)
	if left <= 0 {
		return false
	}
	f.await(ctx, min(left, pauseLook))
	return true
}
