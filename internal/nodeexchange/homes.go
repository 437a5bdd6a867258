package nodeexchange

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Which nodes do what is decided by rankings of the nodes, the same at all of them: who keeps
// the account of a worker, who passes on in a zone, who supervises.

const (
	// fullTrackingFleet is the number of nodes up to which each keeps account of all workers.
	// In a larger fleet as many keep a worker's account as keep the messages of all nodes
	// below what these would send each other.
	fullTrackingFleet = 20
	// minHomes is the fewest nodes that keep a worker's account, so that one may die.
	minHomes = 2
)

// homeCount is the number of nodes that keep a worker's account.
func homeCount(nodes int) int {
	if nodes <= fullTrackingFleet {
		return nodes
	}
	return max(fullTrackingFleet*fullTrackingFleet/nodes, minHomes)
}

// homes returns the nodes that keep the account of a worker, the first to be asked
// first. They are nodes of its region: a question that crosses regions costs tens of
// milliseconds. They are as many as in one region of all nodes, since all tell them.
func (s *peerSet) homes(worker string) []netip.AddrPort {
	region := s.homeRegion(worker)
	if region == "" {
		return s.firstRanked(homeSubject(worker), homeCount(s.nodes()), "")
	}
	subject := homeSubject(worker) + " in " + region
	if known, exists := s.ranked.Get(subject); exists {
		return known
	}
	near := s.inRegion(region)
	return s.ranked.Rank(subject, near, s.hashesOf(near), homeCount(s.nodes()), s.zoneFilter(""))
}

// isHome reports whether this node isHome the account of a worker.
func (s *peerSet) isHome(worker string) bool {
	return s.nodes() <= fullTrackingFleet || s.mayBeHome(worker) && slices.Contains(s.homes(worker), s.address)
}

// mayBeHome reports whether this node's weight for a worker is so high that it may be one of
// those that keep its account. Of nodes whose weights are evenly distributed so many are
// expected to have a higher one than the bound that not one worker of a thousand million is
// missed. At 985 nodes one weight tells for 97 of 100 workers, where ranking all nodes for
// each takes 18 µs: 0.18 s of a core for 10,000 workers, for each change of the nodes.
func (s *peerSet) mayBeHome(worker string) bool {
	nodes, count := float64(s.nodes()), float64(homeCount(s.nodes()))
	const surelyHigher, perHome = 20, 2
	expected := surelyHigher + perHome*count
	if s.places.MultiRegion() || expected >= nodes {
		return true
	}
	bound := uint64(math.MaxUint64 * (1 - expected/nodes))
	return rendezvous.Score(rendezvous.Hash(homeSubject(worker)), s.hash) >= bound
}

// homeSubject names the ranking of the nodes that keep a worker's account.
func homeSubject(worker string) string { return "worker " + worker }

// reachableHome returns the node to be asked for a worker's account, false where none of those
// that keep it answers.
func (s *peerSet) reachableHome(worker string, now time.Time) (netip.AddrPort, bool) {
	for _, address := range s.homes(worker) {
		if known, exists := s.peers[address]; exists && !now.Before(known.suspectedUntil) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// heads returns the nodes of a zone that pass on what its other nodes are to hear.
func (s *peerSet) heads(zone string) []netip.AddrPort {
	return s.firstRanked("relay "+zone, minHomes, zone)
}

// firstRanked ranks the nodes for a subject, those of one zone where it isn't empty.
func (s *peerSet) firstRanked(subject string, count int, zone string) []netip.AddrPort {
	if known, exists := s.ranked.Get(subject); exists {
		return known
	}
	s.collectMembers()
	belongs := s.zoneFilter(zone)
	if zone == "" {
		return s.ranked.Rank(subject, s.members, s.hashes, count, belongs)
	}
	near := slices.DeleteFunc(slices.Clone(s.members), func(member netip.AddrPort) bool { return !belongs(member) })
	return s.ranked.Rank(subject, near, s.hashesOf(near), count, belongs)
}

// collectMembers lists all nodes, once after each change of them: to list them for each of 10,000
// workers made 400 MB of garbage at 985 nodes.
func (s *peerSet) collectMembers() {
	if s.members != nil {
		return
	}
	s.members = append(s.all(), s.address)
	s.hashes = s.hashesOf(s.members)
}

func (s *peerSet) hashesOf(members []netip.AddrPort) []uint64 {
	hashes := make([]uint64, 0, len(members))
	for _, member := range members {
		hashes = append(hashes, s.hashOf(member))
	}
	return hashes
}

// zoneFilter returns the test whether a node is in a zone, or anywhere where that is empty.
func (s *peerSet) zoneFilter(zone string) func(member netip.AddrPort) bool {
	return func(member netip.AddrPort) bool { return zone == "" || s.zoneOf(member) == zone }
}

func (s *peerSet) zoneOf(member netip.AddrPort) string {
	if member == s.address {
		return s.zone
	}
	return s.peers[member].zone
}

func (s *peerSet) hashOf(address netip.AddrPort) uint64 {
	if address == s.address {
		return s.hash
	}
	return s.peers[address].hash
}

// clearRankings has all rankings worked out anew.
func (s *peerSet) clearRankings() {
	s.ranked.Clear()
	clear(s.regionRankings)
}

// rankAdded ranks peers that were added.
func (s *peerSet) rankAdded(added []netip.AddrPort) {
	if len(added) == 0 {
		return
	}
	s.generation++
	s.members = nil
	before := s.nodes() - len(added)
	if s.places.MultiRegion() || homeCount(before) != homeCount(s.nodes()) {
		// More than the new ones' own ranking changes: how many are ranked, or whether a
		// region has nodes of its own.
		s.clearRankings()
		return
	}
	s.ranked.Join(added, s.hashOf)
}

// remove forgets a peer.
func (s *peerSet) remove(address netip.AddrPort) {
	before := homeCount(s.nodes())
	delete(s.peers, address)
	s.generation++
	s.members = nil
	if s.places.MultiRegion() || before != homeCount(s.nodes()) {
		s.clearRankings()
		return
	}
	s.ranked.Leave(address)
}
