package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// keptWindows is the number of windows for which nodes and supervisors keep counts. It
	// covers the time for which the platform accepts a report, and the longest outage that
	// counts must survive.
	keptWindows = 12
	// maxEntries limits the entries of one Delta, so that it fits into a datagram.
	maxEntries = 300
)

// Counts holds the number of requests that started in a window, by tenant.
type Counts map[string]int

// Entry is the count of one tenant in one window.
type Entry struct {
	Window Window
	Tenant string
	Count  int
}

// Delta is a message about a node's tally: the entries that changed after one change number and
// up to another. Counts are totals, so receiving a Delta twice does no harm.
type Delta struct {
	After, Through uint64
	// Closed is the newest window in which no more requests can start at the node.
	Closed  Window
	Entries []Entry
}

// Tally counts the requests that started at one node. It is safe for concurrent use.
type Tally struct {
	windowLength WindowLength

	mu      sync.Mutex
	clock   Clock
	changes uint64
	windows map[Window]map[string]*tenantCount
}

// tenantCount is a count and the number of the last change to it.
type tenantCount struct {
	count   int
	changed uint64
}

// NewTally returns an empty tally with windows of the given length.
func NewTally(span time.Duration) *Tally {
	return &Tally{windowLength: WindowLength(span), windows: make(map[Window]map[string]*tenantCount)}
}

// WindowLength returns the length of the windows.
func (t *Tally) WindowLength() WindowLength { return t.windowLength }

// Now returns the time of day that decides to which window a request counts.
func (t *Tally) Now(moment time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now(moment)
}

// CountStarted counts a request of a tenant that started at a moment.
func (t *Tally) CountStarted(tenant string, moment time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.windowLength.WindowAt(t.clock.Now(moment))
	counts, known := t.windows[window]
	if !known {
		counts = make(map[string]*tenantCount)
		t.windows[window] = counts
		t.forget(window)
	}
	count, known := counts[tenant]
	if !known {
		count = &tenantCount{}
		counts[tenant] = count
	}
	t.changes++
	count.count++
	count.changed = t.changes
}

func (t *Tally) forget(newest Window) {
	maps.DeleteFunc(t.windows, func(window Window, _ map[string]*tenantCount) bool { return window <= newest-keptWindows })
}

// Since returns the entries that changed after a change number. If there are too many, it
// returns the oldest changes.
func (t *Tally) Since(after uint64, moment time.Time) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	type change struct {
		Entry
		at uint64
	}
	var found []change
	for window, counts := range t.windows {
		for tenant, count := range counts {
			if count.changed > after {
				found = append(found, change{Entry{window, tenant, count.count}, count.changed})
			}
		}
	}
	slices.SortFunc(found, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	delta := Delta{After: after, Through: t.changes, Closed: t.windowLength.WindowAt(t.clock.Now(moment)) - 1}
	if len(found) > maxEntries {
		found = found[:maxEntries]
		delta.Through = found[maxEntries-1].at
		delta.Closed -= keptWindows // the changes left out may be in any window
	}
	for _, changed := range found {
		delta.Entries = append(delta.Entries, changed.Entry)
	}
	return delta
}

// Entries returns the counts of the windows after one and up to another, inclusive.
func (t *Tally) Entries(after, through Window) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for window, counts := range t.windows {
		if window <= after || window > through {
			continue
		}
		for tenant, count := range counts {
			entries = append(entries, Entry{window, tenant, count.count})
		}
	}
	return entries
}
