package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// relayHistoryLength is how many messages a node remembers that it has passed on: some tables'
// words and news of more than ten seconds.
const relayHistoryLength = 64

// messageID names a message that is passed on: its maker and the number that it gave it.
type messageID struct {
	node     string
	sequence uint64
}

// relayHistory remembers the last messages that were passed on. Two heads of a region send each
// to each head of its zones.
type relayHistory struct {
	recent [relayHistoryLength]messageID
	next   int
}

// isNew reports whether a message wasn't passed on before, and records that it is. A message
// without a number always is.
func (r *relayHistory) isNew(message Message) bool {
	if message.Sequence == 0 {
		return true
	}
	named := messageID{message.Node, message.Sequence}
	if slices.Contains(r.recent[:], named) {
		return false
	}
	r.recent[r.next] = named
	r.next = (r.next + 1) % relayHistoryLength
	return true
}

// topOfEachRegion ranks the nodes of each region that has any for a subject, and returns the
// first ones of all.
func (s *peerSet) topOfEachRegion(subject string, count int) []netip.AddrPort {
	if known, exists := s.regionRankings[subject]; exists {
		return known
	}
	var first []netip.AddrPort
	regions := s.nodesByRegion()
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		first = append(first, rendezvous.Top(regions[region], s.hashOf, rendezvous.Hash(subject), count)...)
	}
	s.regionRankings[subject] = first
	return first
}

// nodesByRegion divides the nodes by region; those whose region isn't known are together.
func (s *peerSet) nodesByRegion() map[string][]netip.AddrPort {
	regions := make(map[string][]netip.AddrPort)
	for _, address := range append(s.all(), s.address) {
		region := s.regionOf(address)
		regions[region] = append(regions[region], address)
	}
	return regions
}

// regionHeads returns the nodes that pass on what the other nodes of their region are to
// hear from other regions.
func (s *peerSet) regionHeads() []netip.AddrPort {
	return s.topOfEachRegion("relay between regions", minHomes)
}

// zoneHeads returns the heads of the zones of this node's region.
func (s *peerSet) zoneHeads() []netip.AddrPort {
	var heads []netip.AddrPort
	for _, zone := range s.zones() {
		if !s.places.MultiRegion() || s.places.Region(zone) == s.places.OwnRegion() {
			heads = append(heads, s.heads(zone)...)
		}
	}
	return heads
}

// broadcastTargets are the nodes that get a message for all nodes from its maker: all peers, or
// in a large fleet the heads of the zones of its region, and in across the heads of the
// other regions.
func (s *peerSet) broadcastTargets() (near, across []netip.AddrPort) {
	if !s.large() {
		return s.all(), nil
	}
	if s.places.MultiRegion() {
		for _, head := range s.regionHeads() {
			if s.regionOf(head) != s.places.OwnRegion() {
				across = append(across, head)
			}
		}
	}
	return s.others(s.zoneHeads()), across
}

// relayTargets are the nodes to which this one passes a message on: the heads of its
// region's zones where it came from another region, and the nodes of its zone where it is
// one of their heads, or was taken for one by the node that made the message: while a large
// fleet starts nodes don't agree on the heads yet.
func (s *peerSet) relayTargets(acrossRegions, inZone bool) (heads, zone []netip.AddrPort) {
	if !s.large() && !inZone {
		return nil, nil
	}
	if acrossRegions {
		heads = s.others(s.zoneHeads())
	}
	if inZone || slices.Contains(s.heads(s.zone), s.address) {
		zone = s.inZone()
	}
	return heads, zone
}

// others leaves out this node.
func (s *peerSet) others(addresses []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addresses), func(address netip.AddrPort) bool { return address == s.address })
}
