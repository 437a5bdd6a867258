package replica

import (
	"slices"
	"time"
)

// replicate sends each follower the entries that it lacks. With heartbeat set, followers that
// lack none get an empty append, which renews the lease.
func (m *Member) replicate(now time.Duration, heartbeat bool) {
	if heartbeat {
		m.heartbeatAt = now + m.settings.Heartbeat
	}
	for _, member := range m.config.Members {
		if peer := m.peers[member]; peer != nil {
			if heartbeat {
				m.dropUnanswered(now, peer)
			}
			m.replicateTo(now, member, peer, heartbeat)
		}
	}
}

// dropUnanswered forgets messages that were not answered within a lease, so that a dead
// follower doesn't use ever more memory, and sends unconfirmed entries again.
func (m *Member) dropUnanswered(now time.Duration, peer *progress) {
	forgotten := false
	for round, sentAt := range peer.sentAt {
		if now-sentAt > m.settings.Lease {
			delete(peer.sentAt, round)
			forgotten = true
		}
	}
	if forgotten {
		peer.next = peer.match + 1
	}
}

func (m *Member) replicateTo(now time.Duration, member MemberID, peer *progress, heartbeat bool) {
	if m.released {
		return // an append would renew the follower's promise
	}
	if !m.log.has(peer.next - 1) {
		m.sendSnapshot(now, member, peer)
		return
	}
	entries := m.log.after(peer.next-1, maxEntriesPerMessage)
	if len(entries) == 0 && !heartbeat {
		return
	}
	m.round++
	peer.sentAt[m.round] = now
	m.send(Message{
		Type: MessageAppend, To: member, Round: m.round, Commit: m.commit,
		PrevIndex: peer.next - 1, PrevTerm: m.log.term(peer.next - 1),
		Entries: slices.Clone(entries),
	})
	// Assume that the message arrives. Otherwise a rejection or the next heartbeat causes the
	// entries to be sent again.
	peer.next += uint64(len(entries))
}

// sendSnapshot sends a snapshot to a follower that lacks entries which have been compacted
// away, at most once in a lease.
func (m *Member) sendSnapshot(now time.Duration, member MemberID, peer *progress) {
	if peer.snapshotSentAt > 0 && now-peer.snapshotSentAt < m.settings.Lease {
		return
	}
	peer.snapshotSentAt = now
	m.send(Message{Type: MessageSnapshot, To: member, Snapshot: &Snapshot{
		Term: m.log.term(m.applied), Index: m.applied, Data: m.snapshot(),
	}})
}

// stepAppend appends entries from the leader, and promises not to vote for another member while
// the lease runs.
func (m *Member) stepAppend(now time.Duration, message Message) {
	if message.Term < m.term {
		m.send(Message{Type: MessageAppendReply, To: message.From, Round: message.Round, Rejected: true, Match: m.log.lastIndex()})
		return
	}
	m.acceptLeader(now, message.From)
	reply := Message{Type: MessageAppendReply, To: message.From, Round: message.Round}
	if !m.log.has(message.PrevIndex) || m.log.term(message.PrevIndex) != message.PrevTerm {
		if message.PrevIndex < m.log.snapshotIndex {
			// Everything up to the snapshot is committed, so the logs agree there.
			reply.Match = m.commit
			m.send(reply)
			return
		}
		reply.Rejected = true
		reply.Match = min(m.log.lastIndex(), message.PrevIndex-1)
		m.send(reply)
		return
	}
	m.log.append(message.Entries)
	reply.Match = message.PrevIndex + uint64(len(message.Entries))
	m.commit = max(m.commit, min(message.Commit, reply.Match))
	m.send(reply)
}

func (m *Member) acceptLeader(now time.Duration, leader MemberID) {
	m.role = roleFollower
	m.leader = leader
	m.peers = nil
	m.handedOver = false
	m.promiseUntil = max(m.promiseUntil, now+m.settings.Lease)
	m.scheduleCampaign(now, 0)
}

func (m *Member) stepAppendReply(now time.Duration, message Message) {
	peer := m.peers[message.From]
	if m.role != roleLeader || message.Term != m.term || peer == nil {
		return
	}
	if sentAt, known := peer.sentAt[message.Round]; known {
		peer.ackedSentAt = max(peer.ackedSentAt, sentAt)
		peer.acked = true
		for round := range peer.sentAt {
			if round <= message.Round {
				delete(peer.sentAt, round)
			}
		}
	}
	if message.Rejected {
		peer.next = max(min(message.Match+1, m.log.lastIndex()+1), peer.match+1)
		m.replicateTo(now, message.From, peer, true)
		return
	}
	peer.snapshotSentAt = 0
	if message.Match > peer.match {
		peer.match = message.Match
		m.advanceCommit()
	}
	peer.next = max(peer.next, peer.match+1)
	m.resend(now, message.From, peer)
}

// resend sends again what the follower has not confirmed, once no message to it is unanswered.
func (m *Member) resend(now time.Duration, member MemberID, peer *progress) {
	if len(peer.sentAt) == 0 && peer.match < m.log.lastIndex() {
		peer.next = peer.match + 1
		m.replicateTo(now, member, peer, false)
	}
}

// advanceCommit commits the entries that a majority has. Only entries of the current term are
// counted; earlier ones are committed with them (Raft, section 5.4.2).
func (m *Member) advanceCommit() {
	if m.role != roleLeader {
		return
	}
	matches := make([]uint64, 0, len(m.config.Members))
	matches = append(matches, m.log.lastIndex())
	for _, peer := range m.peers {
		matches = append(matches, peer.match)
	}
	slices.Sort(matches)
	agreed := matches[len(matches)-m.config.majority()]
	if agreed > m.commit && m.log.term(agreed) == m.term {
		m.commit = agreed
	}
}

func (m *Member) stepSnapshot(now time.Duration, message Message) {
	if message.Term < m.term || message.Snapshot == nil {
		return
	}
	m.acceptLeader(now, message.From)
	snapshot := *message.Snapshot
	if snapshot.Index > m.commit {
		if m.log.term(snapshot.Index) == snapshot.Term {
			m.log.compact(snapshot.Index)
		} else {
			m.log.reset(snapshot)
		}
		m.commit, m.applied = snapshot.Index, snapshot.Index
		m.ready.Restore = &snapshot
		m.ready.Entries = nil
	}
	m.send(Message{Type: MessageAppendReply, To: message.From, Match: m.commit})
}
