package nodeexchange

import (
	"net/netip"
	"slices"
	"time"
)

// Times of a node's start.
const (
	// hearingTime is how long a starting supervisor listens, once it knows the list of nodes, until
	// it has heard the others that are alive: they send a message each periodicInterval.
	hearingTime = periodicInterval + 100*time.Millisecond
	// maxInformTime is how long after its start a node waits for what other nodes know. It is
	// shorter than a planned stop takes, so a roll of the fleet isn't slowed down.
	maxInformTime = 2 * time.Second
)

// informing is the state of a node's start, in which it learns what the other nodes keep only in
// memory. The exchange's mu guards it.
type informing struct {
	// listedAt is when the list of nodes was first known, zero before.
	listedAt time.Time
	done     bool
}

// Informed reports whether this node has learned what the other nodes keep only in memory: which
// usage windows were recorded. Before that, the nodes that know it must not be stopped. A node
// that can't learn it in maxInformTime counts as informed, as does one that isn't a supervisor.
// Nodes don't wait for levels of quotas: a keeper that has just started asks others.
func (e *Exchange) Informed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.informing.done {
		e.informing.done = e.usage == nil || now.Sub(e.started) >= maxInformTime || e.hasLearned(now)
	}
	return e.informing.done
}

// markListed records when the list of nodes was first known. mu must be held.
func (e *Exchange) markListed(now time.Time) {
	if e.informing.listedAt.IsZero() {
		e.informing.listedAt = now
	}
}

// hasLearned reports whether this node knows the records of the supervisors that it hears, or has
// none to learn. mu must be held.
func (e *Exchange) hasLearned(now time.Time) bool {
	since := e.started
	if e.peers.listed {
		since = e.informing.listedAt
	}
	switch {
	case e.peers.listed && (len(e.peers.peers) == 0 || !e.peers.supervises()):
		return true
	case now.Sub(since) < hearingTime:
		return false
	case len(e.peers.peers) == 0 || !e.peers.supervises():
		return true
	case e.presentPeers() == 0:
		return false
	}
	return !slices.ContainsFunc(e.peers.presentSupervisors(), func(address netip.AddrPort) bool {
		return !e.usage.records.hasRecordsOf(address, e.peers.peers[address].node, now)
	})
}

// hasRecordsOf reports whether this node has the records of a peer, or has waited for them if it
// can't tell.
func (r *recordsExchange) hasRecordsOf(address netip.AddrPort, node string, now time.Time) bool {
	peer := r.peer(address, node)
	if peer.aware {
		return peer.synchronized
	}
	return !peer.exchangedAt.IsZero() && now.Sub(peer.exchangedAt) >= earlierBuildWait
}
