package resumption

import (
	"slices"
	"sync"
	"time"
)

// staleAfter is for how long a node may begin streams by a past that the store has confirmed to it, or
// to a node that it relies on. A past that was lost with a restore of the store is used for that long at
// most: by a node that hasn't heard of the restore, and the copy that the store comes back from is no
// older than that.
const staleAfter = time.Minute

// CompleteAfter is how long after a past was written whose completeness isn't inherited from another one
// it is complete: by then no node relies on one before it.
const CompleteAfter = staleAfter

// Recorded is the past in the store as a node holds it: streams begin only where it shows them, so that
// it still tells after an end of all nodes where they can have begun. It is safe for concurrent use.
type Recorded struct {
	mu   sync.Mutex
	past Past
}

// Set replaces the past by the store's, an empty one if the store has none.
func (r *Recorded) Set(past Past) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past = past
}

// Versions returns the software versions of a service at which streams may begin at a time, given when
// the store confirmed the past.
func (r *Recorded) Versions(service string, confirmed, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := r.past.Versions[service]
	if now.Sub(confirmed) <= staleAfter {
		return versions
	}
	if !isOld(r.past.RoutesAdded, confirmed) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(versions), func(version string) bool {
		return !isOld(r.past.Added[service][version], confirmed)
	})
}

// isOld reports whether what was added at a time, in Unix milliseconds, is in each copy of the store from
// which it may have come back since it confirmed the past.
func isOld(added int64, confirmed time.Time) bool {
	return confirmed.UnixMilli()-added >= staleAfter.Milliseconds()
}
