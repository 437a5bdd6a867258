package nodeexchange

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/worker"
)

// Intervals and bounds of the exchange.
const (
	// minSendInterval is the shortest time between two load messages. The longer it is, the
	// more requests other nodes place without knowing of this node's load
	// (docs/design/decisions.md).
	minSendInterval = 25 * time.Millisecond
	// periodicInterval is the time between two periodic messages, which are sent even if
	// nothing changes: to the homes of the workers on which this node has load, and among
	// supervisors.
	periodicInterval = 500 * time.Millisecond
	// fullRateFleet is the largest fleet in which each node reports to the supervisors at every
	// periodicInterval. In a larger one the interval grows with the number of nodes, so that a
	// supervisor never receives more messages than from this many nodes.
	fullRateFleet = 240
	// demandLifeIntervals is for how many report intervals a reported demand counts: two
	// messages in a row may be lost.
	demandLifeIntervals = 3
	// maxDatagram is the largest message in bytes.
	maxDatagram = 16 << 10
	// maxPendingMemory bounds the answers that wait to be processed while this node, which has
	// just started, asks its peers what they have learned of the workers.
	maxPendingMemory = 64
)

// Exchange sends this node's messages to its peers and processes theirs. It is safe for
// concurrent use.
type Exchange struct {
	node, zone string
	registry   *worker.Registry
	// coordinator is nil where this node follows no tables.
	coordinator TableCoordinator
	// contents indexes which workers hold the contents that this node is a home of; guarded by
	// mu.
	contents *contentIndex
	// usage is nil where usage isn't counted. Its fields are guarded by mu.
	usage *usageExchange
	// quota is nil where there are no quotas. It has its own lock, which is never held together
	// with mu.
	quota *quotaExchange
	// turns does the same for workers that limit their requests per second.
	turns *quotaExchange
	// quarantine is nil where no requests are quarantined. It has its own lock.
	quarantine *quarantine.Manager
	// origins are the streams of all nodes that this one knows, nil where no streams are continued.
	origins *resumption.Store
	// originQuestions bounds the questions about streams, since any caller can cause them.
	originQuestions *rate.Limiter
	// waits are the requests that wait for engines. It has its own lock, and takes mu while it
	// holds it.
	waits *waitQueue
	conn  *net.UDPConn
	log   *logrus.Logger
	// started is when this exchange was created.
	started time.Time

	mu    sync.Mutex
	peers *peerSet
	// tracked is the last result of TrackedEngines.
	tracked trackedEngines
	// steppedBackUntil is until when this node has stepped back.
	steppedBackUntil time.Time
	// isolatedUntil is until when this node leaves the duties to others because it was isolated.
	isolatedUntil time.Time
	informing     informing
	// pendingQuestions are the questions that wait for answers, by ID.
	pendingQuestions map[uint64]*pendingQuestion
	lastQuestion     uint64
	// broadcasts counts the broadcasts of this node. relayHistory remembers those that it has
	// relayed.
	broadcasts   uint64
	relayHistory relayHistory
	// silenceMonitor records, on a supervisor, which nodes are silent. unlisted holds a token
	// while this node must write its row in the store's list again.
	silenceMonitor silenceMonitor
	unlisted       chan struct{}
	// metrics is nil where messages aren't counted.
	metrics *Metrics
	// roundTrips are the round-trip times to other regions, by region.
	roundTrips map[string]*roundTrip

	// memoryComplete passes on the workers for which a peer's answer to WantMemory is complete.
	memoryComplete chan []string
	// connectsForOthers and isolated are as in SetConnects, nil where links aren't tracked.
	connectsForOthers, isolated func() bool
	done                        chan struct{}

	// delays is used by the receiving goroutine only.
	delays delayEstimator

	// outbox, sequence and lastReport are used by Run's goroutine only. lastReport is when this
	// node last reported to the supervisors.
	outbox     outbox
	sequence   uint64
	lastReport time.Time
}

