package nodeexchange

import (
	"net/netip"
	"slices"
	"time"
)

// Times of a node's start.
const (
	// hearingTime is how long a starting node listens, once it knows the list of nodes, until it
	// has heard all that are alive: they send a message each periodicInterval.
	hearingTime = periodicInterval + 100*time.Millisecond
	// maxInformTime is how long after its start a node waits for what other nodes know. It is
	// shorter than a planned stop takes, so a roll of the fleet isn't slowed down.
	maxInformTime = 2 * time.Second
)

// informing is the state of a node's start, in which it learns what the other nodes keep only in
// memory. The exchange's mu guards it.
type informing struct {
	// since is when the list of nodes was first known.
	since time.Time
	done  bool
}

// Informed reports whether this node has learned what the other nodes keep only in memory: which
// usage windows were recorded, and how much of the quotas is used. Before that, the nodes that
// know it must not be stopped. A node that can't learn it in maxInformTime counts as informed.
func (e *Exchange) Informed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.informing.done {
		return true
	}
	e.informing.done = now.Sub(e.started) >= maxInformTime || !e.keepsShared() || e.peers.listed && e.hasLearned(now)
	return e.informing.done
}

// markListed records when the list of nodes was first known. mu must be held.
func (e *Exchange) markListed(now time.Time) {
	if e.informing.since.IsZero() {
		e.informing.since = now
	}
}

// keepsShared reports whether this node may keep anything in memory for all nodes: levels of
// quotas, or as a supervisor recorded windows. mu must be held.
func (e *Exchange) keepsShared() bool {
	return e.quota != nil || e.usage != nil && (!e.peers.listed || e.peers.supervises())
}

// hasLearned reports whether this node knows what the nodes that it hears know. mu must be held.
func (e *Exchange) hasLearned(now time.Time) bool {
	if len(e.peers.peers) == 0 {
		return true
	}
	if now.Sub(e.informing.since) < hearingTime || e.presentPeers() == 0 {
		return false
	}
	if e.usage == nil || !e.peers.supervises() {
		return true
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
