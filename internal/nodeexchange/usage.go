package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/usage"
)

// wireUsage is an encoded usage.Delta.
type wireUsage struct {
	After   uint64       `json:"a"`
	Through uint64       `json:"t"`
	Closed  usage.Window `json:"c"`
	// Counts holds the counts by window and tenant.
	Counts map[usage.Window]map[string]int `json:"w,omitempty"`
}

// usageReply is an encoded usage.Reply.
type usageReply struct {
	Through uint64       `json:"t"`
	Closed  usage.Window `json:"c"`
}

// wireGathered is a part of the counts that a supervisor has gathered of one incarnation of a
// node.
type wireGathered struct {
	Node   string                          `json:"n"`
	Counts map[usage.Window]map[string]int `json:"w"`
	// Recorded are windows as they were recorded. Such a message holds nothing else.
	Recorded map[usage.Window]usage.Counts `json:"r,omitempty"`
	// Question is the ID of the recordsQuestion that the message answers. Earlier builds don't
	// know it.
	Question uint64 `json:"q,omitempty"`
}

// maxGathered bounds the entries in one message with gathered counts.
const maxGathered = 300

func renderCounts(entries []usage.Entry) map[usage.Window]map[string]int {
	var counts map[usage.Window]map[string]int
	for _, entry := range entries {
		if counts == nil {
			counts = make(map[usage.Window]map[string]int)
		}
		if counts[entry.Window] == nil {
			counts[entry.Window] = make(map[string]int)
		}
		counts[entry.Window][entry.Tenant] = entry.Count
	}
	return counts
}

func parseCounts(counts map[usage.Window]map[string]int) []usage.Entry {
	var entries []usage.Entry
	for window, tenants := range counts {
		for tenant, count := range tenants {
			entries = append(entries, usage.Entry{Window: window, Tenant: tenant, Count: count})
		}
	}
	return entries
}

// usageExchange is this node's part in the exchange of usage counts.
type usageExchange struct {
	tally     *usage.Tally
	collector *usage.Collector
	// sentThrough holds for each supervisor the last change that was sent to it.
	sentThrough map[netip.AddrPort]uint64
	// acknowledged is the newest closed window for which a supervisor has all counts of this
	// node.
	acknowledged usage.Window
	records      recordsExchange
	// earlierBuildHeard tells that a load message came from a node that states no generation.
	earlierBuildHeard bool
}

// SetUsage lets the exchange send this node's counts to the supervisors and gather those of
// other nodes. It must be called before Run.
func (e *Exchange) SetUsage(tally *usage.Tally, collector *usage.Collector) {
	e.usage = &usageExchange{tally: tally, collector: collector, sentThrough: make(map[netip.AddrPort]uint64), records: newRecordsExchange(collector.History())}
}

// UsageAcknowledged returns the newest closed window for which a supervisor, which may be this
// node, has all that this node counted.
func (e *Exchange) UsageAcknowledged() usage.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers.supervises() && (len(e.peers.peers) == 0 || e.presentPeers() > 0) {
		return e.usage.tally.WindowLength().WindowAt(e.usage.tally.Now(time.Now()))
	}
	return e.usage.acknowledged
}

// presentPeers returns the number of other nodes that are present.
func (e *Exchange) presentPeers() int {
	count := 0
	for _, known := range e.peers.peers {
		if known.present {
			count++
		}
	}
	return count
}

// sendUsage sends the supervisors what this node has counted since the last message to each.
func (e *Exchange) sendUsage(now time.Time) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	targets := make(map[netip.AddrPort]uint64)
	for _, address := range e.peers.supervisors() {
		if address != e.peers.address {
			targets[address] = e.usage.sentThrough[address]
		}
	}
	e.mu.Unlock()
	for address, after := range targets {
		delta := e.usage.tally.Since(after, now)
		form := &wireUsage{After: delta.After, Through: delta.Through, Closed: delta.Closed, Counts: renderCounts(delta.Entries)}
		e.sendTo(address, Message{Node: e.node, Usage: form})
		e.mu.Lock()
		e.usage.sentThrough[address] = delta.Through
		e.mu.Unlock()
	}
}

