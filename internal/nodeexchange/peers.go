package nodeexchange

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/topology"
)

// The figures of the fleet.
const (
	// peerTimeout is how long a silent node counts as one that takes requests, in a fleet in
	// which each tells the supervisors of itself as often as it may: six messages. It is how
	// long a silent supervisor counts for the others in any fleet.
	peerTimeout = 3 * time.Second
	// quotaKeeperCount is the number of nodes that keep the account of a tenant's quota:
	// one may be replaced while another dies.
	quotaKeeperCount = 3
	// minSupervisors is the fewest nodes that know what all callers want and may give
	// orders: all of them dead at a time is to be rarer than a stop of orders matters.
	minSupervisors = 4
	// suspicionTime is how long a node that gave no answer isn't asked; it doubles with
	// each further silence up to maxSuspected.
	suspicionTime    = time.Second
	maxSuspicionTime = 16 * time.Second
	// lowestRank is that of a node that doesn't know the others yet.
	lowestRank = 1 << 20
	// greetings is how often a node is told of this one's start, since datagrams may be
	// lost.
	greetings = 2
)

// Peer is another node, as the store lists it.
type Peer struct {
	// Node is its incarnation.
	Node    string
	Address netip.AddrPort
	Zone    string
	// Listed is the version of its row: nodes that were listed earlier give tables to those
	// that come after them.
	Listed uint64
	// Unaware tells that it doesn't follow the list of nodes, and has to be told of others.
	Unaware bool
}

// peer is what is known of the process at one address.
type peer struct {
	node, zone string
	hash       uint64
	sequence   uint64
	// listed is the version of its row in the list of nodes, zero where none was read.
	listed uint64
	// heard is when its last message came, zero before the first.
	heard time.Time
	// present tells that it was heard lately, as of the last look.
	present bool
	// aside tells that it can't give orders.
	aside bool
	// greetings is how often it is still to be told of this node.
	greetings int
	// suspectedUntil is until when it isn't asked, and silences how often it gave no
	// answer in a row.
	suspectedUntil time.Time
	silences       int
}

// peerSet holds the other nodes by address: a process that starts again on its
// machine has the address of the one before. A peer that falls silent stays, so
// that nodes that were cut off from each other find each other again. It is pure:
// time is an argument.
type peerSet struct {
	self    string
	address netip.AddrPort
	zone    string
	hash    uint64
	peers   map[netip.AddrPort]*peer
	// generation rises whenever a node is added or has left.
	generation uint64
	// listed tells that the store's list of nodes is known: before, this node can't know
	// its place among them.
	listed bool
	// listing is what is known of the list beyond the peers.
	listing listing
	// places are the zones and regions, and regionOfWorker finds the region of a worker; it
	// is nil until SetPlaces was called.
	places         topology.Map
	regionOfWorker func(worker string) string
	// ranked holds what was worked out of the members, by subject.
	ranked rendezvous.Rankings[netip.AddrPort]
	// members and hashes are this node and all peers, in no order, nil where they have to be
	// collected anew: each worker's homes are chosen among them.
	members []netip.AddrPort
	hashes  []uint64
	// regionRankings holds the first nodes of all regions together, by subject.
	regionRankings map[string][]netip.AddrPort
}

func newPeerSet(self string, address netip.AddrPort, zone string) *peerSet {
	return &peerSet{
		self: self, address: address, zone: zone, hash: rendezvous.Hash(address.String()),
		peers: make(map[netip.AddrPort]*peer), listing: newListing(), regionRankings: make(map[string][]netip.AddrPort),
	}
}

// addFullList adds the peers that the store lists, which are all nodes.
func (s *peerSet) addFullList(listed []Peer) {
	s.listed = true
	s.addListed(listed)
	s.listing.markZoneKnown()
}

