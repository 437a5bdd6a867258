package tablefeed

import (
	"context"
	"time"
)

// changes are what the store answers to a call for them.
type changesAnswer struct {
	rows    []Row
	version Version
	err     error
}

// call asks the store for the changes after a version. It is given up where other nodes tell
// of one meanwhile and the store doesn't: its way to this node may be slow or silent.
func (f *Feed) callStore(ctx context.Context, after Version, hold time.Duration) ([]Row, Version, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTime+callGrace)
	defer cancel()
	answered := make(chan changesAnswer, 1)
	go func() {
		rows, version, err := f.store.Changes(ctx, f.table, after, hold)
		answered <- changesAnswer{rows, version, err}
	}()
	var overtaken <-chan time.Time
	for {
		// Before the first wait too: what was known before the call wakes nobody again.
		if overtaken == nil && f.isOvertaken(after) {
			overtaken = time.After(overtakenDelay)
		}
		select {
		case got := <-answered:
			return got.rows, got.version, got.err
		case <-f.wake:
		case <-overtaken:
			return nil, 0, errOvertaken
		}
	}
}

// isOvertaken reports whether another node knows of a change after a version.
func (f *Feed) isOvertaken(after Version) bool {
	if f.peers == nil {
		return false
	}
	f.collectNews()
	return len(f.pendingNews) > 0 || f.peers.HasChangeAfter(f.table, after, time.Now())
}
