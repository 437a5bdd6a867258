package digest

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
)

// The figures of a start.
const (
	// askEvery is how long a node that has just started waits for one peer's answer
	// before it asks the next.
	askEvery = 80 * time.Millisecond
	// maxAsked bounds the peers that it asks.
	maxAsked = 4
	// partsPerMessage bounds the parts in one datagram of an answer.
	partsPerMessage = 200
)

// AskMemory asks peers, one after the other, for what they have learned, until one
// has told. It reports whether one did: all may have started just now.
func (e *Exchange) AskMemory(ctx context.Context) bool {
	for range maxAsked {
		if address, known := e.anyPeer(); known {
			e.sendTo(address, Message{Node: e.node, Newborn: true})
		}
		if e.awaitAnswer(ctx) {
			e.SetWarm()
			return true
		}
	}
	return false
}

// awaitAnswer waits for one peer's answer, and reports whether it told anything.
func (e *Exchange) awaitAnswer(ctx context.Context) bool {
	timer := time.NewTimer(askEvery)
	defer timer.Stop()
	select {
	case told := <-e.answers:
		return told
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// SetWarm tells that this node has learned what workers keep, so that it can answer
// others that have just started.
func (e *Exchange) SetWarm() { e.warm.Store(true) }

func (e *Exchange) anyPeer() (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := e.peers.all()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// tellMemory answers a node that has just started, unless this one knows nothing
// either.
func (e *Exchange) tellMemory(to netip.AddrPort) {
	if !e.warm.Load() {
		e.sendTo(to, Message{Node: e.node, Memory: true, Cold: true})
		return
	}
	memory := e.registry.Memory()
	for _, reads := range inMessages(memory.Reads) {
		message := newMessage(e.node, 0, worker.Snapshot{Reads: reads})
		message.Memory = true
		message.Paces = memory.Paces
		e.sendTo(to, message)
	}
}

// inMessages divides reads so that each message holds few enough parts.
func inMessages(reads []worker.Read) [][]worker.Read {
	var messages [][]worker.Read
	for _, read := range reads {
		for parts := read.Parts; len(parts) > 0; {
			count := min(len(parts), partsPerMessage)
			messages = append(messages, []worker.Read{{Worker: read.Worker, Parts: parts[:count]}})
			parts = parts[count:]
		}
	}
	return messages
}

func (e *Exchange) remember(message Message) {
	snapshot, err := message.snapshot()
	if err != nil {
		e.log.WithField("cause", err.Error()).Warn("a malformed digest was dropped")
		return
	}
	e.registry.Remember(worker.Memory{Reads: snapshot.Reads, Paces: message.Paces}, time.Now())
	parts := 0
	for _, read := range snapshot.Reads {
		parts += len(read.Parts)
	}
	e.log.WithFields(logrus.Fields{"node": message.Node, "parts": parts}).Info("another node told what workers keep")
	select {
	case e.answers <- !message.Cold:
	default:
	}
}

func (e *Exchange) sendTo(address netip.AddrPort, message Message) {
	if datagram, ok := e.encode(message); ok {
		_, _ = e.conn.WriteToUDPAddrPort(datagram, address)
	}
}
