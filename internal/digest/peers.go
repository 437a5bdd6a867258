package digest

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/topology"
)

// The figures of the fleet.
const (
	// peerLife is how long a silent node counts as one that takes requests, in a fleet in
	// which each tells the supervisors of itself as often as it may: six messages. It is how
	// long a silent supervisor counts for the others in any fleet.
	peerLife = 3 * time.Second
	// wholeFleet is the number of nodes up to which each keeps account of all workers.
	// In a larger fleet as many keep a worker's account as keep the messages of all nodes
	// below what these would send each other.
	wholeFleet = 20
	// leastHomes is the fewest nodes that keep a worker's account, so that one may die.
	leastHomes = 2
	// quotaKeeperCount is the number of nodes that keep the account of a tenant's quota:
	// one may be replaced while another dies.
	quotaKeeperCount = 3
	// leastSupervisors is the fewest nodes that know what all callers want and may give
	// orders: all of them dead at a time is to be rarer than a stop of orders matters.
	leastSupervisors = 4
	// suspectedFor is how long a node that gave no answer isn't asked; it doubles with
	// each further silence up to maxSuspected.
	suspectedFor = time.Second
	maxSuspected = 16 * time.Second
	// lastPlace is that of a node that doesn't know the others yet.
	lastPlace = 1 << 20
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
	// ofRegions holds the first nodes of all regions together, by subject.
	ofRegions map[string][]netip.AddrPort
}

func newPeerSet(self string, address netip.AddrPort, zone string) *peerSet {
	return &peerSet{
		self: self, address: address, zone: zone, hash: rendezvous.Hash(address.String()),
		peers: make(map[netip.AddrPort]*peer), listing: newListing(), ofRegions: make(map[string][]netip.AddrPort),
	}
}

// list adds the peers that the store lists, which are all nodes.
func (s *peerSet) list(listed []Peer) {
	s.listed = true
	s.include(listed)
	s.listing.nearKnown()
}

