package nodeexchange

import (
	"context"
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/quarantine"
)

// maxCrashesPerMessage bounds the crashes in one message: of some 60 bytes each, they stay below
// maxDatagram.
const maxCrashesPerMessage = 150

// SetQuarantine has the exchange tell what a keeper learns of requests under which workers
// end, and give it what other nodes tell. It is called before Run.
func (e *Exchange) SetQuarantine(keeper *quarantine.Manager) { e.quarantine = keeper }

// ChosenForTrial reports whether this node is the one of all that gives a quarantined request
// its trials.
func (e *Exchange) ChosenForTrial(request quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.firstRanked("trial "+request.String(), 1, "")[0] == e.peers.address
}

// sendSuspects tells other nodes what this one has learned, until ctx ends.
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

// reportSuspects tells the supervisors, which put together what several nodes saw. In a fleet
// whose nodes aren't all supervisors, one of these tells all nodes what they are to know.
func (e *Exchange) reportSuspects(records []quarantine.Record) {
	e.mu.Lock()
	supervisors := e.peers.others(e.peers.supervisors())
	e.mu.Unlock()
	for _, part := range splitRecords(records) {
		e.sendAll(supervisors, Message{Node: e.node, Suspects: part, Relayed: true})
	}
	e.broadcastSuspects(records)
}

// broadcastSuspects tells all nodes of the records that they are to know, if this node is a
// supervisor and others aren't.
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
	for _, part := range splitRecords(shared) {
		e.broadcast(Message{Node: e.node, Suspects: part})
	}
}

// splitRecords divides records so that each part fits a message.
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

// receiveSuspects takes in what another node tells. What was told to supervisors alone is spread
// by them; such messages have no number.
func (e *Exchange) receiveSuspects(from netip.AddrPort, message Message) {
	if e.quarantine == nil {
		return
	}
	changed := e.quarantine.Receive(message.Node, message.Suspects)
	if message.Sequence == 0 {
		e.broadcastSuspects(changed)
	}
	e.relay(from, message)
}

// shareSuspects tells a node that is heard for the first time, or again, what every node is
// to know.
func (e *Exchange) shareSuspects(with netip.AddrPort) {
	if e.quarantine == nil {
		return
	}
	for _, part := range splitRecords(e.quarantine.Shared()) {
		e.sendTo(with, Message{Node: e.node, Suspects: part, Relayed: true})
	}
}
