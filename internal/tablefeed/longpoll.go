package tablefeed

import (
	"context"
	"time"
)

// changesAnswer is the store's answer to a call for changes.
type changesAnswer struct {
	rows    []Row
	version Version
	err     error
}

// callStore asks the store for the changes after a version. The call is abandoned if other
// nodes meanwhile announce a change that the store doesn't answer with: the connection from the
// store to this node may be slow or dead.
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
		// Check before the first wait too: changes announced before the call don't wake the
		// feed again.
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
