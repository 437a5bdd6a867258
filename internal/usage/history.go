package usage

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record holds the counts of a window as they were recorded in the store.
type Record struct {
	Counts Counts
	// Era is the latest era of the store in which the record is known to have existed.
	Era uint64
}

// Sum returns a checksum of the counts. Equal counts have equal sums.
func (c Counts) Sum() uint64 {
	hash := xxhash.New()
	var number [8]byte
	for _, tenant := range slices.Sorted(maps.Keys(c)) {
		binary.LittleEndian.PutUint64(number[:], uint64(len(tenant)))
		_, _ = hash.Write(number[:])
		_, _ = hash.WriteString(tenant)
		binary.LittleEndian.PutUint64(number[:], uint64(c[tenant]))
		_, _ = hash.Write(number[:])
	}
	return hash.Sum64()
}

// supersedes reports whether a record replaces another record of the same window. The record of
// the later era does, since the store has lost the other one. Two records of one era can only
// come from a node that doesn't know the era; all nodes then choose the same one.
func (r Record) supersedes(other Record) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Counts.Sum() > other.Counts.Sum()
}

// History holds the recorded windows that a node knows, including those that the store has lost
// because it was restored from a backup. The supervisors keep their histories alike. It is safe
// for concurrent use. Times are those of clock.Boottime.
type History struct {
	mu      sync.Mutex
	records map[Window]Record
	// sums are the checksums of the records.
	sums map[Window]uint64
	// unconfirmed holds what earlier builds told of windows that were in doubt. Those builds record
	// a window anew after a restore, so it may not be what was reported first.
	unconfirmed map[Window]Counts
	// era is the latest known era of the store, and eraFrom the window in which this node learned
	// of it. Later windows can't have been recorded in an earlier era.
	era     uint64
	eraFrom Window
	// completeFrom is the window from which on the history has every record that was made before
	// this era and may have been reported. The store may have lost them.
	completeFrom Window
	// tenure tells that this node has had the authority to report since before this era.
	tenure bool
	// confirmedAt is the latest time as of which this node has had all records of every node
	// that may report.
	confirmedAt time.Time
	// interrupted tells that this node may have missed a report since then or before it started,
	// until it has had all records of the reporter or of a node that hasn't missed any.
	interrupted bool
	// tickedAt is when the node last ran Tick.
	tickedAt time.Time
	// reportingUntil is when the authority of this node ends, if it has read the recorded windows
	// since it has the authority.
	reportingUntil time.Time
}

const (
	// confirmedFor is how long after confirmedAt no window can have been reported that this node
	// doesn't know, in the same era. It is shorter than heldTimeout, for which the reporter waits
	// for this node's confirmation of a record.
	confirmedFor = 1500 * time.Millisecond
	// maxTickGap is the longest time between two calls of Tick, several stepIntervals. After a
	// longer one this node was paused, and may have taken old messages for new ones.
	maxTickGap = time.Second
)

// NewHistory returns the history of a node that has just started.
func NewHistory() *History {
	return &History{
		records: make(map[Window]Record), sums: make(map[Window]uint64), unconfirmed: make(map[Window]Counts),
		completeFrom: math.MaxInt64, interrupted: true,
	}
}

// Completeness tells how far a history is complete.
type Completeness struct {
	// Era is the latest known era, and From the first window of which the history has every
	// record that was made before it and may have been reported.
	Era  uint64
	From Window
	// Reporting tells that its node has the authority to report, and InTouch that it has all
	// records of all nodes that may report.
	Reporting, InTouch bool
}

// Completeness returns how far the history is complete.
func (h *History) Completeness(now time.Time) Completeness {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Completeness{Era: h.era, From: h.completeFrom, Reporting: now.Before(h.reportingUntil), InTouch: InTouch(h.confirmedAt, now)}
}

// ObserveEra updates the history with the store's era. current is the window of the time now.
// The store may have lost records: unless this node is in touch with all nodes that may report
// or is the reporter, windows may have been reported that it doesn't know.
func (h *History) ObserveEra(era uint64, now time.Time, current Window) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if era <= h.era {
		return
	}
	h.tenure = now.Before(h.reportingUntil)
	confirmed := h.tenure || InTouch(h.confirmedAt, now) && !h.paused(now)
	if !confirmed || h.completeFrom > current {
		h.completeFrom = current
	}
	h.era, h.eraFrom, h.confirmedAt = era, current, time.Time{}
}

// ReadStore records that this node has read the recorded windows from the store in an era while
// it has the authority to report. In the first era, zero, the store has lost nothing.
func (h *History) ReadStore(era uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if era != h.era {
		return
	}
	h.interrupted = false
	if era == 0 {
		h.completeFrom = 0
	}
}