// Listen opens the UDP port of an exchange.
func Listen(address, node, zone string, registry *worker.Registry, log *logrus.Logger) (*Exchange, error) {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	local, err := netip.ParseAddrPort(conn.LocalAddr().String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	e := &Exchange{
		node: node, zone: zone, registry: registry, conn: conn, log: log,
		started: time.Now(), contents: newContentIndex(),
		peers: newPeerSet(node, local, zone), pendingQuestions: make(map[uint64]*pendingQuestion),
		roundTrips: make(map[string]*roundTrip), silenceMonitor: newSilenceMonitor(), unlisted: make(chan struct{}, 1),
		memoryComplete: make(chan []string, maxPendingMemory), done: make(chan struct{}),
	}
	e.waits = newExchangeWaits(e)
	return e, nil
}

// SetTableCoordinator sets where announcements and news about tables are delivered. It must be
// called before Run.
func (e *Exchange) SetTableCoordinator(coordinator TableCoordinator) { e.coordinator = coordinator }

// Done returns a channel that is closed when Run has ended.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// AddPeers adds the nodes that the store lists. Nodes that it doesn't list yet become known by
// their messages.
func (e *Exchange) AddPeers(listed []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.addFullList(listed)
	e.markListed(time.Now())
}

// Nodes returns the number of nodes among which limits are divided: this one, those heard
// recently, and silent ones that may only be unreachable.
func (e *Exchange) Nodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.nodes()
}

// Designated reports whether this node is the supervisor that is to give orders to workers.
func (e *Exchange) Designated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.designated(e.isStandby(time.Now()))
}

// StepBack makes this node step back for the given time: it is designated only if all other
// supervisors have stepped back too. The next load messages tell the other nodes.
func (e *Exchange) StepBack(span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppedBackUntil = time.Now().Add(span)
}

// SteppedBack reports whether this node has stepped back.
func (e *Exchange) SteppedBack() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.steppedBackUntil)
}

// Resume ends the time for which this node has stepped back.
func (e *Exchange) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppedBackUntil = time.Time{}
}

// OldestDigest returns the time since the last load message of the node that has been silent
// longest, or zero if no other node is present.
func (e *Exchange) OldestDigest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.oldest(time.Now())
}

// Run sends and receives messages until ctx ends, and then tells the peers that this node
// leaves.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	go e.receive()
	go e.runWaits(ctx)
	for _, q := range e.quotas() {
		go q.reportAll(ctx)
	}
	if e.quarantine != nil {
		go e.sendSuspects(ctx)
	}
	e.send(ctx)
	_ = e.conn.Close()
}

// send sends changes as soon as minSendInterval permits, and everything at each
// periodicInterval.
func (e *Exchange) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.announceLeaving()
			return
		case <-e.registry.Changed():
			e.outbox.changed = true
			e.waits.accountsChanged()
		case <-timer.C:
		}
		timer.Reset(e.tick(time.Now()))
	}
}

// tick sends what is due, and returns the time until something may be due again.
func (e *Exchange) tick(now time.Time) time.Duration {
	due, periodic := e.outbox.due(now)
	if !due {
		return e.outbox.untilDue(now)
	}
	reports := periodic && now.Sub(e.lastReport) >= reportInterval(e.Nodes())
	if reports {
		e.lastReport = now
	}
	e.sendLoads(now, periodic, reports)
	if reports {
		e.sendUsage(now)
	}
	if periodic {
		e.askRecords()
	}
	return e.outbox.untilDue(now)
}

// reportInterval returns the time between two reports of a node to the supervisors, by the size
// of the fleet.
func reportInterval(nodes int) time.Duration {
	return periodicInterval * time.Duration(max(nodes, fullRateFleet)) / fullRateFleet
}

// sendLoads sends each home of a changed worker what this node has placed on that home's
// workers. A periodic message goes to the homes of all workers on which this node has placed
// anything. A report goes to the supervisors too, and to peers that may not know this node.
func (e *Exchange) sendLoads(now time.Time, periodic, reports bool) {
	snapshot := e.registry.Snapshot()
	e.outbox.add(snapshot)
	snapshot.CacheUpdates, snapshot.Failures = e.outbox.next(now, periodic)
	snapshot.Streams = e.outbox.nextStreams(periodic)
	e.sequence++
	base := Message{Node: e.node, Sequence: e.sequence}
	if periodic {
		e.updateIsolated(now)
		base.Connects = e.connectsNow()
	}
	e.mu.Lock()
	if periodic && e.peers.supervises() {
		base.RecordsState = e.recordsState()
	}
	if reports {
		base.Zone = e.zone
		e.logSilent(now)
	} else {
		snapshot.Demand, snapshot.RegionDemand = nil, nil // it changes slowly, so that reports suffice
	}
	base.SteppedBack = e.isStandby(now)
	workersByRecipient, supervisors := e.workersByRecipient(snapshot, periodic, reports), e.peers.supervisors()
	e.mu.Unlock()
	e.sendSnapshot(workersByRecipient, supervisors, snapshot, base)
	e.sendContents(snapshot.CacheUpdates, now)
}

