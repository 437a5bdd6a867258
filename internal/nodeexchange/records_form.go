package nodeexchange

import (
	"maps"
	"slices"

	"github.com/tinarch/tinarch/internal/usage"
)

// recordsMessage is about the recorded usage windows that supervisors know. One of its fields is
// set.
type recordsMessage struct {
	Question *recordsQuestion `json:"q,omitempty"`
	Answer   *recordsAnswer   `json:"a,omitempty"`
	// Want asks for the records of windows, each from the given part on.
	Want map[usage.Window]int `json:"w,omitempty"`
	Part *recordPart          `json:"p,omitempty"`
	// Held acknowledges records, with their checksums.
	Held map[usage.Window]uint64 `json:"h,omitempty"`
}

// recordsState tells which records the sender knows. Supervisors send it with their periodic load
// messages.
type recordsState struct {
	// Digest is a checksum of all records.
	Digest uint64 `json:"d"`
	// The other fields are as in usage.Completeness.
	Era          uint64       `json:"e,omitempty"`
	CompleteFrom usage.Window `json:"f,omitempty"`
	Reporting    bool         `json:"r,omitempty"`
	InTouch      bool         `json:"t,omitempty"`
}

func (s recordsState) completeness() usage.Completeness {
	return usage.Completeness{Era: s.Era, From: s.CompleteFrom, Reporting: s.Reporting, InTouch: s.InTouch}
}

// recordsQuestion asks a supervisor which records it knows.
type recordsQuestion struct {
	// ID is when the question was asked, in nanoseconds of the sender's clock.
	ID  uint64 `json:"i"`
	Era uint64 `json:"e,omitempty"`
	// Digest is that of the sender's recordsState.
	Digest uint64 `json:"d"`
	// CountsAfter also asks for the counts that the receiver has collected of the windows after
	// this one.
	CountsAfter *usage.Window `json:"c,omitempty"`
}

// recordsAnswer answers a question.
type recordsAnswer struct {
	ID    uint64       `json:"i"`
	State recordsState `json:"t"`
	// Sums are the checksums of the records by window, if the digest differs from that of the
	// question.
	Sums map[usage.Window]uint64 `json:"s,omitempty"`
	// Messages is the number of messages with counts that were sent before.
	Messages int `json:"m,omitempty"`
}

// recordPart is a part of the record of a window.
type recordPart struct {
	Window usage.Window `json:"w"`
	Era    uint64       `json:"e,omitempty"`
	// Sum is the checksum of the whole record, which has the given number of parts.
	Sum    uint64       `json:"s"`
	Number int          `json:"n,omitempty"`
	Parts  int          `json:"p"`
	Counts usage.Counts `json:"c"`
}

// partsOf divides a record into parts, each of which fits in a message.
func partsOf(window usage.Window, record usage.Record) []recordPart {
	tenants := slices.Sorted(maps.Keys(record.Counts))
	count := max(1, (len(tenants)+maxGathered-1)/maxGathered)
	sum := record.Counts.Sum()
	parts := make([]recordPart, count)
	for number := range parts {
		counts := make(usage.Counts)
		for _, tenant := range tenants[number*maxGathered : min((number+1)*maxGathered, len(tenants))] {
			counts[tenant] = record.Counts[tenant]
		}
		parts[number] = recordPart{Window: window, Era: record.Era, Sum: sum, Number: number, Parts: count, Counts: counts}
	}
	return parts
}
