// Package tablefeed follows tables of the platform's store: it reads a table
// whole, then its changes, and starts again where the store has forgotten them. It
// never goes back to an older version of a table.
package tablefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Version orders the transactions of a store.
type Version uint64

// ErrHistoryGone tells that the changes after a version are forgotten.
var ErrHistoryGone = eris.New("the store has forgotten the changes since that version")

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

// The figures of a feed.
const (
	patience   = 8 * time.Second
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// slowCall is added to patience before a call is given up.
	slowCall = 1500 * time.Millisecond
)

// Feed follows one table.
type Feed struct {
	store    Store
	table    string
	consumer Consumer
	log      *logrus.Logger
	version  Version
	lost     bool
	pause    time.Duration
	// confirmed holds what State tells.
	confirmed atomic.Pointer[State]
}

// State tells what a feed has, and since when the store has not confirmed it.
type State struct {
	Version Version
	At      time.Time
}

// State returns the zero state before the first answer. It is safe for concurrent
// use with Run.
func (f *Feed) State() State {
	if state := f.confirmed.Load(); state != nil {
		return *state
	}
	return State{}
}

// New returns a feed of a table.
func New(store Store, table string, consumer Consumer, log *logrus.Logger) *Feed {
	return &Feed{store: store, table: table, consumer: consumer, log: log, lost: true}
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	known := false
	for ctx.Err() == nil {
		var err error
		if known {
			err = f.change(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case err == nil:
			known = true
			f.regained()
		case errors.Is(err, ErrHistoryGone):
			known = false
			f.log.WithFields(logrus.Fields{"table": f.table, "version": f.version}).Warn("store forgot its history; reading the table again")
		default:
			f.failed(ctx, err)
		}
	}
}

func (f *Feed) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, slowCall)
	defer cancel()
	rows, version, err := f.store.Read(callCtx, f.table)
	if err != nil {
		return err
	}
	if version < f.version {
		return eris.Errorf("the store answered version %d of table %s, older than %d", version, f.table, f.version)
	}
	f.version = version
	f.consumer.Reset(rows, version)
	return nil
}

func (f *Feed) change(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, patience+slowCall)
	defer cancel()
	rows, version, err := f.store.Changes(callCtx, f.table, f.version, patience)
	if err != nil {
		return err
	}
	if version < f.version {
		return eris.Errorf("the feed of table %s went back from version %d to %d", f.table, f.version, version)
	}
	f.version = version
	if len(rows) > 0 {
		f.consumer.Apply(rows, version)
	}
	return nil
}

func (f *Feed) regained() {
	f.pause = 0
	f.confirmed.Store(&State{Version: f.version, At: time.Now()})
	if f.lost {
		f.lost = false
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.version}).Info("store regained")
	}
}

// failed logs the first failure of a row of them, and pauses longer after each.
func (f *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost {
		f.lost = true
		f.log.WithFields(logrus.Fields{"table": f.table, "version": f.version, "cause": err.Error()}).Warn("store lost; going on with what is known")
	}
	f.pause = min(max(2*f.pause, firstPause), maxPause)
	timer := time.NewTimer(f.pause/2 + rand.N(f.pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
