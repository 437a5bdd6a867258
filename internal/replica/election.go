package replica

import (
	"time"
)

// scheduleCampaign sets the time of the next election that this member starts. It is not before
// the promise to the leader has expired.
func (m *Member) scheduleCampaign(now time.Duration, extra time.Duration) {
	earliest := max(now+m.settings.Heartbeat, m.promiseUntil) + extra
	m.campaignAt = earliest + time.Duration(m.random.Int64N(int64(m.settings.ElectionSpread)+1))
}

// campaign starts a pre-vote or an election.
func (m *Member) campaign(now time.Duration, preVote bool) {
	m.role = roleCandidate
	m.leader = ""
	m.preVote = preVote
	m.votes = map[MemberID]bool{m.id: true}
	if !preVote {
		m.term++
		m.votedFor = m.id
	}
	m.scheduleCampaign(now, m.settings.Heartbeat)
	if m.won() {
		m.advanceCampaign(now)
		return
	}
	term := m.term
	if preVote {
		term++
	}
	// The transfer of leadership is good for one election only: by the next, other members may
	// have promised their vote to a new leader.
	handedOver := m.handedOver
	m.handedOver = false
	for _, member := range m.config.Members {
		if member == m.id {
			continue
		}
		m.send(Message{
			Type: MessageVote, To: member, Term: term, Pre: preVote, HandedOver: handedOver,
			LastIndex: m.log.lastIndex(), LastTerm: m.log.lastTerm(),
		})
	}
}

func (m *Member) won() bool { return len(m.votes) >= m.config.majority() }

func (m *Member) advanceCampaign(now time.Duration) {
	if m.preVote {
		m.campaign(now, false)
		return
	}
	m.becomeLeader(now)
}

// stepVote answers a candidate. A member that is bound by a promise gives no vote and doesn't
// adopt the candidate's term either, so that its leader stays in office.
func (m *Member) stepVote(now time.Duration, message Message) {
	bound := now < m.promiseUntil && !message.HandedOver
	if m.role == roleLeader && !m.released {
		_, holding := m.Fence(now)
		bound = bound || holding
	}
	upToDate := message.LastTerm > m.log.lastTerm() ||
		message.LastTerm == m.log.lastTerm() && message.LastIndex >= m.log.lastIndex()
	if message.Pre {
		granted := !bound && upToDate && message.Term > m.term
		reply := Message{Type: MessageVoteReply, To: message.From, Pre: true, Granted: granted, Term: message.Term}
		if !granted {
			// Let the candidate learn this member's term, which may be higher.
			reply.Term = m.term
		}
		m.send(reply)
		return
	}
	if bound {
		return
	}
	if message.Term > m.term {
		m.becomeFollower(message.Term, "")
		m.scheduleCampaign(now, 0)
	}
	granted := message.Term == m.term && upToDate && (m.votedFor == "" || m.votedFor == message.From)
	if granted {
		m.votedFor = message.From
		m.scheduleCampaign(now, m.settings.Heartbeat)
	}
	m.send(Message{Type: MessageVoteReply, To: message.From, Granted: granted})
}

func (m *Member) stepVoteReply(now time.Duration, message Message) {
	wanted := m.term
	if m.preVote {
		wanted++
	}
	if m.role != roleCandidate || message.Pre != m.preVote || message.Term != wanted || !message.Granted {
		return
	}
	m.votes[message.From] = true
	if m.won() {
		m.advanceCampaign(now)
	}
}

func (m *Member) becomeLeader(now time.Duration) {
	m.role = roleLeader
	m.leader = m.id
	m.handedOver = false
	m.released = false
	m.electedAt = now
	m.peers = map[MemberID]*progress{}
	for _, member := range m.config.Members {
		if member != m.id {
			m.peers[member] = &progress{next: m.log.lastIndex() + 1, sentAt: map[uint64]time.Duration{}}
		}
	}
	m.appendCommand(nil)
	m.termStart = m.log.lastIndex()
	m.replicate(now, true)
}

// HandOver transfers leadership: it gives up the lease and tells the most up-to-date follower
// to start an election. It returns false if no follower has answered recently with everything
// committed.
func (m *Member) HandOver(now time.Duration) bool {
	if m.role != roleLeader {
		return false
	}
	var best MemberID
	for member, peer := range m.peers {
		if !peer.acked || now-peer.ackedSentAt > m.settings.Lease || peer.match < m.commit {
			continue
		}
		if best == "" || peer.match > m.peers[best].match || (peer.match == m.peers[best].match && member < best) {
			best = member
		}
	}
	if best == "" {
		return false
	}
	m.released = true
	m.releasedAt = now
	m.send(Message{Type: MessageHandOver, To: best})
	return true
}

// stepHandOver starts an election at once. The leader gave up its lease before it sent the
// message, so promises to it no longer bind anyone.
func (m *Member) stepHandOver(now time.Duration, message Message) {
	if message.Term != m.term || m.role != roleFollower {
		return
	}
	m.promiseUntil = now
	m.handedOver = true
	m.campaign(now, false)
}