// receiveUsage processes what another node has counted.
func (e *Exchange) receiveUsage(from netip.AddrPort, message Message) {
	if e.usage == nil {
		return
	}
	form := message.Usage
	delta := usage.Delta{After: form.After, Through: form.Through, Closed: form.Closed, Entries: parseCounts(form.Counts)}
	reply, wanted := e.usage.collector.MergeDelta(message.Node, delta)
	if wanted {
		e.sendTo(from, Message{Node: e.node, UsageReply: &usageReply{Through: reply.Through, Closed: reply.Closed}})
	}
}

// receiveUsageReply records which counts of this node a supervisor has.
func (e *Exchange) receiveUsageReply(from netip.AddrPort, reply usageReply) {
	if e.usage == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage.sentThrough[from] = min(e.usage.sentThrough[from], reply.Through)
	e.usage.acknowledged = max(e.usage.acknowledged, reply.Closed)
}

// TellRecorded implements usage.Fleet.
func (e *Exchange) TellRecorded(recorded map[usage.Window]usage.Counts) {
	e.mu.Lock()
	addresses := e.recordReplicas()
	e.mu.Unlock()
	wanted := fromFirstPart(slices.Collect(maps.Keys(recorded)))
	for _, address := range addresses {
		e.sendRecords(address, wanted)
		if !e.sendsRecords(address) {
			e.sendRecorded(address, recorded)
		}
	}
}

// statedWithin is how long after its last recordsState a node is waited for. It is longer than a
// node counts itself in touch with the reporter (usage.History).
const statedWithin = 2 * time.Second

