package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
)

// role is a member's role in its current term.
type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
	// roleSealed members no longer take part in their epoch.
	roleSealed
)

// maxEntriesPerMessage limits the size of an append message.
const maxEntriesPerMessage = 256

// progress is what a leader knows about a follower.
type progress struct {
	next  uint64
	match uint64
	// ackedSentAt is when the newest message that the follower has answered was sent. The
	// follower's promise lasts at least Lease from that time, since it was made when the
	// message arrived. acked is set after the first answer.
	ackedSentAt time.Duration
	acked       bool
	// sentAt holds the send times of unanswered messages by round.
	sentAt map[uint64]time.Duration
	// snapshotSentAt is when a snapshot was sent that is not yet answered, zero for none.
	snapshotSentAt time.Duration
}

// Member is one member of a group in one epoch. It is not safe for concurrent use. Times are
// measured from a fixed instant of this process.
type Member struct {
	id       MemberID
	config   Config
	settings Settings
	random   *rand.Rand
	snapshot func() []byte

	role     role
	term     uint64
	votedFor MemberID
	leader   MemberID
	log      log
	commit   uint64
	applied  uint64

	// promiseUntil is the time until which this member has promised to vote for nobody but its
	// leader.
	promiseUntil time.Duration
	// campaignAt is when this member starts an election unless it hears from a leader.
	campaignAt time.Duration
	handedOver bool
	preVote    bool
	votes      map[MemberID]bool

	// Fields used by a leader only.
	peers       map[MemberID]*progress
	round       uint64
	heartbeatAt time.Duration
	termStart   uint64 // index of the first entry of the leader's term
	released    bool   // whether the leader has given up its lease
	releasedAt  time.Duration
	electedAt   time.Duration

	ready Ready
}

// New returns a member of an epoch with the given initial state. The snapshot function returns
// the state machine's state after the last applied entry.
func New(id MemberID, config Config, settings Settings, initial State, now time.Duration, random *rand.Rand, snapshot func() []byte) *Member {
	m := &Member{
		id:       id,
		config:   config,
		settings: settings,
		random:   random,
		snapshot: snapshot,
		term:     initial.Term,
		commit:   initial.Snapshot.Index,
		applied:  initial.Snapshot.Index,
	}
	m.log.reset(initial.Snapshot)
	m.log.append(initial.Entries)
	restore := initial.Snapshot
	m.ready.Restore = &restore
	m.scheduleCampaign(now, 0)
	return m
}

// Config returns the configuration of the member's epoch.
func (m *Member) Config() Config { return m.config }

// Term returns the current term.
func (m *Member) Term() uint64 { return m.term }

// Leader returns the leader of the current term, empty when it is not known.
func (m *Member) Leader() MemberID { return m.leader }

// IsLeader reports whether this member was elected in the current term. The lease may have
// expired since.
func (m *Member) IsLeader() bool { return m.role == roleLeader }

// Sealed reports whether Seal was called.
func (m *Member) Sealed() bool { return m.role == roleSealed }

// LastIndex returns the index of the last entry in the log.
func (m *Member) LastIndex() uint64 { return m.log.lastIndex() }

// Fence returns the fencing token of this member's leadership, and true while its lease holds
// and all entries committed by earlier leaders have been applied. Pass the time at which the
// answer is used.
func (m *Member) Fence(now time.Duration) (engine.Fence, bool) {
	if m.role != roleLeader || m.released || m.applied < m.termStart {
		return 0, false
	}
	if now >= m.leaseEnd(now) {
		return 0, false
	}
	return FenceOf(m.config.Epoch, m.term), true
}

// leaseEnd returns when the leader's lease expires: until then a majority is bound by a promise
// to it.
func (m *Member) leaseEnd(now time.Duration) time.Duration {
	lease := m.settings.Lease - m.settings.DriftMargin
	ends := make([]time.Duration, 0, len(m.config.Members))
	ends = append(ends, now+lease) // the leader itself
	for _, peer := range m.peers {
		if peer.acked {
			ends = append(ends, peer.ackedSentAt+lease)
		}
	}
	if len(ends) < m.config.majority() {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-m.config.majority()]
}

