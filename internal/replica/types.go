// Package replica is the agreement protocol of a replica group, as a pure state
// machine without clock and I/O: Step takes messages, Tick takes time, Ready
// gives what is to be sent and applied.
//
// The protocol is Raft's replication (Ongaro and Ousterhout, USENIX ATC 2014)
// with leader leases (Gray and Cheriton, SOSP 1989), inside the epochs of Vertical
// Paxos (Lamport, Malkhi and Zhou, PODC 2009): the members of an epoch are process
// incarnations and are fixed; a table outside is the reconfiguration master.
// Members keep everything in memory. That is safe because a restarted process is
// another incarnation, which is not a member and has no vote.
//
// Guarantees within one epoch:
//
//   - At most one leader holds a lease at any moment, as long as the clocks of
//     the members run at the same rate within DriftMargin.
//   - An entry that was applied anywhere is in the log of a majority, and every
//     later leader has it.
//
// And between epochs: once a majority has been sealed, nothing more is committed
// in the old epoch, and the sealed states together hold all that was.
package replica

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
)

// MemberID is the incarnation of a member's process.
type MemberID string

// Config is one epoch of a group. Members obey the highest epoch they know.
type Config struct {
	Group   string     `json:"group"`
	Epoch   uint64     `json:"epoch"`
	Members []MemberID `json:"members"`
}

func (c Config) majority() int { return len(c.Members)/2 + 1 }

func (c Config) has(id MemberID) bool {
	for _, member := range c.Members {
		if member == id {
			return true
		}
	}
	return false
}

// FenceOf encodes a leadership as one rising number.
func FenceOf(epoch, term uint64) engine.Fence { return engine.Fence(epoch<<32 | term&0xffffffff) }

// EpochOf returns the epoch of a fence.
func EpochOf(fence engine.Fence) uint64 { return uint64(fence) >> 32 }

// Entry is one replicated command. An entry without data is a new leader's mark
// of its term.
type Entry struct {
	Term  uint64 `json:"t"`
	Index uint64 `json:"i"`
	Data  []byte `json:"d,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Term  uint64 `json:"t"`
	Index uint64 `json:"i"`
	Data  []byte `json:"d,omitempty"`
}

// State is all that a member knows: a snapshot and the entries after it.
type State struct {
	Term     uint64   `json:"term"`
	Snapshot Snapshot `json:"snapshot"`
	Entries  []Entry  `json:"entries,omitempty"`
}

// LastIndex returns the index of the last entry.
func (s State) LastIndex() uint64 { return s.Snapshot.Index + uint64(len(s.Entries)) }

// LastTerm returns the term of the last entry.
func (s State) LastTerm() uint64 {
	if len(s.Entries) > 0 {
		return s.Entries[len(s.Entries)-1].Term
	}
	return s.Snapshot.Term
}

// Newer reports whether s holds more than other, by Raft's order of logs.
func (s State) Newer(other State) bool {
	if s.LastTerm() != other.LastTerm() {
		return s.LastTerm() > other.LastTerm()
	}
	return s.LastIndex() > other.LastIndex()
}

// MessageType is the sort of a message.
type MessageType string

// The messages.
const (
	// MessageVote asks for a vote; with Pre set it only asks whether one would
	// be given, so that a member that can't win does not disturb the others.
	MessageVote      MessageType = "vote"
	MessageVoteReply MessageType = "vote_reply"
	// MessageAppend carries entries and is the heartbeat that renews the lease.
	MessageAppend      MessageType = "append"
	MessageAppendReply MessageType = "append_reply"
	MessageSnapshot    MessageType = "snapshot"
	// MessageHandOver tells a follower to stand for election at once: the leader
	// has given its lease up.
	MessageHandOver MessageType = "hand_over"
)

// Message goes from one member to another of the same epoch.
type Message struct {
	Type  MessageType `json:"type"`
	Group string      `json:"group"`
	Epoch uint64      `json:"epoch"`
	Term  uint64      `json:"term"`
	From  MemberID    `json:"from"`
	To    MemberID    `json:"to"`

	// Pre and LastIndex, LastTerm belong to votes; HandedOver tells that the
	// former leader has given its lease up to the candidate.
	Pre        bool   `json:"pre,omitempty"`
	HandedOver bool   `json:"handed_over,omitempty"`
	LastIndex  uint64 `json:"last_index,omitempty"`
	LastTerm   uint64 `json:"last_term,omitempty"`
	Granted    bool   `json:"granted,omitempty"`

	// PrevIndex to Commit belong to appends. Round numbers the leader's
	// messages, so that an answer can be matched with the time it was sent.
	PrevIndex uint64  `json:"prev_index,omitempty"`
	PrevTerm  uint64  `json:"prev_term,omitempty"`
	Entries   []Entry `json:"entries,omitempty"`
	Commit    uint64  `json:"commit,omitempty"`
	Round     uint64  `json:"round,omitempty"`

	// Match is the last index known to agree, or on a rejection the last index
	// that the follower has.
	Match    uint64 `json:"match,omitempty"`
	Rejected bool   `json:"rejected,omitempty"`

	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Settings are the times of the protocol.
type Settings struct {
	// Heartbeat is the time between a leader's messages.
	Heartbeat time.Duration
	// Lease is how long a follower that has heard from a leader votes for no
	// other.
	Lease time.Duration
	// DriftMargin is taken off the lease by the leader, for clocks that do not
	// run at the same rate.
	DriftMargin time.Duration
	// ElectionSpread is the largest random delay before a candidacy.
	ElectionSpread time.Duration
	// MaxLog is the number of applied entries kept for followers that lag.
	MaxLog int
}

// DefaultSettings returns the settings that nodes use: a leader that dies is
// replaced within Lease + ElectionSpread and a few round trips.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:      150 * time.Millisecond,
		Lease:          1200 * time.Millisecond,
		DriftMargin:    120 * time.Millisecond,
		ElectionSpread: 600 * time.Millisecond,
		MaxLog:         4096,
	}
}

// Ready is what a member wants done.
type Ready struct {
	// Messages are to be sent. They may be lost, repeated and reordered.
	Messages []Message
	// Restore, if set, replaces the state machine's state, before Entries.
	Restore *Snapshot
	// Entries are committed and are to be applied in order.
	Entries []Entry
}
