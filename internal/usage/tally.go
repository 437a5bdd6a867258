package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// keptWindows is for how many windows a node and the supervisors know counts: more
	// than the platform waits for a report, and the longest trouble that is to be outlived.
	keptWindows = 12
	// maxEntries bounds the entries of one Delta, so that it fits a datagram.
	maxEntries = 300
)

// Counts are the requests of a window that began running, by tenant.
type Counts map[string]int

// Entry is the count of a tenant in a window.
type Entry struct {
	Window Window
	Tenant string
	Count  int
}

// Delta is what a node tells of its tally: the entries that changed after one change and
// up to another. Counts are totals, so telling one twice does no harm.
type Delta struct {
	After, Through uint64
	// Closed is the newest window in which nothing more can begin at the node.
	Closed  Window
	Entries []Entry
}

// Tally counts the requests that began at one node. It is safe for concurrent use.
type Tally struct {
	windowLength WindowLength

	mu      sync.Mutex
	clock   Clock
	changes uint64
	windows map[Window]map[string]*tenantCount
}

// tenantCount is a count, and the change that made it.
type tenantCount struct {
	count   int
	changed uint64
}

// NewTally returns an empty tally of windows of a length.
func NewTally(span time.Duration) *Tally {
	return &Tally{windowLength: WindowLength(span), windows: make(map[Window]map[string]*tenantCount)}
}

// WindowLength returns the length of the windows.
func (t *Tally) WindowLength() WindowLength { return t.windowLength }

// Now returns the time of day by which the tally counts.
func (t *Tally) Now(moment time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now(moment)
}

// CountStarted counts a request of a tenant that began running at a moment.
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

// Since returns what changed after a change.
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
		delta.Closed -= keptWindows // what is left out may be of any window
	}
	for _, changed := range found {
		delta.Entries = append(delta.Entries, changed.Entry)
	}
	return delta
}

// Entries returns the counts of the windows after one, up to another.
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
