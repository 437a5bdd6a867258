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

	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
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
	// maxNews bounds a message of changes.
	maxNews = 8 << 10
	// repeatReads is how many messages tell of the same read or failure.
	repeatReads = 2
	// maxAnswers bounds the answers that wait to be looked at.
	maxAnswers = 64
)

// Board is where the words of nodes on the store's tables come from and go to.
type Board interface {
	Words(now time.Time) []tablerelay.Word
	Take(node, zone string, words []tablerelay.Word, now time.Time)
	TakeNews(news tablefeed.News)
}

// Exchange sends this node's digest to its peers and takes in theirs.
type Exchange struct {
	node, zone string
	registry   *worker.Registry
	// board is nil where no tables are followed.
	board Board
	conn  *net.UDPConn
	log   *logrus.Logger

	mu    sync.Mutex
	peers *peerSet
	// answers tell whether a node that was asked for what it has learned had
	// learned anything.
	answers chan bool
	// warm tells that this node has learned what it can't see for itself.
	warm atomic.Bool
}

// Listen opens the exchange's port.
func Listen(address, node, zone string, registry *worker.Registry, log *logrus.Logger) (*Exchange, error) {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		node: node, zone: zone, registry: registry, conn: conn, log: log,
		peers: newPeerSet(node), answers: make(chan bool, maxAnswers),
	}, nil
}

// SetBoard is called before Run.
func (e *Exchange) SetBoard(board Board) { e.board = board }

// AddPeers adds nodes that the store lists. Others are known from their messages.
func (e *Exchange) AddPeers(listed []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.list(listed)
}

// Nodes returns how many nodes share the limits: this one, those heard lately, and
// those that may only be out of reach.
func (e *Exchange) Nodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for node, silence := range e.peers.silent(time.Now()) {
		e.log.WithFields(logrus.Fields{"node": node, "silent_ms": silence.Milliseconds()}).Warn("node lost")
	}
	return len(e.peers.peers) + 1
}

// Lowest reports whether this node's incarnation is the lowest among those heard
// lately.
func (e *Exchange) Lowest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.lowest()
}

// OldestDigest returns the time since the node that is silent for longest told its
// load, zero where no other node is heard.
func (e *Exchange) OldestDigest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.oldest(time.Now())
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
	var toldChanged tablefeed.Version
	var recent []worker.Snapshot
	for {
		select {
		case <-ctx.Done():
			e.broadcast(Message{Node: e.node, Sequence: sequence + 1, Leaving: true}, true)
			return
		case <-ticker.C:
		}
		version := e.registry.Version()
		atRest := time.Since(last) >= restEvery
		words := e.words()
		changed := lastChange(words)
		if version == sentVersion && len(recent) == 0 && changed == toldChanged && !atRest {
			continue
		}
		snapshot, version := e.registry.Snapshot()
		sequence++
		if atRest {
			last = time.Now()
		}
		recent = remember(recent, snapshot)
		message := newMessage(e.node, sequence, withRecent(snapshot, recent))
		if atRest || changed != toldChanged {
			message.Zone, message.Tables = e.zone, words
		}
		sentVersion, toldChanged = version, changed
		e.broadcast(message, atRest)
	}
}

func (e *Exchange) words() []tablerelay.Word {
	if e.board == nil {
		return nil
	}
	return e.board.Words(time.Now())
}

// lastChange returns the version of the newest change of all tables.
func lastChange(words []tablerelay.Word) tablefeed.Version {
	newest := tablefeed.Version(0)
	for _, word := range words {
		newest = max(newest, word.Changed)
	}
	return newest
}

// SendNews tells the peers of a zone of changes, or all where the zone is empty.
// Changes that are too large for a datagram aren't told: the peers then learn from
// the next digest that there are any, and ask the store.
func (e *Exchange) SendNews(news tablefeed.News, zone string) {
	datagram, err := json.Marshal(Message{Node: e.node, News: &news})
	if err != nil || len(datagram) > maxNews {
		return
	}
	e.mu.Lock()
	addresses := e.peers.addressesIn(zone)
	e.mu.Unlock()
	for _, address := range addresses {
		_, _ = e.conn.WriteToUDPAddrPort(datagram, address)
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

// broadcast sends a message to the peers that are present, and where it is sent at
// rest, to the silent ones too.
func (e *Exchange) broadcast(message Message, atRest bool) {
	datagram, ok := e.encode(message)
	if !ok {
		return
	}
	e.mu.Lock()
	addresses := e.peers.addresses(atRest)
	e.mu.Unlock()
	for _, address := range addresses {
		_, _ = e.conn.WriteToUDPAddrPort(datagram, address)
	}
}

func (e *Exchange) encode(message Message) ([]byte, bool) {
	datagram, err := json.Marshal(message)
	if err != nil || len(datagram) > maxDatagram {
		e.log.WithField("bytes", len(datagram)).Error("a digest is too large and was not sent")
		return nil, false
	}
	return datagram, true
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
		case message.News != nil:
			e.takeNews(*message.News)
		default:
			e.take(from, message)
		}
	}
}

// take merges a message unless a newer one of its sender was merged before.
func (e *Exchange) take(from netip.AddrPort, message Message) {
	snapshot, err := message.snapshot()
	if err != nil {
		e.log.WithField("cause", err.Error()).Warn("a malformed digest was dropped")
		return
	}
	now := time.Now()
	e.mu.Lock()
	first, stale := e.peers.hear(from, message, now)
	e.mu.Unlock()
	if stale {
		return
	}
	if first {
		e.log.WithFields(logrus.Fields{"node": message.Node, "address": from.String()}).Info("node heard for the first time")
	}
	if len(message.Failures) > 0 {
		e.log.WithFields(logrus.Fields{"node": message.Node, "sequence": message.Sequence, "workers": message.Failures}).Info("another node tells of failures")
	}
	e.registry.Merge(message.Node, snapshot, now)
	if e.board != nil && len(message.Tables) > 0 {
		e.board.Take(message.Node, message.Zone, message.Tables, now)
	}
}

func (e *Exchange) takeNews(news tablefeed.News) {
	if e.board != nil {
		e.board.TakeNews(news)
	}
}