// Tick detects that this node was paused. It must be called at each stepInterval.
func (h *History) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused(now) {
		h.confirmedAt, h.interrupted = time.Time{}, true
	}
	h.tickedAt = now
}

func (h *History) paused(now time.Time) bool {
	return !h.tickedAt.IsZero() && now.Sub(h.tickedAt) > maxTickGap
}

// SetReporting sets until when this node has the authority to report, the zero time if it
// doesn't.
func (h *History) SetReporting(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportingUntil = until
	h.tenure = h.tenure && !until.IsZero()
}

// Synchronized updates the history after it has got all records that another one had at the
// given time. The reporter's records are complete in its era.
func (h *History) Synchronized(other Completeness, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other.Era != h.era {
		return
	}
	h.completeFrom = min(h.completeFrom, other.From)
	if other.Reporting || other.InTouch {
		h.interrupted = false
	}
	if other.Reporting {
		h.confirm(at)
	}
}

// Confirm records that this node has had all records that all nodes which may report had at the
// given time.
func (h *History) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.interrupted {
		h.confirm(at)
	}
}

func (h *History) confirm(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// Interrupt records that a node ended with which this node was out of touch before. It may have
// reported windows that no node knows.
func (h *History) Interrupt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt, h.interrupted = time.Time{}, true
}

// InTouch reports whether a time, at which this node had all records of another one, is so
// recent that the other one can't have reported anything else since.
func InTouch(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) <= confirmedFor }

// InDoubt reports whether a window of which the history has no record may have been reported, or
// may still be known to another node. allAsked tells that all other supervisors have told their
// records since this node has the authority.
func (h *History) InDoubt(window Window, allAsked bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inDoubt(window, allAsked)
}

func (h *History) inDoubt(window Window, allAsked bool) bool {
	if _, known := h.records[window]; known {
		return false
	}
	return window < h.completeFrom || window < h.eraFrom && !h.tenure && !allAsked
}

// MergeUnconfirmed adds records that a node of an earlier build told. They replace no other
// record, and those of windows in doubt are only kept for nodes of such builds, which would record
// them anew.
func (h *History) MergeUnconfirmed(recorded map[Window]Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for window, counts := range recorded {
		_, known := h.records[window]
		_, told := h.unconfirmed[window]
		switch {
		case known || counts == nil:
		case !h.inDoubt(window, false):
			h.records[window], h.sums[window] = Record{Counts: counts}, counts.Sum()
		case !told:
			h.unconfirmed[window] = counts
		}
	}
	h.prune()
}

// Unconfirmed returns what earlier builds told of the windows after the given one of which this
// history has no record.
func (h *History) Unconfirmed(after Window) map[Window]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	told := maps.Clone(h.unconfirmed)
	maps.DeleteFunc(told, func(window Window, _ Counts) bool {
		_, known := h.records[window]
		return known || window <= after
	})
	return told
}

// Merge adds records.
func (h *History) Merge(records map[Window]Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for window, record := range records {
		known, exists := h.records[window]
		if record.Counts != nil && (!exists || record.supersedes(known)) {
			h.records[window], h.sums[window] = record, record.Counts.Sum()
		}
	}
	h.prune()
}

// prune drops records that are so old that the store no longer keeps them either.
func (h *History) prune() {
	newest := Window(math.MinInt64)
	for window := range h.records {
		newest = max(newest, window)
	}
	for window := range h.unconfirmed {
		newest = max(newest, window)
	}
	if newest == math.MinInt64 {
		return
	}
	maps.DeleteFunc(h.records, func(window Window, _ Record) bool { return window <= newest-keptRows })
	maps.DeleteFunc(h.sums, func(window Window, _ uint64) bool { return window <= newest-keptRows })
	maps.DeleteFunc(h.unconfirmed, func(window Window, _ Counts) bool { return window <= newest-keptRows })
}

// Records returns the records of the windows after the given one.
func (h *History) Records(after Window) map[Window]Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := maps.Clone(h.records)
	maps.DeleteFunc(records, func(window Window, _ Record) bool { return window <= after })
	return records
}

// Find returns the record of a window.
func (h *History) Find(window Window) (Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	record, exists := h.records[window]
	return record, exists
}

// Oldest returns the oldest window that is still kept.
func (h *History) Oldest() Window {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.records) == 0 {
		return 0
	}
	return slices.Max(slices.Collect(maps.Keys(h.records))) - keptRows + 1
}

// Sums returns the checksums of all records.
func (h *History) Sums() map[Window]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.sums)
}
