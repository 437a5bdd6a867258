package nodeexchange

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The list of nodes is a table of the store that all nodes follow like the other tables. In a
// large fleet no node greets all others, which would take a million datagrams when a thousand
// nodes start. The order of the rows also determines from which nodes a starting node gets the
// tables: always from nodes that were listed before it.
//
// Which nodes are asked depends on what is wanted: tableSources for a whole table, all of this
// node's zone; storeReaders for the first in rank to read a table from the store; neighbours
// for any nodes that may have a table; announcementSources for announcements.

// Bounds and times of a node's start.
const (
	// sourcesPerZone is the number of nodes of each zone that read tables from the store, those
	// listed first: one of them may be dead.
	sourcesPerZone = 2
	// tableFanOut is the number of nodes to which each node passes the tables on. A small
	// number of levels keeps the wait short, and a small fan-out limits the copies that a node
	// sends over its link: 200 nodes of a zone form four levels, 400 five.
	tableFanOut = 4
	// zoneListTimeout is how long a node waits for the list of its zone's nodes before it reads
	// tables from the store.
	zoneListTimeout = 2 * time.Second
	// maxWithdrawn bounds the withdrawn nodes that are remembered.
	maxWithdrawn = 1000
)

// listing is what a node knows of the list of nodes, apart from its peers.
type listing struct {
	// ownVersion is the version of this node's row, or zero while it hasn't been read.
	ownVersion uint64
	// zoneKnown is closed when the nodes of this node's zone are known.
	zoneKnown chan struct{}
	// withdrawn holds the incarnations of nodes whose rows were deleted, by address, so that
	// messages which they send while they shut down don't add them again.
	withdrawn map[netip.AddrPort]string
}

func newListing() listing {
	return listing{zoneKnown: make(chan struct{}), withdrawn: make(map[netip.AddrPort]string)}
}

func (l *listing) hasWithdrawn(address netip.AddrPort, node string) bool {
	withdrawn, known := l.withdrawn[address]
	return known && withdrawn == node
}

func (l *listing) markZoneKnown() {
	select {
	case <-l.zoneKnown:
	default:
		close(l.zoneKnown)
	}
}

// AddZonePeers adds the nodes that the store lists for this node's zone, before the whole list
// has been read.
func (e *Exchange) AddZonePeers(listed []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.addListed(listed)
	e.peers.listing.markZoneKnown()
}

// Large reports whether the fleet is so large that nodes don't greet each other and no node
// sends a broadcast to all others directly.
func (e *Exchange) Large() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.large()
}

func (s *peerSet) large() bool { return s.nodes() > maxFanOut }

// ReplacePeers replaces the peers by a complete list. Peers that it lacks are removed unless
// they were heard recently.
func (e *Exchange) ReplacePeers(listed []Peer, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.addFullList(listed)
	e.markListed(now)
	held := make(map[netip.AddrPort]bool, len(listed))
	for _, entry := range listed {
		held[entry.Address] = true
	}
	for _, address := range e.peers.all() {
		if !held[address] && e.peers.peers[address].listed > 0 {
			e.peers.drop(address, now)
		}
	}
}

// WithdrawPeers removes nodes whose rows were deleted, because they shut down or are gone for
// good.
func (e *Exchange) WithdrawPeers(addresses []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range addresses {
		known, exists := e.peers.peers[address]
		if !exists {
			continue
		}
		if len(e.peers.listing.withdrawn) >= maxWithdrawn {
			clear(e.peers.listing.withdrawn)
		}
		e.peers.listing.withdrawn[address] = known.node
		e.peers.leave(address, time.Now())
	}
}

// TableProviders returns the nodes to be asked for a whole table, in this order, or none if
// this node is to read it from the store. It waits until the nodes of its zone are known.
func (e *Exchange) TableProviders(ctx context.Context) []netip.AddrPort {
	e.mu.Lock()
	zoneKnown := e.peers.listing.zoneKnown
	e.mu.Unlock()
	timer := time.NewTimer(zoneListTimeout)
	defer timer.Stop()
	select {
	case <-zoneKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.tableSources()
}

// ChangeProviders returns the nodes to be asked for changes of a table, in this order. holders
// are nodes that have announced the changes. Only the nodes that were listed first in the zone
// ask the holders first; the others ask nodes of their zone before them, so that not the whole
// fleet asks the holders.
func (e *Exchange) ChangeProviders(table string, holders []netip.AddrPort) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	holders = holders[:min(len(holders), maxAskedHolders)]
	sources := e.peers.tableSources()
	if len(sources) == 0 {
		return e.peers.others(distinct(slices.Concat(holders, e.peers.storeReaders(table), e.peers.neighbours())))
	}
	near := sources[:1:1]
	if any, found := e.peers.randomNearPeer(); found {
		near = append(near, any)
	}
	return e.peers.others(distinct(slices.Concat(near, holders, sources[1:])))
}

// Neighbours returns some nodes that may have a table already, for a node that is to read it
// from the store: a read from the store may return an older state.
func (e *Exchange) Neighbours() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.neighbours()
}

// neighbours returns the nodes of the zone that were listed first, and a random peer of any
// zone.
func (s *peerSet) neighbours() []netip.AddrPort {
	order := s.listedInZone()
	near := order[:min(len(order), sourcesPerZone):min(len(order), sourcesPerZone)]
	if any, found := s.randomPeer(); found {
		near = append(near, any)
	}
	return distinct(near)
}

// maxAskedHolders bounds the nodes that are asked for changes because they have announced them.
const maxAskedHolders = 2

// distinct returns the addresses without duplicates.
func distinct(addresses []netip.AddrPort) []netip.AddrPort {
	var kept []netip.AddrPort
	for _, address := range addresses {
		if !slices.Contains(kept, address) {
			kept = append(kept, address)
		}
	}
	return kept
}

// tableSources returns the nodes of the zone to be asked for a whole table: the parent in the
// tree that the zone's nodes form by the order of their rows, then the nodes at its root, and a
// random one. Nodes at the root ask nobody: if they waited for other nodes, those might wait
// for them.
func (s *peerSet) tableSources() []netip.AddrPort {
	order := s.listedInZone()
	before := len(order)
	if s.listing.ownVersion > 0 {
		before = slices.IndexFunc(order, func(address netip.AddrPort) bool { return s.peers[address].listed > s.listing.ownVersion })
		if before < 0 {
			before = len(order)
		}
	}
	if before < sourcesPerZone {
		return nil
	}
	sources := []netip.AddrPort{order[(before-sourcesPerZone)/tableFanOut]}
	for _, address := range append(order[:sourcesPerZone:sourcesPerZone], order[rand.IntN(len(order))]) {
		if !slices.Contains(sources, address) {
			sources = append(sources, address)
		}
	}
	return sources
}

// storeReaders returns the node that reads a table from the store for all others, or none
// before the whole list of nodes is known.
func (s *peerSet) storeReaders(table string) []netip.AddrPort {
	if !s.listed {
		return nil
	}
	return s.others(s.firstRanked("table "+table, 1, ""))
}

// listedInZone returns the peers of this node's zone in the order of their rows.
func (s *peerSet) listedInZone() []netip.AddrPort {
	near := slices.DeleteFunc(slices.Collect(maps.Keys(s.peers)), func(address netip.AddrPort) bool {
		known := s.peers[address]
		return known.zone != s.zone || known.listed == 0
	})
	slices.SortFunc(near, func(left, right netip.AddrPort) int {
		return cmp.Compare(s.peers[left].listed, s.peers[right].listed)
	})
	return near
}
