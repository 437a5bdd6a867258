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

// Times and numbers of nodes.
const (
	// peerTimeout is how long a silent node counts as present in a fleet in which each node
	// reports to the supervisors at every periodicInterval: six messages. For the other
	// supervisors, a silent supervisor counts as present for this long in a fleet of any size.
	peerTimeout = 3 * time.Second
	// quotaKeeperCount is the number of keepers of a quota, the nodes that decide charges to
	// it: one may be replaced while another one fails.
	quotaKeeperCount = 3
	// minSupervisors is the smallest number of supervisors, the nodes that know the demand of
	// all callers and may give orders to workers (changes of their stage). It is chosen so that
	// the loss of all of them at once is too rare for the resulting stop of orders to matter.
	minSupervisors = 4
	// unresponsiveTime is for how long a node that didn't answer counts as unresponsive and
	// isn't asked. It doubles with each further unanswered question up to maxUnresponsiveTime.
	unresponsiveTime    = time.Second
	maxUnresponsiveTime = 16 * time.Second
	// lowestRank is the rank of a node that doesn't know the other nodes yet.
	lowestRank = 1 << 20
	// greetings is how many messages announce this node to a new peer, since datagrams may be
	// lost.
	greetings = 2
	// formerTime is how long the address of a node that left is greeted: a process that starts
	// again there while the store is unreachable would take itself for the only node.
	formerTime = 30 * time.Second
)

// Peer is another node as the store lists it.
type Peer struct {
	// Node is the incarnation of the node, the ID of one run of its process.
	Node    string
	Address netip.AddrPort
	Zone    string
	// Listed is the version of its row. Starting nodes get tables from nodes that were listed
	// before them.
	Listed uint64
	// Unaware tells that the node doesn't follow the list of nodes, so that other nodes must
	// announce themselves to it.
	Unaware bool
}

// peer is what this node knows of the process at one address.
type peer struct {
	node, zone string
	hash       uint64
	sequence   uint64
	// listed is the version of its row in the list of nodes, or zero if no row has been read.
	listed uint64
	// heard is when its last message arrived, or zero before the first one.
	heard time.Time
	// present tells that it had been heard recently at the last check.
	present bool
	// steppedBack tells that it has stepped back because it can't give orders.
	steppedBack bool
	// connectsTold is whether it opens connections to workers for others, as it last told.
	connectsTold connects
	// greetings is the number of announcements of this node that it is still to get.
	greetings int
	// unresponsiveUntil is until when it isn't asked. silences counts its consecutive unanswered
	// questions.
	unresponsiveUntil time.Time
	silences          int
}

// peerSet holds the other nodes by address: a process that restarts on its machine has the
// address of the one before. A peer that becomes silent is kept, so that nodes that were cut
// off from each other find each other again. A peerSet doesn't read the clock: callers pass the
// time.
type peerSet struct {
	self    string
	address netip.AddrPort
	zone    string
	hash    uint64
	peers   map[netip.AddrPort]*peer
	// former holds the addresses of nodes that left, each with the time until which it is greeted.
	former map[netip.AddrPort]time.Time
	// generation increases whenever a node is added or removed.
	generation uint64
	// listed tells that the store's whole list of nodes is known. Before that, this node can't
	// know its rank.
	listed bool
	// listing is what this node knows of the list apart from its peers.
	listing listing
	// places maps zones to regions. regionOfWorker returns the region of a worker; it is nil
	// until SetTopology is called.
	places         topology.Map
	regionOfWorker func(worker string) string
	// ranked caches the first nodes in the rankings, by subject.
	ranked rendezvous.Rankings[netip.AddrPort]
	// members and hashes are this node and all peers with their hashes, in no order. They are
	// nil while they must be collected again. Each worker's homes are chosen among them.
	members []netip.AddrPort
	hashes  []uint64
	// regionRankings caches the first nodes of all regions together, by subject.
	regionRankings map[string][]netip.AddrPort
}

func newPeerSet(self string, address netip.AddrPort, zone string) *peerSet {
	return &peerSet{
		self: self, address: address, zone: zone, hash: rendezvous.Hash(address.String()),
		peers: make(map[netip.AddrPort]*peer), former: make(map[netip.AddrPort]time.Time), listing: newListing(), regionRankings: make(map[string][]netip.AddrPort),
	}
}

// addFullList adds the peers of the store's whole list of nodes.
func (s *peerSet) addFullList(listed []Peer) {
	if !s.listed {
		s.generation++ // this node's place among the nodes is known from now on
	}
	s.listed = true
	s.addListed(listed)
	s.listing.markZoneKnown()
}

// addListed adds peers that the store lists. Unless the fleet is large it greets the new ones,
// which may not have read this node's row yet. In a large fleet all nodes follow the list.
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
			delete(s.former, entry.Address)
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

// setZone records the zone of a peer, which may not have been known before.
func (s *peerSet) setZone(known *peer, zone string) {
	if zone != "" && zone != known.zone {
		known.zone = zone
		s.clearRankings()
	}
}

func (s *peerSet) add(address netip.AddrPort, node string) *peer {
	added := &peer{node: node, hash: rendezvous.Hash(address.String())}
	s.peers[address] = added
	delete(s.former, address)
	s.rankAdded([]netip.AddrPort{address})
	return added
}

