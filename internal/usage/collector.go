package usage

import (
	"maps"
	"slices"
	"sync"
)

// Collector gathers the tallies of all nodes. Each node is known by its incarnation, so
// that the counts of a process that was killed stay beside those of the next. Counts only
// rise, so the larger of two that were told is the newer. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	senders map[string]*sender
	// recorded are the windows that lie in the store, or did before it came back from a copy.
	recorded map[Window]Counts
}

// sender is what is known of the tally of one node incarnation.
type sender struct {
	// through is the change up to which all was told, and closed as in Delta.
	through uint64
	closed  Window
	windows map[Window]Counts
}

// Reply tells a node what arrived of its tally.
type Reply struct {
	// Through is the change up to which all has arrived: the next Delta is to go on from
	// there.
	Through uint64
	// Closed is the newest closed window of which all has arrived.
	Closed Window
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{senders: make(map[string]*sender), recorded: make(map[Window]Counts)}
}

// MergeRecorded takes in windows as they were recorded, and forgets those that the store doesn't
// keep any more either.
func (c *Collector) MergeRecorded(recorded map[Window]Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, counts := range recorded {
		if counts != nil {
			c.recorded[window] = counts
		}
	}
	if len(c.recorded) <= keptRows {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(c.recorded)))
	maps.DeleteFunc(c.recorded, func(window Window, _ Counts) bool { return window <= newest-keptRows })
}

// Recorded returns the recorded windows after one, as far as they are known.
func (c *Collector) Recorded(after Window) map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := maps.Clone(c.recorded)
	maps.DeleteFunc(recorded, func(window Window, _ Counts) bool { return window <= after })
	return recorded
}

func (c *Collector) sender(node string) *sender {
	known, exists := c.senders[node]
	if !exists {
		known = &sender{windows: make(map[Window]Counts)}
		c.senders[node] = known
	}
	return known
}

// MergeDelta takes in what a node tells of its tally. It reports whether the node is to get the
// reply: where something is missing, and once for each window.
func (c *Collector) MergeDelta(node string, delta Delta) (reply Reply, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.sender(node)
	known.merge(delta.Entries)
	if delta.After > known.through {
		return Reply{Through: known.through, Closed: known.closed}, true
	}
	known.through = max(known.through, delta.Through)
	if delta.Closed <= known.closed {
		return Reply{Through: known.through, Closed: known.closed}, false
	}
	known.closed = delta.Closed
	known.forget()
	return Reply{Through: known.through, Closed: known.closed}, true
}

// MergeEntries takes in counts of a node that another one has gathered.
func (c *Collector) MergeEntries(node string, entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender(node).merge(entries)
}

func (s *sender) merge(entries []Entry) {
	for _, entry := range entries {
		counts, known := s.windows[entry.Window]
		if !known {
			counts = make(Counts)
			s.windows[entry.Window] = counts
		}
		counts[entry.Tenant] = max(counts[entry.Tenant], entry.Count)
	}
}

func (s *sender) forget() {
	maps.DeleteFunc(s.windows, func(window Window, _ Counts) bool { return window <= s.closed-keptWindows })
}

// Closed reports whether a node has told all of a window.
func (c *Collector) Closed(node string, window Window) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, exists := c.senders[node]
	return exists && known.closed >= window
}

// Total returns the counts of a window over all nodes.
func (c *Collector) Total(window Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := make(Counts)
	for _, known := range c.senders {
		for tenant, count := range known.windows[window] {
			total[tenant] += count
		}
	}
	return total
}

// EntriesAfter returns the counts of the windows after one, by node.
func (c *Collector) EntriesAfter(after Window) map[string][]Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	gathered := make(map[string][]Entry)
	for node, known := range c.senders {
		for window, counts := range known.windows {
			if window <= after {
				continue
			}
			for tenant, count := range counts {
				gathered[node] = append(gathered[node], Entry{window, tenant, count})
			}
		}
	}
	return gathered
}

// Forget drops the nodes of which nothing is known after a window.
func (c *Collector) Forget(window Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.senders, func(_ string, known *sender) bool {
		maps.DeleteFunc(known.windows, func(old Window, _ Counts) bool { return old <= window-keptWindows })
		return len(known.windows) == 0 && known.closed <= window-keptWindows
	})
}