// Propose appends a command to the leader's log and returns the index and term of its entry. It
// returns false if this member is not the leader or its lease doesn't hold. The command has
// taken effect only once an entry with that index and term is committed.
func (m *Member) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	if _, active := m.Fence(now); !active {
		return 0, 0, false
	}
	m.appendCommand(data)
	m.replicate(now, false)
	return m.log.lastIndex(), m.term, true
}

func (m *Member) appendCommand(data []byte) {
	m.log.append([]Entry{{Term: m.term, Index: m.log.lastIndex() + 1, Data: data}})
	m.advanceCommit()
}

// Ready returns what has to be done since the last call.
func (m *Member) Ready() Ready {
	if m.applied < m.commit && m.role != roleSealed {
		m.ready.Entries = append(m.ready.Entries, m.log.between(m.applied, m.commit)...)
		m.applied = m.commit
	}
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// Compact drops old applied entries when the log is longer than MaxLog. The caller must have
// applied everything that Ready returned.
func (m *Member) Compact() {
	if len(m.log.entries) > m.settings.MaxLog && m.applied > m.log.snapshotIndex {
		keep := uint64(m.settings.MaxLog / 2)
		if m.applied > m.log.snapshotIndex+keep {
			m.log.compact(m.applied - keep)
		}
	}
}

// Seal ends this member's part in its epoch. It returns the member's state and how long its
// last promise to a leader still lasts. The caller must have applied everything that Ready
// returned. A sealed member can be sealed again and returns the same state.
func (m *Member) Seal(now time.Duration) (State, time.Duration) {
	promise := max(m.promiseUntil-now, 0)
	if m.role == roleLeader {
		promise = 0 // the lease of a sealed leader ends at once
	}
	m.role = roleSealed
	m.leader = ""
	m.ready.Messages = nil
	return State{
		Term:     m.term,
		Snapshot: Snapshot{Term: m.log.term(m.applied), Index: m.applied, Data: m.snapshot()},
		Entries:  append([]Entry(nil), m.log.after(m.applied, len(m.log.entries))...),
	}, promise
}

// Tick starts elections, sends heartbeats and ends leaderships that are due at the given time.
func (m *Member) Tick(now time.Duration) {
	switch m.role {
	case roleLeader:
		if m.released && now >= m.releasedAt+m.settings.Lease {
			// No member has taken over the leadership within a lease.
			m.becomeFollower(m.term, "")
			m.scheduleCampaign(now, 0)
			return
		}
		if now > max(m.leaseEnd(now), m.electedAt+m.settings.Lease)+m.settings.Lease {
			// Without a majority for a lease after its own lease has expired, the member must
			// not call itself leader: others need to see that there is none, to replace the
			// group's members.
			m.becomeFollower(m.term, "")
			m.scheduleCampaign(now, 0)
			return
		}
		if now >= m.heartbeatAt {
			m.replicate(now, true)
		}
	case roleFollower, roleCandidate:
		if now >= m.campaignAt {
			m.campaign(now, true)
		}
	}
}

// Step processes a message. Messages for other groups, epochs or members are ignored.
func (m *Member) Step(now time.Duration, message Message) {
	if m.role == roleSealed || message.Group != m.config.Group || message.Epoch != m.config.Epoch ||
		message.To != m.id || !m.config.has(message.From) {
		return
	}
	if message.Type == MessageVote {
		m.stepVote(now, message)
		return
	}
	if message.Term > m.term && !(message.Type == MessageVoteReply && message.Pre && message.Granted) {
		m.becomeFollower(message.Term, "")
	}
	switch message.Type {
	case MessageVoteReply:
		m.stepVoteReply(now, message)
	case MessageAppend:
		m.stepAppend(now, message)
	case MessageAppendReply:
		m.stepAppendReply(now, message)
	case MessageSnapshot:
		m.stepSnapshot(now, message)
	case MessageHandOver:
		m.stepHandOver(now, message)
	}
}

func (m *Member) send(message Message) {
	message.Group = m.config.Group
	message.Epoch = m.config.Epoch
	message.From = m.id
	if message.Term == 0 {
		message.Term = m.term
	}
	m.ready.Messages = append(m.ready.Messages, message)
}

func (m *Member) becomeFollower(term uint64, leader MemberID) {
	if term > m.term {
		m.term = term
		m.votedFor = ""
	}
	m.role = roleFollower
	m.leader = leader
	m.peers = nil
	m.handedOver = false
}