// addListed adds peers that the store lists. In a fleet that isn't large it greets those that
// are new: they may not have read of this node yet. In a large one all follow the list.
func (s *peerSet) addListed(listed []Peer) {
	var added []netip.AddrPort
	for _, entry := range listed {
		if entry.Address == s.address || entry.Node == s.self {
			s.listing.ownVersion = max(s.listing.ownVersion, entry.Listed)
			continue
		}
		delete(s.listing.withdrawn, entry.Address)
		known, exists := s.peers[entry.Address]
		if !exists {
			known = &peer{node: entry.Node, zone: entry.Zone, hash: rendezvous.Hash(entry.Address.String())}
			if entry.Unaware {
				known.greetings = greetings
			}
			s.peers[entry.Address] = known
			added = append(added, entry.Address)
		}
		known.listed = max(known.listed, entry.Listed)
		s.setZone(known, entry.Zone)
	}
	s.rankAdded(added)
	for _, address := range added {
		if !s.large() {
			s.peers[address].greetings = greetings
		}
	}
}

// setZone records the zone of a peer, which it may not have told before.
func (s *peerSet) setZone(known *peer, zone string) {
	if zone != "" && zone != known.zone {
		known.zone = zone
		s.clearRankings()
	}
}

func (s *peerSet) add(address netip.AddrPort, node string) *peer {
	added := &peer{node: node, hash: rendezvous.Hash(address.String())}
	s.peers[address] = added
	s.rankAdded([]netip.AddrPort{address})
	return added
}

// peerOf returns the peer of a message, which may be new or a new process. A machine
// keeps its zone.
func (s *peerSet) peerOf(from netip.AddrPort, node string) *peer {
	known, exists := s.peers[from]
	if !exists {
		return s.add(from, node)
	}
	if known.node != node {
		*known = peer{node: node, zone: known.zone, hash: known.hash, listed: known.listed}
	}
	return known
}

// answered records that a peer isn't silent.
func (s *peerSet) answered(from netip.AddrPort) {
	if known, exists := s.peers[from]; exists {
		known.suspectedUntil, known.silences = time.Time{}, 0
	}
}

// recordMessage records a digest. It reports whether its sender was not heard before, and
// whether the message is older than one that came before it.
func (s *peerSet) recordMessage(from netip.AddrPort, message Message, now time.Time) (first, stale bool) {
	if message.Leaving {
		known, exists := s.peers[from]
		if !exists || known.node != message.Node {
			return false, true
		}
		s.remove(from)
		return false, false
	}
	if s.listing.hasWithdrawn(from, message.Node) {
		return false, true
	}
	known := s.peerOf(from, message.Node)
	if message.Sequence <= known.sequence {
		return false, true
	}
	first = !known.present
	s.setZone(known, message.Zone)
	known.sequence, known.heard, known.present = message.Sequence, now, true
	known.aside = message.SteppedBack
	known.suspectedUntil, known.silences = time.Time{}, 0
	return first, false
}

// suspect records that a peer gave no answer.
func (s *peerSet) suspect(address netip.AddrPort, now time.Time) {
	known, exists := s.peers[address]
	if !exists || now.Before(known.suspectedUntil) {
		return
	}
	known.suspectedUntil = now.Add(min(suspicionTime<<min(known.silences, 4), maxSuspicionTime))
	known.silences++
}

// markSilent takes out of those present the peers that have fallen markSilent, and returns
// them with the time since they were heard.
func (s *peerSet) markSilent(now time.Time) map[string]time.Duration {
	lost := make(map[string]time.Duration)
	for address, known := range s.peers {
		if silence := now.Sub(known.heard); known.present && silence > s.presenceTimeout(address) {
			known.present = false
			lost[known.node] = silence
		}
	}
	return lost
}

// presenceTimeout is how long a node counts as present after it was heard.
func (s *peerSet) presenceTimeout(address netip.AddrPort) time.Duration {
	if s.supervises() && slices.Contains(s.supervisors(), address) {
		return peerTimeout
	}
	return peerTimeout / periodicInterval * reportInterval(s.nodes())
}

// nodes is the number of nodes, this one included.
func (s *peerSet) nodes() int { return len(s.peers) + 1 }