// logSilent logs the nodes that have become silent. Only supervisors log them, since only they
// hear from all nodes.
func (e *Exchange) logSilent(now time.Time) {
	lost := e.peers.markSilent(now)
	if !e.peers.supervises() {
		return
	}
	for node, silence := range lost {
		e.log.WithFields(logrus.Fields{"node": node, "silent_ms": silence.Milliseconds()}).Warn("node lost")
	}
}

// workersByRecipient returns the nodes that are to get a load message, each with the workers
// that the message is to cover.
func (e *Exchange) workersByRecipient(snapshot worker.Snapshot, periodic, reports bool) map[netip.AddrPort][]string {
	ids := workersIn(snapshot)
	recipients := make(map[netip.AddrPort][]string)
	for _, id := range ids {
		if periodic || snapshot.Concerns(id) {
			for _, home := range e.peers.homes(id) {
				recipients[home] = nil
			}
		}
	}
	if reports {
		for _, address := range e.reportTargets() {
			recipients[address] = nil
		}
	}
	if periodic && e.peers.supervises() {
		for _, address := range e.peers.supervisors() {
			recipients[address] = nil
		}
	}
	delete(recipients, e.peers.address)
	for _, id := range ids {
		for _, home := range e.peers.homes(id) {
			if workers, isRecipient := recipients[home]; isRecipient {
				recipients[home] = append(workers, id)
			}
		}
	}
	return recipients
}

// reportTargets returns the nodes that get a report whether or not this node has load: the
// peers to be greeted, the supervisors, and a random peer.
func (e *Exchange) reportTargets() []netip.AddrPort {
	targets := append(e.peers.greetTargets(time.Now()), e.peers.supervisors()...)
	if any, found := e.peers.randomPeer(); found {
		targets = append(targets, any)
	}
	return targets
}

// datagramKey identifies a datagram: nodes that are told of the same workers get the same one,
// but only supervisors get the demand by region.
type datagramKey struct {
	workers    string
	supervisor bool
}

// sendSnapshot sends each node its part of a snapshot. Only supervisors get the state of the
// usage records, and the demand by region, which is long and used for planning only.
func (e *Exchange) sendSnapshot(workersByRecipient map[netip.AddrPort][]string, supervisors []netip.AddrPort, snapshot worker.Snapshot, base Message) {
	datagrams := make(map[datagramKey][]byte)
	for address, workers := range workersByRecipient {
		key := datagramKey{strings.Join(workers, " "), slices.Contains(supervisors, address)}
		datagram, rendered := datagrams[key]
		if !rendered {
			part, message := snapshot.ForWorkers(workers), base
			if !key.supervisor {
				message.RecordsState, part.RegionDemand = nil, nil
			}
			datagram = e.encode(newMessage(message, part))
			datagrams[key] = datagram
		}
		e.write(kindLoad, datagram, address)
	}
}

// announceLeaving tells the peers that this node shuts down.
func (e *Exchange) announceLeaving() {
	e.sendUsage(time.Now())
	for _, q := range e.quotas() {
		q.reportChanged(time.Now())
	}
	e.mu.Lock()
	targets, large := e.peers.all(), e.peers.large()
	if large {
		targets = e.peers.others(e.peers.supervisors())
	}
	e.mu.Unlock()
	e.sendAll(targets, Message{Node: e.node, Sequence: e.sequence + 1, Leaving: true})
	if large {
		// Only the supervisors got the message above. The node's row is already removed from
		// the store's list, unless the store was unreachable.
		e.broadcast(Message{Node: e.node, Departed: []netip.AddrPort{e.peers.address}})
	}
}

func (e *Exchange) sendAll(addresses []netip.AddrPort, message Message) {
	if len(addresses) == 0 {
		return
	}
	datagram, kind := e.encode(message), message.kind()
	for _, address := range addresses {
		e.write(kind, datagram, address)
	}
}

func (e *Exchange) sendTo(address netip.AddrPort, message Message) {
	e.write(message.kind(), e.encode(message), address)
}