// recordReplicas returns the nodes that are to have all records: the supervisors, and other nodes
// that take themselves for supervisors because they know of other nodes than this one. mu must
// be held.
func (e *Exchange) recordReplicas() []netip.AddrPort {
	addresses := e.peers.others(e.peers.supervisors())
	for address, peer := range e.usage.records.peers {
		if time.Since(peer.statedAt) < statedWithin && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Lacking implements usage.Fleet. Supervisors of earlier builds, which confirm nothing, aren't
// among them.
func (e *Exchange) Lacking(window usage.Window) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	record, exists := e.usage.records.history.Find(window)
	if !exists {
		return nil
	}
	sum := record.Counts.Sum()
	present := e.peers.presentSupervisors()
	var lacking []string
	for _, address := range e.recordReplicas() {
		peer, exists := e.usage.records.peers[address]
		waited := exists && (slices.Contains(present, address) || time.Since(peer.statedAt) < statedWithin)
		if waited && peer.aware && peer.sums[window] != sum {
			lacking = append(lacking, peer.node)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// sendsRecords reports whether a node is known to send records itself, as earlier builds don't.
func (e *Exchange) sendsRecords(address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, exists := e.usage.records.peers[address]
	return exists && known.aware
}

// sendRecorded sends recorded windows in the form of earlier builds. It omits a window with more
// tenants than fit in a message: those builds would take a part of it for the whole record.
func (e *Exchange) sendRecorded(to netip.AddrPort, recorded map[usage.Window]usage.Counts) {
	for window, counts := range recorded {
		if len(counts) <= maxGathered {
			recorded := map[usage.Window]usage.Counts{window: counts}
			e.sendTo(to, Message{Node: e.node, Gathered: &wireGathered{Recorded: recorded}})
		}
	}
}

// earlierBuildWait is how long to wait for a supervisor of an earlier build, whose answers don't
// tell when they are complete.
const earlierBuildWait = 150 * time.Millisecond

// GatherUsage implements usage.Fleet. The question is repeated until it is answered.
func (e *Exchange) GatherUsage(after usage.Window) {
	for _, address := range e.collect(&after) {
		e.sendTo(address, Message{Node: e.node, WantUsage: after})
	}
}

// GatherRecords implements usage.Fleet.
func (e *Exchange) GatherRecords() { e.collect(nil) }

// collect asks the other supervisors for their records, and for the counts of the windows after
// the given one unless it is nil. It returns those that may be of an earlier build.
func (e *Exchange) collect(after *usage.Window) (unaware []netip.AddrPort) {
	e.mu.Lock()
	e.usage.records.collectingSince = time.Now()
	for _, address := range e.peers.presentSupervisors() {
		peer := e.usage.records.peer(address, e.peers.peers[address].node)
		asked := after
		if asked == nil && !peer.collection.complete() {
			asked = peer.collection.after
		}
		peer.collection = &collection{after: asked, expected: -1}
		if !peer.aware {
			unaware = append(unaware, address)
		}
	}
	e.mu.Unlock()
	e.askRecords()
	return unaware
}

// Unanswered implements usage.Fleet.
func (e *Exchange) Unanswered() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unanswered []string
	for _, address := range e.peers.presentSupervisors() {
		peer := e.usage.records.peer(address, e.peers.peers[address].node)
		waiting := time.Since(e.usage.records.collectingSince) < earlierBuildWait
		if peer.aware {
			waiting = !peer.collection.complete()
		}
		if waiting {
			unanswered = append(unanswered, peer.node)
		}
	}
	return unanswered
}

// Unreached implements usage.Fleet.
func (e *Exchange) Unreached() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := e.peers.presentSupervisors()
	var unreached []string
	for _, address := range e.peers.others(e.peers.supervisors()) {
		peer := e.usage.records.peer(address, e.peers.peers[address].node)
		if !peer.aware || !slices.Contains(present, address) {
			unreached = append(unreached, peer.node)
		}
	}
	return unreached
}

// EarlierBuildHeard implements usage.Fleet.
func (e *Exchange) EarlierBuildHeard() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage.earlierBuildHeard
}

// sendGathered answers a supervisor of an earlier build.
func (e *Exchange) sendGathered(to netip.AddrPort, after usage.Window) {
	if e.usage == nil {
		return
	}
	if !e.sendsRecords(to) {
		e.sendRecorded(to, e.usage.collector.Recorded(after))
		e.sendRecorded(to, e.usage.collector.History().Unconfirmed(after))
	}
	e.sendCounts(to, after, 0)
}

// sendCounts sends the collected counts of the windows after the given one, and returns the
// number of messages.
func (e *Exchange) sendCounts(to netip.AddrPort, after usage.Window, question uint64) int {
	messages := 0
	for node, entries := range e.usage.collector.EntriesAfter(after) {
		for len(entries) > 0 {
			count := min(len(entries), maxGathered)
			e.sendTo(to, Message{Node: e.node, Gathered: &wireGathered{Node: node, Counts: renderCounts(entries[:count]), Question: question}})
			entries = entries[count:]
			messages++
		}
	}
	return messages
}

func (e *Exchange) receiveGathered(from netip.AddrPort, node string, gathered wireGathered) {
	if e.usage != nil && gathered.Question != 0 {
		e.mu.Lock()
		if known := e.usage.records.peer(from, node).collection; known != nil && known.question == gathered.Question {
			known.received++
		}
		e.mu.Unlock()
	}
	switch {
	case e.usage == nil:
	case gathered.Recorded != nil:
		e.usage.collector.History().MergeUnconfirmed(gathered.Recorded) // this form is that of earlier builds
	default:
		e.usage.collector.MergeEntries(gathered.Node, parseCounts(gathered.Counts))
	}
}

// Members implements usage.Fleet.
func (e *Exchange) Members() []usage.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	members := make([]usage.Member, 0, len(e.peers.peers))
	for _, known := range e.peers.peers {
		heard := known.heard
		if heard.IsZero() {
			heard = e.started
		}
		members = append(members, usage.Member{Node: known.node, Silent: now.Sub(heard)})
	}
	return members
}
