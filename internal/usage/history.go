package usage

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync"

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
// for concurrent use.
type History struct {
	mu      sync.Mutex
	records map[Window]Record
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{records: make(map[Window]Record)} }

// Merge adds records, and drops those that are so old that the store no longer keeps them
// either.
func (h *History) Merge(records map[Window]Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for window, record := range records {
		known, exists := h.records[window]
		if record.Counts != nil && (!exists || record.supersedes(known)) {
			h.records[window] = record
		}
	}
	if len(h.records) == 0 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(h.records)))
	maps.DeleteFunc(h.records, func(window Window, _ Record) bool { return window <= newest-keptRows })
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
		return math.MinInt64
	}
	return slices.Max(slices.Collect(maps.Keys(h.records))) - keptRows + 1
}

// Sums returns the checksums of all records.
func (h *History) Sums() map[Window]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[Window]uint64, len(h.records))
	for window, record := range h.records {
		sums[window] = record.Counts.Sum()
	}
	return sums
}