// write sends a datagram. Errors are ignored since a datagram may be lost anyway: what matters
// is sent again in the next periodic message.
func (e *Exchange) write(kind string, datagram []byte, address netip.AddrPort) {
	if len(datagram) == 0 {
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(datagram, address)
	if e.metrics != nil {
		e.metrics.sent(kind, e.distanceTo(address), len(datagram))
	}
}

// encode encodes a message. It returns nil if the message can't be encoded or is too large.
func (e *Exchange) encode(message Message) []byte {
	datagram, err := json.Marshal(message)
	if err != nil {
		e.log.WithError(err).Error("a message to other nodes can't be encoded and was not sent")
		return nil
	}
	if len(datagram) > maxDatagram {
		e.log.WithFields(logrus.Fields{"bytes": len(datagram), "kind": message.kind()}).Error("a message to other nodes is too large and was not sent")
		return nil
	}
	return datagram
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message, err := decode(buffer[:count])
		if err != nil {
			e.logMalformed(from, err)
			continue
		}
		e.handle(from, message)
	}
}

func (e *Exchange) logMalformed(from netip.AddrPort, err error) {
	e.log.WithFields(logrus.Fields{"from": from.String(), "cause": err.Error()}).Warn("a malformed message of another node was dropped")
}

func (e *Exchange) handle(from netip.AddrPort, message Message) {
	switch {
	case message.Question != nil:
		e.answer(from, message.Node, *message.Question)
	case message.Reply != nil:
		e.receiveReply(from, message.Node, *message.Reply)
	case message.Contents != nil:
		e.receiveContents(from, message.Contents)
	case message.Usage != nil:
		e.receiveUsage(from, message)
	case message.UsageReply != nil:
		e.receiveUsageReply(from, *message.UsageReply)
	case message.WantUsage != 0:
		e.sendGathered(from, message.WantUsage)
	case message.Gathered != nil:
		e.receiveGathered(from, message.Node, *message.Gathered)
	case message.Records != nil:
		e.receiveRecords(from, message.Node, *message.Records)
	case message.Quota != nil:
		if e.quota != nil {
			e.quota.receive(from, message.Node, *message.Quota)
		}
	case message.Turns != nil:
		if e.turns != nil {
			e.turns.receive(from, message.Node, *message.Turns)
		}
	case message.Waits != nil:
		e.waits.receive(from, message.Node, *message.Waits, time.Now())
	case message.WantMemory != nil:
		e.sendMemory(from, message.WantMemory)
	case message.Memory:
		e.receiveMemory(from, message)
	case message.News != nil:
		e.receiveNews(from, message)
	case message.WantAnnouncements:
		e.sendAnnouncements(from)
	case message.Announcements != nil:
		e.receiveAnnouncements(from, message)
	case message.Departed != nil:
		e.receiveDeparted(message, time.Now())
		e.relay(from, message)
	case message.Suspects != nil:
		e.receiveSuspects(from, message)
	default:
		e.receiveLoads(from, message)
	}
}

// receiveLoads merges a load message unless a newer one of the same sender was merged before.
func (e *Exchange) receiveLoads(from netip.AddrPort, message Message) {
	snapshot, err := message.snapshot()
	if err != nil {
		e.logMalformed(from, err)
		return
	}
	now := time.Now()
	snapshot.DemandLife = demandLifeIntervals * reportInterval(e.Nodes())
	if message.Leaving {
		for _, q := range e.quotas() {
			q.left(message.Node)
		}
		e.forgetRecords(from, message.Node)
	}
	e.mu.Lock()
	first, stale := e.peers.recordMessage(from, message, now)
	supervises := e.peers.supervises()
	if e.usage != nil && !statesGeneration(message.Node) {
		e.usage.earlierBuildHeard = true
	}
	e.mu.Unlock()
	if stale {
		return
	}
	if first {
		e.notifyReturned(from)
		e.shareSuspects(from)
		e.shareLimits(from)
		e.shareDraining(from)
		e.askRecords()
	}
	if first && supervises {
		e.log.WithFields(logrus.Fields{"node": message.Node, "address": from.String()}).Info("node heard for the first time")
	}
	if message.RecordsState != nil {
		e.receiveRecordsState(from, message.Node, *message.RecordsState)
	}
	if len(message.Failures) > 0 {
		e.log.WithFields(logrus.Fields{"node": message.Node, "sequence": message.Sequence, "workers": message.Failures}).Info("another node tells of failures")
	}
	e.registry.Merge(message.Node, snapshot, now)
	e.waits.accountsChanged()
	e.receiveLimits(message.Node, message.Limits, now)
	e.receiveDraining(message.Node, message.Draining, now)
	e.registry.MergeHostStatements(parseSlowdowns(message.Slowdowns, now))
	e.registry.MergeReadings(parseReadings(message.Readings))
	e.receiveStreams(from, message.Streams, now)
}
