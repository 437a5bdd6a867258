package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/usage"
)

// askRecords asks the other supervisors that may have other records than this node. Histories
// thus become alike again after messages were lost, and a node that starts or becomes a
// supervisor learns what was recorded before. A former supervisor passes on what it knows in the
// same way.
func (e *Exchange) askRecords() {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	e.pruneRecordsPeers()
	var targets []netip.AddrPort
	if e.peers.supervises() || len(e.usage.records.history.Sums()) > 0 {
		targets = e.peers.presentSupervisors()
	}
	e.mu.Unlock()
	for _, address := range targets {
		e.askRecordsOf(address)
	}
}

// askRecordsOf asks another node, unless this node has all of its records.
func (e *Exchange) askRecordsOf(address netip.AddrPort) {
	e.mu.Lock()
	known, exists := e.peers.peers[address]
	if !exists {
		e.mu.Unlock()
		return
	}
	peer := e.usage.records.peer(address, known.node)
	if !e.usage.records.mayDiffer(peer) && peer.collection.complete() {
		e.mu.Unlock()
		return
	}
	question := e.usage.records.question(peer)
	peer.unanswered++
	// A node that states no generation may run an earlier build. It is told at once, since it
	// doesn't wait for records before it is ready.
	first := peer.unanswered == 1 && !statesGeneration(peer.node)
	unaware := !peer.aware && (first || peer.unanswered == unawareAfter)
	if unaware {
		peer.exchangedAt = time.Now()
	}
	e.mu.Unlock()
	if unaware {
		e.exchangeWithEarlierBuild(address)
	}
	e.sendTo(address, Message{Node: e.node, Records: &recordsMessage{Question: question}})
}

// pruneRecordsPeers drops what this node knows of nodes that are gone. mu must be held.
func (e *Exchange) pruneRecordsPeers() {
	maps.DeleteFunc(e.usage.records.peers, func(address netip.AddrPort, peer *recordsPeer) bool {
		gone := e.peers.peers[address] == nil && time.Since(peer.statedAt) > statedWithin
		if gone {
			e.usage.records.end(peer)
		}
		return gone
	})
}

// exchangeWithEarlierBuild sends a node of an earlier build the records that fit in a message of
// that build, and asks it for its own.
func (e *Exchange) exchangeWithEarlierBuild(address netip.AddrPort) {
	e.sendRecorded(address, e.usage.collector.Recorded(0))
	e.sendRecorded(address, e.usage.records.history.Unconfirmed(0))
	now := e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now()))
	e.sendTo(address, Message{Node: e.node, WantUsage: now - maxWanted})
}

// forgetRecords forgets what a node that leaves knows.
func (e *Exchange) forgetRecords(address netip.AddrPort, node string) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, exists := e.usage.records.peers[address]; exists && known.node == node {
		e.usage.records.end(known)
		delete(e.usage.records.peers, address)
	}
}

// receiveRecords processes a message about records.
func (e *Exchange) receiveRecords(from netip.AddrPort, node string, message recordsMessage) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	e.usage.records.peer(from, node).aware = true
	e.mu.Unlock()
	switch {
	case message.Question != nil:
		e.answerRecords(from, *message.Question)
	case message.Answer != nil:
		e.receiveRecordsAnswer(from, node, message.Answer)
	case message.Want != nil:
		e.sendRecords(from, message.Want)
	case message.Part != nil:
		e.receiveRecordPart(from, node, *message.Part)
	case message.Held != nil:
		e.mu.Lock()
		maps.Copy(e.usage.records.peer(from, node).sums, message.Held)
		e.mu.Unlock()
	}
}

func (e *Exchange) answerRecords(to netip.AddrPort, question recordsQuestion) {
	e.observeEra(question.Era)
	answer := &recordsAnswer{ID: question.ID, State: e.usage.records.state()}
	if question.CountsAfter != nil {
		answer.Messages = e.sendCounts(to, *question.CountsAfter, question.ID)
	}
	if answer.State.Digest != question.Digest {
		answer.Sums = e.usage.records.history.Sums()
	}
	e.sendTo(to, Message{Node: e.node, Records: &recordsMessage{Answer: answer}})
}

