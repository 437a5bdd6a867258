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

// The list of nodes is a table of the store that all nodes follow as they follow the others:
// in a large fleet nobody greets all others, which would be a million datagrams at a start
// of a thousand nodes. The order of its rows also is the order in which nodes that start
// get the tables: each from one that was listed before it.

// The figures of a start.
const (
	// sourcesPerZone is the number of nodes of a zone, those listed first, that read tables at
	// the store: one may be dead.
	sourcesPerZone = 2
	// tableFanOut is the number of nodes to which each gives the tables, so that a node
	// has to wait for few before it while each sends few copies over its link: 200 nodes of
	// a zone are four deep, 400 five.
	tableFanOut = 4
	// zoneListTimeout is how long a node waits to learn of its neighbours before it goes to the
	// store.
	zoneListTimeout = 2 * time.Second
	// maxWithdrawn bounds the nodes that are remembered to have withdrawn.
	maxWithdrawn = 1000
)

// listing is what a node knows of the list of nodes beyond its peers.
type listing struct {
	// ownVersion is the version of this node's row, zero where it wasn't read yet.
	ownVersion uint64
	// zoneKnown is closed when the nodes of the own zone are known.
	zoneKnown chan struct{}
	// withdrawn are nodes whose rows were taken away, by their incarnation: what they send
	// while they stop doesn't bring them back.
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

// AddZonePeers adds the nodes of this node's zone that the store lists, before all nodes are
// known.
func (e *Exchange) AddZonePeers(listed []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.addListed(listed)
	e.peers.listing.markZoneKnown()
}

// Large reports whether the fleet is so large that nodes don't greet each other, and no node
// tells all others by itself.
func (e *Exchange) Large() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.large()
}

func (s *peerSet) large() bool { return s.nodes() > maxFanOut }

// ReplacePeers takes over the whole list: peers that it doesn't hold are forgotten, unless
// they were heard lately.
func (e *Exchange) ReplacePeers(listed []Peer, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.addFullList(listed)
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

// WithdrawPeers forgets nodes whose rows were taken away: they stop, or are gone for good.
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
		e.peers.remove(address)
	}
}

// Givers returns the nodes to be asked for a whole table, the first first, and none where this
// node is to read it at the store. It waits until the nodes of its zone are known.
func (e *Exchange) Givers(ctx context.Context) []netip.AddrPort {
	e.mu.Lock()
	near := e.peers.listing.zoneKnown
	e.mu.Unlock()
	timer := time.NewTimer(zoneListTimeout)
	defer timer.Stop()
	select {
	case <-near:
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.tableSources()
}

// ChangeGivers returns the nodes to be asked for changes of a table, the first first. holders
// are nodes that have told of them; those that are first in the zone ask these, and the others
// after the nodes of the zone, so that not a whole fleet asks them.
func (e *Exchange) ChangeGivers(table string, holders []netip.AddrPort) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	holders = holders[:min(len(holders), maxAskedHolders)]
	givers := e.peers.tableSources()
	if len(givers) == 0 {
		return e.peers.others(distinct(slices.Concat(holders, e.peers.storeReaders(table), e.peers.neighbours())))
	}
	near := givers[:1:1]
	if any, found := e.peers.randomNearPeer(); found {
		near = append(near, any)
	}
	return e.peers.others(distinct(slices.Concat(near, holders, givers[1:])))
}

// Neighbours returns some nodes that may hold a table at the moment, for one that reads it at
// the store: what the store gives may be older.
func (e *Exchange) Neighbours() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.neighbours()
}

// neighbours are the nodes of the zone that were listed first, and one drawn at random.
func (s *peerSet) neighbours() []netip.AddrPort {
	order := s.listedInZone()
	near := order[:min(len(order), sourcesPerZone):min(len(order), sourcesPerZone)]
	if any, found := s.randomPeer(); found {
		near = append(near, any)
	}
	return distinct(near)
}

// maxAskedHolders is the most nodes that are asked for changes because they have told of them.
const maxAskedHolders = 2

// distinct returns the addresses without those that came before.
func distinct(addresses []netip.AddrPort) []netip.AddrPort {
	var kept []netip.AddrPort
	for _, address := range addresses {
		if !slices.Contains(kept, address) {
			kept = append(kept, address)
		}
	}
	return kept
}

// tableSources returns the nodes to be asked for a whole table: the parent in the tree of the zone's
// nodes by the order of their rows, then those at its root and one drawn at random. Nodes at
// the root ask nobody: would they wait for others, these might wait for them.
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
	givers := []netip.AddrPort{order[(before-sourcesPerZone)/tableFanOut]}
	for _, address := range append(order[:sourcesPerZone:sourcesPerZone], order[rand.IntN(len(order))]) {
		if !slices.Contains(givers, address) {
			givers = append(givers, address)
		}
	}
	return givers
}

// storeReaders returns the node that reads a table at the store for all, once all nodes are known.
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