// include adds peers that the store lists. In a fleet that isn't large it greets those that
// are new: they may not have read of this node yet. In a large one all follow the list.
func (s *peerSet) include(listed []Peer) {
	var added []netip.AddrPort
	for _, entry := range listed {
		if entry.Address == s.address || entry.Node == s.self {
			s.listing.own = max(s.listing.own, entry.Listed)
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
	s.joined(added)
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
		s.rerank()
	}
}

// rerank has all rankings worked out anew.
func (s *peerSet) rerank() {
	s.ranked.Clear()
	clear(s.ofRegions)
}

// joined ranks peers that were added.
func (s *peerSet) joined(added []netip.AddrPort) {
	if len(added) == 0 {
		return
	}
	s.generation++
	s.members = nil
	before := s.nodes() - len(added)
	if s.places.Several() || homeCount(before) != homeCount(s.nodes()) {
		// More than the new ones' own ranking changes: how many are ranked, or whether a
		// region has nodes of its own.
		s.rerank()
		return
	}
	s.ranked.Join(added, s.hashOf)
}

// left forgets a peer.
func (s *peerSet) left(address netip.AddrPort) {
	before := homeCount(s.nodes())
	delete(s.peers, address)
	s.generation++
	s.members = nil
	if s.places.Several() || before != homeCount(s.nodes()) {
		s.rerank()
		return
	}
	s.ranked.Leave(address)
}

func (s *peerSet) add(address netip.AddrPort, node string) *peer {
	added := &peer{node: node, hash: rendezvous.Hash(address.String())}
	s.peers[address] = added
	s.joined([]netip.AddrPort{address})
	return added
}

// known returns the peer of a message, which may be new or a new process. A machine
// keeps its zone.
func (s *peerSet) known(from netip.AddrPort, node string) *peer {
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

// hear records a digest. It reports whether its sender was not heard before, and
// whether the message is older than one that came before it.
func (s *peerSet) hear(from netip.AddrPort, message Message, now time.Time) (first, stale bool) {
	if message.Leaving {
		known, exists := s.peers[from]
		if !exists || known.node != message.Node {
			return false, true
		}
		s.left(from)
		return false, false
	}
	if s.listing.hasWithdrawn(from, message.Node) {
		return false, true
	}
	known := s.known(from, message.Node)
	if message.Sequence <= known.sequence {
		return false, true
	}
	first = !known.present
	s.setZone(known, message.Zone)
	known.sequence, known.heard, known.present = message.Sequence, now, true
	known.aside = message.Aside
	known.suspectedUntil, known.silences = time.Time{}, 0
	return first, false
}

// suspect records that a peer gave no answer.
func (s *peerSet) suspect(address netip.AddrPort, now time.Time) {
	known, exists := s.peers[address]
	if !exists || now.Before(known.suspectedUntil) {
		return
	}
	known.suspectedUntil = now.Add(min(suspectedFor<<min(known.silences, 4), maxSuspected))
	known.silences++
}

// silent takes out of those present the peers that have fallen silent, and returns
// them with the time since they were heard.
func (s *peerSet) silent(now time.Time) map[string]time.Duration {
	lost := make(map[string]time.Duration)
	for address, known := range s.peers {
		if silence := now.Sub(known.heard); known.present && silence > s.life(address) {
			known.present = false
			lost[known.node] = silence
		}
	}
	return lost
}

// life is how long a node counts as present after it was heard.
func (s *peerSet) life(address netip.AddrPort) time.Duration {
	if s.supervises() && slices.Contains(s.supervisors(), address) {
		return peerLife
	}
	return peerLife / restEvery * reportEvery(s.nodes())
}

// nodes is the number of nodes, this one included.
func (s *peerSet) nodes() int { return len(s.peers) + 1 }

// homeCount is the number of nodes that keep a worker's account.
func homeCount(nodes int) int {
	if nodes <= wholeFleet {
		return nodes
	}
	return max(wholeFleet*wholeFleet/nodes, leastHomes)
}

// homes returns the nodes that keep the account of a worker, the first to be asked
// first. They are nodes of its region: a question that crosses regions costs tens of
// milliseconds. They are as many as in one region of all nodes, since all tell them.
func (s *peerSet) homes(worker string) []netip.AddrPort {
	region := s.regionOfKept(worker)
	if region == "" {
		return s.top(subjectOf(worker), homeCount(s.nodes()), "")
	}
	subject := subjectOf(worker) + " in " + region
	if known, exists := s.ranked.Get(subject); exists {
		return known
	}
	near := s.inRegion(region)
	return s.ranked.Rank(subject, near, s.hashesOf(near), homeCount(s.nodes()), s.isIn(""))
}

// keeps reports whether this node keeps the account of a worker.
func (s *peerSet) keeps(worker string) bool {
	return s.nodes() <= wholeFleet || s.mayKeep(worker) && slices.Contains(s.homes(worker), s.address)
}

// mayKeep reports whether this node's weight for a worker is so high that it may be one of
// those that keep its account. Of nodes whose weights are evenly distributed so many are
// expected to have a higher one than the bound that not one worker of a thousand million is
// missed, and all but some dozen workers are told by one weight where ranking all nodes for
// each takes 18 µs: 0.18 s of a core for 10,000 workers, for each change of the nodes.
func (s *peerSet) mayKeep(worker string) bool {
	nodes, count := float64(s.nodes()), float64(homeCount(s.nodes()))
	const surelyHigher, perHome = 20, 2
	expected := surelyHigher + perHome*count
	if s.places.Several() || expected >= nodes {
		return true
	}
	bound := uint64(math.MaxUint64 * (1 - expected/nodes))
	return rendezvous.Score(rendezvous.Hash(subjectOf(worker)), s.hash) >= bound
}

// subjectOf names the ranking of the nodes that keep a worker's account.
func subjectOf(worker string) string { return "worker " + worker }

// home returns the node to be asked for a worker's account, false where none of those
// that keep it answers.
func (s *peerSet) home(worker string, now time.Time) (netip.AddrPort, bool) {
	for _, address := range s.homes(worker) {
		if known, exists := s.peers[address]; exists && !now.Before(known.suspectedUntil) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// quotaKeepers returns the nodes that keep the account of a quota, the first to be asked
// first.
func (s *peerSet) quotaKeepers(account string) []netip.AddrPort {
	return s.top("quota "+account, quotaKeeperCount, "")
}

// suspected reports whether a peer gave no answer lately.
func (s *peerSet) suspected(address netip.AddrPort, now time.Time) bool {
	known, exists := s.peers[address]
	return exists && now.Before(known.suspectedUntil)
}

// supervisors returns the nodes that know what all callers want and may give orders. Each
// region has some, so that the loss of one leaves others.
func (s *peerSet) supervisors() []netip.AddrPort {
	count := max(homeCount(s.nodes()), leastSupervisors)
	if regions := len(s.places.Regions()); regions > 1 && s.nodes() > wholeFleet {
		return s.ofEachRegion("orders", max((count+regions-1)/regions, leastHomes))
	}
	return s.top("orders", count, "")
}

// heads returns the nodes of a zone that pass on what its other nodes are to hear.
func (s *peerSet) heads(zone string) []netip.AddrPort {
	return s.top("relay "+zone, leastHomes, zone)
}

// top ranks the nodes for a subject, those of one zone where it isn't empty.
func (s *peerSet) top(subject string, count int, zone string) []netip.AddrPort {
	if known, exists := s.ranked.Get(subject); exists {
		return known
	}
	s.collect()
	belongs := s.isIn(zone)
	if zone == "" {
		return s.ranked.Rank(subject, s.members, s.hashes, count, belongs)
	}
	near := slices.DeleteFunc(slices.Clone(s.members), func(member netip.AddrPort) bool { return !belongs(member) })
	return s.ranked.Rank(subject, near, s.hashesOf(near), count, belongs)
}

// collect lists all nodes, once after each change of them: to list them for each of 10,000
// workers made 400 MB of garbage at 985 nodes.
func (s *peerSet) collect() {
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

// isIn returns the test whether a node is in a zone, or anywhere where that is empty.
func (s *peerSet) isIn(zone string) func(member netip.AddrPort) bool {
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

// place is this node's place among those that read a table at the store, the first in its
// zone counting as second of all where it isn't better off: a zone that is cut off from
// the others needs one.
func (s *peerSet) place(table string) int {
	if !s.listed {
		return lastPlace
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

// largestZone is the number of nodes of the zone that has most.
func (s *peerSet) largestZone() int {
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

// toGreet returns the peers that are to be told of this node, and counts that they are.
func (s *peerSet) toGreet() []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, known := range s.peers {
		if known.greetings > 0 {
			known.greetings--
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// anyPeer returns a peer drawn at random.
func (s *peerSet) anyPeer() (netip.AddrPort, bool) {
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