// observeEra updates the history with an era that another node knows.
func (e *Exchange) observeEra(era uint64) {
	current := e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now()))
	e.usage.records.history.ObserveEra(era, clock.Boottime(), current)
}

// recordsState returns the state to send to supervisors, nil if usage isn't counted.
func (e *Exchange) recordsState() *recordsState {
	if e.usage == nil {
		return nil
	}
	state := e.usage.records.state()
	return &state
}

// receiveRecordsState compares the records of another supervisor with those of this node, and
// asks for them if they differ.
func (e *Exchange) receiveRecordsState(from netip.AddrPort, node string, state recordsState) {
	if e.usage == nil {
		return
	}
	e.observeEra(state.Era)
	e.mu.Lock()
	peer := e.usage.records.peer(from, node)
	peer.aware, peer.statedAt = true, time.Now()
	matches := e.usage.records.matches(peer, state, clock.Boottime())
	e.confirmRecords()
	e.mu.Unlock()
	if !matches {
		e.askRecordsOf(from)
	}
}

// confirmRecords tells the history since when this node has been in touch with all other
// supervisors, one of which may be the reporter. mu must be held.
func (e *Exchange) confirmRecords() {
	if !e.peers.listed || !e.peers.supervises() {
		return
	}
	oldest := clock.Boottime()
	for _, address := range e.peers.others(e.peers.supervisors()) {
		peer := e.usage.records.peer(address, e.peers.peers[address].node)
		if peer.inTouchAt.Before(oldest) {
			oldest = peer.inTouchAt
		}
	}
	e.usage.records.history.Confirm(oldest)
}

// receiveRecordsAnswer asks for the records that this node lacks, and sends those that the peer
// lacks.
func (e *Exchange) receiveRecordsAnswer(from netip.AddrPort, node string, answer *recordsAnswer) {
	e.observeEra(answer.State.Era)
	e.mu.Lock()
	peer := e.usage.records.peer(from, node)
	extra := e.usage.records.receive(peer, answer)
	want := e.usage.records.want(peer)
	e.mu.Unlock()
	e.askForRecords(from, want)
	e.sendRecords(from, fromFirstPart(extra))
}

func (e *Exchange) askForRecords(from netip.AddrPort, want map[usage.Window]int) {
	if len(want) > 0 {
		e.sendTo(from, Message{Node: e.node, Records: &recordsMessage{Want: want}})
	}
}

func fromFirstPart(windows []usage.Window) map[usage.Window]int {
	wanted := make(map[usage.Window]int, len(windows))
	for _, window := range windows {
		wanted[window] = 0
	}
	return wanted
}

// sendRecords sends records, each from the given part on, newest first.
func (e *Exchange) sendRecords(to netip.AddrPort, wanted map[usage.Window]int) {
	sent := 0
	windows := slices.Sorted(maps.Keys(wanted))
	slices.Reverse(windows)
	for _, window := range windows {
		record, exists := e.usage.records.history.Find(window)
		if !exists {
			continue
		}
		for _, part := range partsOf(window, record) {
			if part.Number < wanted[window] || sent >= maxRecordParts {
				continue
			}
			sent++
			e.sendTo(to, Message{Node: e.node, Records: &recordsMessage{Part: &part}})
		}
	}
}

// receiveRecordPart merges a part of a record. It acknowledges a complete record, and asks for
// more if that was the last one that this node had asked the peer for.
func (e *Exchange) receiveRecordPart(from netip.AddrPort, node string, part recordPart) {
	e.mu.Lock()
	sum, complete := e.usage.records.merge(part)
	peer := e.usage.records.peer(from, node)
	var want map[usage.Window]int
	if complete && peer.wanted[part.Window] {
		delete(peer.wanted, part.Window)
		if len(peer.wanted) == 0 {
			want = e.usage.records.want(peer)
		}
	}
	e.mu.Unlock()
	if complete {
		held := map[usage.Window]uint64{part.Window: sum}
		e.sendTo(from, Message{Node: e.node, Records: &recordsMessage{Held: held}})
	}
	e.askForRecords(from, want)
}
