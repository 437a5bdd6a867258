package nodeexchange

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// relayHistoryLength is the number of relayed broadcasts that a node remembers: the
// announcements and news of a few tables over more than ten seconds.
const relayHistoryLength = 64

// messageID identifies a broadcast by its originator and the originator's number for it.
type messageID struct {
	node     string
	sequence uint64
}

// relayHistory remembers the last relayed broadcasts, so that each is relayed once: two heads
// of a region send every broadcast to every head of its zones.
type relayHistory struct {
	recent [relayHistoryLength]messageID
	next   int
}

// isNew reports whether a broadcast has not been relayed yet, and records it. A message without
// a number always counts as new.
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

// topOfEachRegion ranks the nodes of each region for a subject, and returns the first count
// nodes of every region together.
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

// nodesByRegion groups the nodes by region. Those whose region isn't known form one group.
func (s *peerSet) nodesByRegion() map[string][]netip.AddrPort {
	regions := make(map[string][]netip.AddrPort)
	for _, address := range append(s.all(), s.address) {
		region := s.regionOf(address)
		regions[region] = append(regions[region], address)
	}
	return regions
}

// regionHeads returns the nodes that relay broadcasts from other regions in their own.
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

// broadcastTargets returns the nodes to which the originator of a broadcast sends it: all
// peers, or in a large fleet the heads of the zones of its region (near) and the heads of the
// other regions (across).
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

// relayTargets returns the nodes to which this one relays a broadcast: the heads of the zones
// of its region if the broadcast came from another region, and the nodes of its zone if it is
// one of their heads. inZone tells that the sender takes this node for a head even if it
// doesn't itself, since nodes don't agree on the heads yet while a large fleet starts.
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

// others returns the addresses without this node's own.
func (s *peerSet) others(addresses []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addresses), func(address netip.AddrPort) bool { return address == s.address })
}
