// Package replica implements the consensus protocol of a replica group as a state machine
// without clock and I/O: Step takes messages, Tick takes the time, and Ready returns what is to
// be sent and applied.
//
// The protocol is Raft's replication (Ongaro and Ousterhout, USENIX ATC 2014)
// with leader leases (Gray and Cheriton, SOSP 1989), inside the epochs of Vertical
// Paxos (Lamport, Malkhi and Zhou, PODC 2009): the members of an epoch are process incarnations
// and never change; a table outside the group decides which epoch follows. Members keep
// everything in memory. That is safe because a restarted process is another incarnation, which
// is not a member and has no vote.
//
// Guarantees within one epoch:
//
//   - At most one leader holds a lease at any moment, as long as the clocks of
//     the members run at the same rate within DriftMargin.
//   - An entry that was applied anywhere is in the log of a majority, and every
//     later leader has it.
//
// Across epochs: once a majority has been sealed, nothing more is committed in the old epoch,
// and the states of the sealed members together contain everything that was.
package replica

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
)

// MemberID is the incarnation identifier of a member's process.
type MemberID string

// Config is one epoch of a group. A node takes part in the highest epoch that it knows of; each
// Member belongs to one epoch and ignores messages of all others.
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

// FenceOf encodes epoch and term of a leadership as a fencing token, which rises with each new
// leadership.
func FenceOf(epoch, term uint64) engine.Fence { return engine.Fence(epoch<<32 | term&0xffffffff) }

// EpochOf returns the epoch of a fencing token.
func EpochOf(fence engine.Fence) uint64 { return uint64(fence) >> 32 }

// Entry is one replicated command. An entry without data is the one that a new leader appends
// to commit the entries of earlier terms.
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

// State is the whole state of a member: a snapshot and the entries after it.
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

// Newer reports whether s is more up to date than other, by Raft's comparison of logs.
func (s State) Newer(other State) bool {
	if s.LastTerm() != other.LastTerm() {
		return s.LastTerm() > other.LastTerm()
	}
	return s.LastIndex() > other.LastIndex()
}

// MessageType is the type of a message.
type MessageType string

// Types of messages.
const (
	// MessageVote asks for a vote. With Pre set it is a pre-vote, which only asks whether a
	// vote would be given, so that a member that can't win doesn't disturb the others.
	MessageVote      MessageType = "vote"
	MessageVoteReply MessageType = "vote_reply"
	// MessageAppend carries entries and is the heartbeat that renews the lease.
	MessageAppend      MessageType = "append"
	MessageAppendReply MessageType = "append_reply"
	MessageSnapshot    MessageType = "snapshot"
	// MessageHandOver transfers leadership: the leader has given up its lease, and the follower
	// that gets the message starts an election at once.
	MessageHandOver MessageType = "hand_over"
)

// Message is sent from one member to another of the same epoch.
type Message struct {
	Type  MessageType `json:"type"`
	Group string      `json:"group"`
	Epoch uint64      `json:"epoch"`
	Term  uint64      `json:"term"`
	From  MemberID    `json:"from"`
	To    MemberID    `json:"to"`

	// Pre, LastIndex and LastTerm belong to votes. HandedOver means that the former leader has
	// given up its lease in favour of the candidate.
	Pre        bool   `json:"pre,omitempty"`
	HandedOver bool   `json:"handed_over,omitempty"`
	LastIndex  uint64 `json:"last_index,omitempty"`
	LastTerm   uint64 `json:"last_term,omitempty"`
	Granted    bool   `json:"granted,omitempty"`

	// PrevIndex to Commit belong to appends. Round numbers the leader's messages, so that it
	// knows when the message was sent that a follower answers.
	PrevIndex uint64  `json:"prev_index,omitempty"`
	PrevTerm  uint64  `json:"prev_term,omitempty"`
	Entries   []Entry `json:"entries,omitempty"`
	Commit    uint64  `json:"commit,omitempty"`
	Round     uint64  `json:"round,omitempty"`

	// Match is the last index up to which the follower's log is known to agree with the
	// leader's, or, in a rejection, the last index at which it may.
	Match    uint64 `json:"match,omitempty"`
	Rejected bool   `json:"rejected,omitempty"`

	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Settings are the timing parameters of the protocol, and the log's length.
type Settings struct {
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat time.Duration
	// Lease is how long after a leader's last message a follower votes for no other member. The
	// leader holds its lease while a majority is bound by that promise.
	Lease time.Duration
	// DriftMargin is subtracted from the lease by the leader, since the clocks of members may
	// run at different rates.
	DriftMargin time.Duration
	// ElectionSpread is the maximum random delay before a member starts an election.
	ElectionSpread time.Duration
	// MaxLog is the number of applied entries kept for followers that lag behind. A longer log
	// is compacted to half of it.
	MaxLog int
}

// DefaultSettings returns the settings of production nodes. A failed leader is replaced within
// Lease + ElectionSpread and a few round trips.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:      150 * time.Millisecond,
		Lease:          1200 * time.Millisecond,
		DriftMargin:    120 * time.Millisecond,
		ElectionSpread: 600 * time.Millisecond,
		MaxLog:         4096,
	}
}

// Ready is what the caller of a member has to do next.
type Ready struct {
	// Messages are to be sent. They may be lost, duplicated and reordered.
	Messages []Message
	// Restore, if not nil, replaces the state machine's state, before Entries are applied.
	Restore *Snapshot
	// Entries have been committed and are to be applied in order.
	Entries []Entry
}
