package nodeexchange

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/usage"
)

// UsageStore is where a node writes usage counts that no supervisor has acknowledged.
type UsageStore interface {
	// Put writes a row of one of this project's own tables, and Remove deletes it.
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

const (
	// storeUsageAfter is how long after the end of a window this node waits for a supervisor's
	// acknowledgement before it writes the window to the store: two periodic messages.
	storeUsageAfter = 1100 * time.Millisecond
	// storeUsageInterval is the time between two checks, and storeUsageTimeout bounds a call to
	// the store.
	storeUsageInterval = 500 * time.Millisecond
	storeUsageTimeout  = time.Second
)

// StoreUnacknowledgedUsage writes closed windows that no supervisor has acknowledged to the
// store, until ctx ends: this node may be cut off from the other nodes but not from the store.
// name is the node's name in the settings, which a new incarnation keeps; the row has it as its
// key.
func (e *Exchange) StoreUnacknowledgedUsage(ctx context.Context, name string, store UsageStore) {
	ticker := time.NewTicker(storeUsageInterval)
	defer ticker.Stop()
	begun := e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now())) - 1
	written := begun
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := e.usage.tally.Now(time.Now())
		closed := e.usage.tally.WindowLength().WindowAt(now.Add(-storeUsageAfter)) - 1
		acknowledged := max(e.UsageAcknowledged(), begun)
		switch {
		case acknowledged < closed && written < closed:
			if e.writeUsage(ctx, name, store, acknowledged, closed) {
				written = closed
			}
		case acknowledged >= closed && written > begun && written <= acknowledged-storedUsageWindows:
			e.removeUsage(ctx, name, store)
			written = begun
		}
	}
}

// storedUsageWindows is for how many windows a row stays in the store after a supervisor has
// acknowledged everything, since the row is read when the windows are recorded.
const storedUsageWindows = 3

func (e *Exchange) writeUsage(ctx context.Context, name string, store UsageStore, after, through usage.Window) bool {
	entries := e.usage.tally.Entries(after, through)
	log := e.log.WithFields(logrus.Fields{"after": after, "through": through, "entries": len(entries)})
	if len(entries) == 0 {
		return true
	}
	value, err := json.Marshal(usage.NodeRow{Incarnation: e.node, Entries: entries})
	if err != nil {
		log.WithError(err).Error("this node's usage counts can't be encoded")
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, storeUsageTimeout)
	defer cancel()
	if err := store.Put(callCtx, usage.Table, usage.NodeKey(name), value); err != nil {
		log.WithField("cause", err.Error()).Warn("usage reaches neither a supervisor nor the store")
		return false
	}
	log.Info("usage written to the store: no supervisor has acknowledged it")
	return true
}

func (e *Exchange) removeUsage(ctx context.Context, name string, store UsageStore) {
	callCtx, cancel := context.WithTimeout(ctx, storeUsageTimeout)
	defer cancel()
	if err := store.Remove(callCtx, usage.Table, usage.NodeKey(name)); err != nil {
		e.log.WithField("cause", err.Error()).Warn("this node's usage row could not be deleted from the store")
	}
}
