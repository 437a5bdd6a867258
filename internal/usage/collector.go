package usage

import (
	"maps"
	"sync"
)

// Collector collects the tallies of all nodes. Tallies are kept by node incarnation, so that
// the counts of a process that was killed add to those of the process after it. Counts only
// increase, so the larger of two received counts is the newer. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	senders map[string]*sender
	// history has its own lock.
	history *History
}

// sender is what has been received of the tally of one node incarnation.
type sender struct {
	// through is the number of the last change up to which everything was received. closed is
	// as in Reply.
	through uint64
	closed  Window
	windows map[Window]Counts
}

// Reply tells a node how much of its tally was received.
type Reply struct {
	// Through is the number of the change up to which everything was received. The next Delta
	// must continue from there.
	Through uint64
	// Closed is the newest closed window that was received completely.
	Closed Window
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{senders: make(map[string]*sender), history: NewHistory()}
}

// History returns the recorded windows that this node knows.
func (c *Collector) History() *History { return c.history }

// MergeRecorded adds recorded windows of an unknown era.
func (c *Collector) MergeRecorded(recorded map[Window]Counts) {
	records := make(map[Window]Record, len(recorded))
	for window, counts := range recorded {
		records[window] = Record{Counts: counts}
	}
	c.history.Merge(records)
}

// Recorded returns the counts of the known recorded windows after the given one.
func (c *Collector) Recorded(after Window) map[Window]Counts {
	recorded := make(map[Window]Counts)
	for window, record := range c.history.Records(after) {
		recorded[window] = record.Counts
	}
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

// MergeDelta merges a Delta of a node. It reports whether to send the reply: if changes are
// missing, and once for each closed window.
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

// MergeEntries merges counts of a node that another supervisor has collected.
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

// Closed reports whether a window of a node was received completely.
func (c *Collector) Closed(node string, window Window) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, exists := c.senders[node]
	return exists && known.closed >= window
}

// Total returns the sum of the counts of a window over all nodes.
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

// EntriesAfter returns the counts of the windows after the given one, by node.
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

// Forget drops windows that are keptWindows or more older than the given one, and nodes of which
// no newer windows are known.
func (c *Collector) Forget(window Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.senders, func(_ string, known *sender) bool {
		maps.DeleteFunc(known.windows, func(old Window, _ Counts) bool { return old <= window-keptWindows })
		return len(known.windows) == 0 && known.closed <= window-keptWindows
	})
}
