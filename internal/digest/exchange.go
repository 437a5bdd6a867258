package digest

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
)

// The figures of the exchange.
const (
	// sendEvery is the time between two looks for something to send.
	sendEvery = 50 * time.Millisecond
	// restEvery is the time between two messages when nothing changes.
	restEvery = 500 * time.Millisecond
	// peerLife is how long a silent node counts as one that takes requests.
	peerLife = 3 * time.Second
	// maxDatagram bounds a message.
	maxDatagram = 16 << 10
	// repeatReads is how many messages tell of the same read or failure.
	repeatReads = 2
	// maxAnswers bounds the answers that wait to be looked at.
	maxAnswers = 64
)

// Peer is another node.
type Peer struct {
	// Node is its incarnation.
	Node    string
	Address netip.AddrPort
}

// Exchange sends this node's digest to its peers and takes in theirs.
type Exchange struct {
	node     string
	registry *worker.Registry
	conn     *net.UDPConn
	log      *logrus.Logger

	mu    sync.Mutex
	peers map[string]Peer
	heard map[string]heard
	// answers tell whether a node that was asked for what it has learned had
	// learned anything.
	answers chan bool
	// warm tells that this node has learned what it can't see for itself.
	warm atomic.Bool
}

type heard struct {
	sequence uint64
	at       time.Time
}

// Listen opens the exchange's port.
func Listen(address, node string, registry *worker.Registry, log *logrus.Logger) (*Exchange, error) {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		node: node, registry: registry, conn: conn, log: log,
		peers: make(map[string]Peer), heard: make(map[string]heard),
		answers: make(chan bool, maxAnswers),
	}, nil
}

// SetPeers replaces the list of other nodes.
func (e *Exchange) SetPeers(peers []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.peers)
	for _, peer := range peers {
		if peer.Node != e.node {
			e.peers[peer.Node] = peer
		}
	}
}

// Nodes returns how many nodes share the limits: this one and those heard lately.
func (e *Exchange) Nodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 1
	for node, last := range e.heard {
		if silent := time.Since(last.at); silent > peerLife {
			delete(e.heard, node)
			e.log.WithFields(logrus.Fields{"node": node, "silent_ms": silent.Milliseconds()}).Warn("node lost")
			continue
		}
		count++
	}
	return max(count, len(e.peers)+1)
}

// Lowest reports whether this node's incarnation is the lowest among those heard
// lately.
func (e *Exchange) Lowest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for node, last := range e.heard {
		if time.Since(last.at) <= peerLife && node < e.node {
			return false
		}
	}
	return true
}

// OldestDigest returns the time since the node that is silent for longest told its
// load, zero where no other node is heard.
func (e *Exchange) OldestDigest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := time.Duration(0)
	for _, last := range e.heard {
		oldest = max(oldest, time.Since(last.at))
	}
	return oldest
}

// Run sends and receives until ctx ends, and then says that the node leaves.
func (e *Exchange) Run(ctx context.Context) {
	go e.receive()
	e.send(ctx)
	_ = e.conn.Close()
}

func (e *Exchange) send(ctx context.Context) {
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	var sequence, sentVersion uint64
	var last time.Time
	var recent []worker.Snapshot
	for {
		select {
		case <-ctx.Done():
			e.broadcast(Message{Node: e.node, Sequence: sequence + 1, Leaving: true})
			return
		case <-ticker.C:
		}
		version := e.registry.Version()
		if version == sentVersion && len(recent) == 0 && time.Since(last) < restEvery {
			continue
		}
		snapshot, version := e.registry.Snapshot()
		sequence++
		sentVersion, last = version, time.Now()
		recent = remember(recent, snapshot)
		e.broadcast(newMessage(e.node, sequence, withRecent(snapshot, recent)))
	}
}

// remember keeps the snapshots whose reads and failures are told once more.
func remember(recent []worker.Snapshot, snapshot worker.Snapshot) []worker.Snapshot {
	recent = append(recent, snapshot)
	if len(recent) > repeatReads {
		recent = recent[len(recent)-repeatReads:]
	}
	for _, kept := range recent {
		if len(kept.Reads) > 0 {
			return recent
		}
	}
	return nil
}

// withRecent adds the reads of earlier messages, of which one may have been lost.
// Failures are told once: telling them twice would count them twice.
func withRecent(snapshot worker.Snapshot, recent []worker.Snapshot) worker.Snapshot {
	var reads []worker.Read
	for _, kept := range recent {
		reads = append(reads, kept.Reads...)
	}
	snapshot.Reads = reads
	return snapshot
}

func (e *Exchange) broadcast(message Message) {
	datagram, err := json.Marshal(message)
	if err != nil || len(datagram) > maxDatagram {
		e.log.WithField("bytes", len(datagram)).Error("a digest is too large and was not sent")
		return
	}
	e.mu.Lock()
	peers := make([]Peer, 0, len(e.peers))
	for _, peer := range e.peers {
		peers = append(peers, peer)
	}
	e.mu.Unlock()
	for _, peer := range peers {
		_, _ = e.conn.WriteToUDPAddrPort(datagram, peer.Address)
	}
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
			e.log.WithField("cause", err.Error()).Warn("a malformed digest was dropped")
			continue
		}
		switch {
		case message.Newborn:
			e.tellMemory(from)
		case message.Memory:
			e.remember(message)
		default:
			e.take(message)
		}
	}
}

// take merges a message unless a newer one of its sender was merged before.
func (e *Exchange) take(message Message) {
	snapshot, err := message.snapshot()
	if err != nil {
		e.log.WithField("cause", err.Error()).Warn("a malformed digest was dropped")
		return
	}
	now := time.Now()
	e.mu.Lock()
	last, known := e.heard[message.Node]
	stale := known && message.Sequence <= last.sequence
	if !stale {
		e.heard[message.Node] = heard{sequence: message.Sequence, at: now}
	}
	if message.Leaving {
		delete(e.heard, message.Node)
		delete(e.peers, message.Node)
	}
	e.mu.Unlock()
	if !known && !message.Leaving {
		e.log.WithField("node", message.Node).Info("node heard for the first time")
	}
	if len(message.Failures) > 0 {
		e.log.WithFields(logrus.Fields{"node": message.Node, "sequence": message.Sequence, "workers": message.Failures}).Info("another node tells of failures")
	}
	if !stale {
		e.registry.Merge(message.Node, snapshot, now)
	}
}