// peerOf returns the peer that sent a message. It may be new, or a new process at a known
// address, which keeps its zone.
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

// answered records that a peer has answered, so that it no longer counts as unresponsive.
func (s *peerSet) answered(from netip.AddrPort) {
	if known, exists := s.peers[from]; exists {
		known.unresponsiveUntil, known.silences = time.Time{}, 0
	}
}

// recordMessage records a load message. first reports whether its sender was not present
// before, and stale whether a newer message of the sender was recorded already.
func (s *peerSet) recordMessage(from netip.AddrPort, message Message, now time.Time) (first, stale bool) {
	if message.Leaving {
		known, exists := s.peers[from]
		if !exists || known.node != message.Node {
			return false, true
		}
		s.leave(from, now)
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
	known.steppedBack = message.SteppedBack
	if message.Connects != connectsUntold {
		known.connectsTold = message.Connects
	}
	known.unresponsiveUntil, known.silences = time.Time{}, 0
	return first, false
}

// markUnresponsive records that a peer didn't answer.
func (s *peerSet) markUnresponsive(address netip.AddrPort, now time.Time) {
	known, exists := s.peers[address]
	if !exists || now.Before(known.unresponsiveUntil) {
		return
	}
	known.unresponsiveUntil = now.Add(min(unresponsiveTime<<min(known.silences, 4), maxUnresponsiveTime))
	known.silences++
}

// markSilent marks peers that have become silent as not present, and returns them with the time
// since they were heard.
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

// presenceTimeout returns how long a node counts as present after it was heard.
func (s *peerSet) presenceTimeout(address netip.AddrPort) time.Duration {
	if s.supervises() && slices.Contains(s.supervisors(), address) {
		return peerTimeout
	}
	return peerTimeout / periodicInterval * reportInterval(s.nodes())
}

// nodes returns the number of nodes, including this one.
func (s *peerSet) nodes() int { return len(s.peers) + 1 }

// quotaKeepers returns the keepers of a quota account, in the order in which they are to be
// asked.
func (s *peerSet) quotaKeepers(account string) []netip.AddrPort {
	return s.firstRanked("quota "+account, quotaKeeperCount, "")
}

// isUnresponsive reports whether a peer isn't to be asked, since it didn't answer recently.
func (s *peerSet) isUnresponsive(address netip.AddrPort, now time.Time) bool {
	known, exists := s.peers[address]
	return exists && now.Before(known.unresponsiveUntil)
}

// supervisors returns the nodes that know the demand of all callers and may give orders to
// workers. Each region has some, so that supervisors remain if a region is lost.
func (s *peerSet) supervisors() []netip.AddrPort {
	count := max(homeCount(s.nodes()), minSupervisors)
	if regions := len(s.places.Regions()); regions > 1 && s.nodes() > fullTrackingFleet {
		return s.topOfEachRegion("orders", max((count+regions-1)/regions, minHomes))
	}
	return s.firstRanked("orders", count, "")
}

// readerRank returns this node's rank among the nodes that may read a table from the store, 0
// being the first. The first node of each zone ranks at least second (rank 1), since a zone
// that is cut off from the others needs a reader.
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

// outranks reports whether another node ranks before this one among those that may read a table
// from the store.
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

// largestZoneSize returns the number of nodes of the largest zone.
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

// leave removes a peer that shuts down. Its address is greeted for formerTime.
func (s *peerSet) leave(address netip.AddrPort, now time.Time) {
	s.remove(address)
	s.former[address] = now.Add(formerTime)
}

// greetTargets returns the nodes that are to be greeted now, and counts the greeting. In a large
// fleet only the supervisors greet the addresses of nodes that left.
func (s *peerSet) greetTargets(now time.Time) []netip.AddrPort {
	maps.DeleteFunc(s.former, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	var addresses []netip.AddrPort
	if !s.large() || s.supervises() {
		addresses = slices.Collect(maps.Keys(s.former))
	}
	for address, known := range s.peers {
		if known.greetings > 0 {
			known.greetings--
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// randomPeer returns a random peer.
func (s *peerSet) randomPeer() (netip.AddrPort, bool) {
	addresses := s.all()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// supervises reports whether this node is one of the supervisors.
func (s *peerSet) supervises() bool { return slices.Contains(s.supervisors(), s.address) }

// designated reports whether this node is the supervisor that is to give orders: the one with
// the lowest incarnation among those that are present and have not stepped back, which is one of
// the latest generation. A node that has stepped back itself is designated only if all others
// have too.
func (s *peerSet) designated(steppedBack bool) bool {
	if !s.supervises() {
		return false
	}
	lowest, all := true, true
	for _, address := range s.supervisors() {
		if known, exists := s.peers[address]; exists && known.present && !known.steppedBack {
			all = false
			lowest = lowest && s.self < known.node
		}
	}
	if steppedBack {
		return all
	}
	return lowest
}

// presentSupervisors returns the other supervisors that are present.
func (s *peerSet) presentSupervisors() []netip.AddrPort {
	return slices.DeleteFunc(s.others(s.supervisors()), func(address netip.AddrPort) bool {
		known, exists := s.peers[address]
		return !exists || !known.present
	})
}

// oldest returns the longest time since a present peer was heard.
func (s *peerSet) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, known := range s.peers {
		if known.present {
			oldest = max(oldest, now.Sub(known.heard))
		}
	}
	return oldest
}