// quotaKeepers returns the nodes that keep the account of a quota, the first to be asked
// first.
func (s *peerSet) quotaKeepers(account string) []netip.AddrPort {
	return s.firstRanked("quota "+account, quotaKeeperCount, "")
}

// suspected reports whether a peer gave no answer lately.
func (s *peerSet) suspected(address netip.AddrPort, now time.Time) bool {
	known, exists := s.peers[address]
	return exists && now.Before(known.suspectedUntil)
}

// supervisors returns the nodes that know what all callers want and may give orders. Each
// region has some, so that the loss of one leaves others.
func (s *peerSet) supervisors() []netip.AddrPort {
	count := max(homeCount(s.nodes()), minSupervisors)
	if regions := len(s.places.Regions()); regions > 1 && s.nodes() > fullTrackingFleet {
		return s.topOfEachRegion("orders", max((count+regions-1)/regions, minHomes))
	}
	return s.firstRanked("orders", count, "")
}

// readerRank is this node's readerRank among those that read a table at the store, the first in its
// zone counting as second of all where it isn't better off: a zone that is cut off from
// the others needs one.
func (s *peerSet) readerRank(table string) int {
	if !s.listed {
		return lowestRank
	}
	subject := rendezvous.Hash("table " + table)
	own := rendezvous.Score(subject, s.hash)
	all, near := 0, 0
	for _, known := range s.peers {
		if rendezvous.Score(subject, known.hash) <= own {
			continue
		}
		all++
		if known.zone == s.zone {
			near++
		}
	}
	return min(all, near+1)
}

// outranks reports whether another node comes before this one among those that read a
// table at the store.
func (s *peerSet) outranks(table string, other netip.AddrPort) bool {
	subject := rendezvous.Hash("table " + table)
	return rendezvous.Score(subject, rendezvous.Hash(other.String())) > rendezvous.Score(subject, s.hash)
}

// all returns the addresses of all peers.
func (s *peerSet) all() []netip.AddrPort {
	return slices.Collect(maps.Keys(s.peers))
}

// inZone returns the peers of this node's zone.
func (s *peerSet) inZone() []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, known := range s.peers {
		if known.zone == s.zone {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// largestZoneSize is the number of nodes of the zone that has most.
func (s *peerSet) largestZoneSize() int {
	counts := map[string]int{s.zone: 1}
	for _, known := range s.peers {
		counts[known.zone]++
	}
	largest := 0
	for _, count := range counts {
		largest = max(largest, count)
	}
	return largest
}

// zones returns the zones of all nodes.
func (s *peerSet) zones() []string {
	zones := map[string]bool{s.zone: true}
	for _, known := range s.peers {
		zones[known.zone] = true
	}
	return slices.Collect(maps.Keys(zones))
}

// greetTargets returns the peers that are to be told of this node, and counts that they are.
func (s *peerSet) greetTargets() []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, known := range s.peers {
		if known.greetings > 0 {
			known.greetings--
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// randomPeer returns a peer drawn at random.
func (s *peerSet) randomPeer() (netip.AddrPort, bool) {
	addresses := s.all()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// supervises reports whether this node is one of the supervisors.
func (s *peerSet) supervises() bool { return slices.Contains(s.supervisors(), s.address) }

// designated reports whether this node is the supervisor that is to give orders: none
// that is present and doesn't stand aside has a lower incarnation. A node that itself
// stands aside is designated only where all do.
func (s *peerSet) designated(aside bool) bool {
	if !s.supervises() {
		return false
	}
	lowest, all := true, true
	for _, address := range s.supervisors() {
		if known, exists := s.peers[address]; exists && known.present && !known.aside {
			all = false
			lowest = lowest && s.self < known.node
		}
	}
	if aside {
		return all
	}
	return lowest
}

// oldest returns the longest time since a peer that is present was heard.
func (s *peerSet) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, known := range s.peers {
		if known.present {
			oldest = max(oldest, now.Sub(known.heard))
		}
	}
	return oldest
}
