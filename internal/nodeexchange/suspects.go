package nodeexchange

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/quarantine"
)

// maxCrashesPerMessage bounds the crashes in one message: at some 60 bytes each, they stay
// below maxDatagram.
const maxCrashesPerMessage = 150

// SetQuarantine connects the exchange with a quarantine manager: the exchange sends other nodes
// what the manager learns of requests during which workers end (suspects), and gives it what
// other nodes send. It must be called before Run.
func (e *Exchange) SetQuarantine(manager *quarantine.Manager) { e.quarantine = manager }

// ChosenForTrial reports whether this node is the one of all nodes that runs the trials of a
// quarantined request.
func (e *Exchange) ChosenForTrial(request quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.firstRanked("trial "+request.String(), 1, "")[0] == e.peers.address
}

// sendSuspects sends other nodes what this one has learned, until ctx ends.
func (e *Exchange) sendSuspects(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quarantine.DueSignal():
		case <-timer.C:
		}
		records, wait := e.quarantine.Due(time.Now())
		e.reportSuspects(records)
		timer.Reset(wait)
	}
}

// reportSuspects sends records to the supervisors, which combine what several nodes saw. If not
// all nodes are supervisors, a supervisor then broadcasts what all nodes must know.
func (e *Exchange) reportSuspects(records []quarantine.Record) {
	e.mu.Lock()
	supervisors := e.peers.others(e.peers.supervisors())
	e.mu.Unlock()
	for _, message := range e.suspectMessages(records) {
		message.Relayed = true
		e.sendAll(supervisors, message)
	}
	e.broadcastSuspects(records)
}

// broadcastSuspects broadcasts the records that all nodes must know, if this node is a
// supervisor and not all nodes are.
func (e *Exchange) broadcastSuspects(records []quarantine.Record) {
	e.mu.Lock()
	spreads := e.peers.supervises() && e.peers.nodes() > len(e.peers.supervisors())
	e.mu.Unlock()
	if !spreads {
		return
	}
	var shared []quarantine.Record
	for _, record := range records {
		if quarantine.IsShared(record) {
			shared = append(shared, record)
		}
	}
	for _, message := range e.suspectMessages(shared) {
		e.broadcast(message)
	}
}

// suspectMessages returns the messages that hold records, those of parts apart from those of
// requests.
func (e *Exchange) suspectMessages(records []quarantine.Record) []Message {
	var requests, parts []quarantine.Record
	for _, record := range records {
		if record.Fingerprint.IsPart() {
			parts = append(parts, record)
			continue
		}
		requests = append(requests, record)
	}
	var messages []Message
	for _, some := range splitRecords(requests) {
		messages = append(messages, Message{Node: e.node, Suspects: some})
	}
	for _, some := range splitRecords(parts) {
		messages = append(messages, Message{Node: e.node, Suspects: make([]quarantine.Record, 1), PartSuspects: some})
	}
	return messages
}

// splitRecords splits records so that each part fits in one message.
func splitRecords(records []quarantine.Record) [][]quarantine.Record {
	var parts [][]quarantine.Record
	var part []quarantine.Record
	crashes := 0
	for _, record := range records {
		if crashes += len(record.Crashes); crashes > maxCrashesPerMessage && len(part) > 0 {
			parts = append(parts, part)
			part, crashes = nil, len(record.Crashes)
		}
		part = append(part, record)
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}

// receiveSuspects processes the records of another node. Messages without a number were sent to
// supervisors only, which broadcast what changes.
func (e *Exchange) receiveSuspects(from netip.AddrPort, message Message) {
	if e.quarantine == nil {
		return
	}
	changed := e.quarantine.Receive(message.Node, slices.Concat(message.Suspects, message.PartSuspects))
	if message.Sequence == 0 {
		e.broadcastSuspects(changed)
	}
	e.relay(from, message)
}

// shareSuspects sends a node that is heard for the first time, or again after a silence, the
// records that all nodes must know.
func (e *Exchange) shareSuspects(with netip.AddrPort) {
	if e.quarantine == nil {
		return
	}
	for _, message := range e.suspectMessages(e.quarantine.Shared()) {
		message.Relayed = true
		e.sendTo(with, message)
	}
}
