package nodeexchange

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
)

// TableCoordinator processes what other nodes send about tables of the store, and provides what
// this node sends them: announcements tell up to which version the store has confirmed a table,
// news hold the changed rows.
type TableCoordinator interface {
	// OwnAnnouncements returns announcements of what this node itself has read from the store.
	// KnownAnnouncements returns those of all that it relies on.
	OwnAnnouncements(now time.Time) []tablerelay.Announcement
	KnownAnnouncements(now time.Time) []tablerelay.Announcement
	Receive(announcements []tablerelay.Announcement, now time.Time)
	ReceiveNews(news tablefeed.News)
}

// maxFanOut is the largest number of nodes to which one node sends a broadcast directly. In a
// larger fleet it sends it to two nodes of each zone of its region and two of each other
// region, which relay it.
const maxFanOut = 30

// BroadcastAnnouncements broadcasts announcements of what the store has confirmed.
func (e *Exchange) BroadcastAnnouncements(announcements []tablerelay.Announcement) {
	e.broadcast(Message{Node: e.node, Announcements: announcements, CreatedMillis: clock.Boottime().UnixMilli()})
}

// BroadcastNews broadcasts changes of a table. Changes that are too large aren't sent: the
// other nodes learn of them from the next announcement and fetch them.
func (e *Exchange) BroadcastNews(news tablefeed.News) {
	packed, err := packNews(news)
	if err != nil {
		e.log.WithError(err).Error("changes of a table can't be encoded for the other nodes")
		return
	}
	if len(packed) > e.newsLimit() {
		e.log.WithField("table", news.Table).WithField("bytes", len(packed)).Info("changes of a table are too large to be broadcast; the other nodes fetch them")
		return
	}
	e.broadcast(Message{Node: e.node, News: packed})
}

// maxHeadBytes is the most that a head of a zone sends for one change: a tenth of a second of a
// link of 20 Mbit/s. Larger changes are fetched by each node from one in its zone that has
// them.
const maxHeadBytes = 256 << 10

// newsLimit returns the size of the largest news that are broadcast, such that a head of the
// largest zone can relay them without delaying other messages.
func (e *Exchange) newsLimit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(maxNews, maxHeadBytes/e.peers.largestZoneSize())
}

// broadcast sends a message that all nodes are to get.
func (e *Exchange) broadcast(message Message) {
	e.mu.Lock()
	near, across := e.peers.broadcastTargets()
	e.broadcasts++
	message.Sequence = e.broadcasts
	message.RelayInZone = e.peers.large()
	e.mu.Unlock()
	e.sendAll(near, message)
	message.RelayInRegion, message.RelayInZone = true, false
	e.sendAll(across, message)
}

// relay forwards a broadcast that came from its originator or from a head of the region to the
// other nodes of the zone, if this node is to; and one that came from another region to the
// heads of the zones of this region.
func (e *Exchange) relay(from netip.AddrPort, message Message) {
	if message.Relayed {
		e.relayInGroup(from, message)
		return
	}
	if message.Sequence == 0 && message.Departed != nil {
		return
	}
	e.mu.Lock()
	heads, zone := e.peers.relayTargets(message.RelayInRegion, message.RelayInZone)
	if len(heads)+len(zone) > 0 && !e.relayHistory.isNew(message) {
		heads, zone = nil, nil
	}
	e.mu.Unlock()
	message.RelayInRegion, message.RelayInZone = false, true
	e.sendAll(heads, message)
	message.Relayed, message.RelayInZone = true, false
	zone = slices.DeleteFunc(zone, func(to netip.AddrPort) bool { return to == from })
	if len(zone) <= maxFanOut {
		e.sendAll(zone, message)
		return
	}
	message.RelayGroups = groupCount(len(zone))
	e.sendAll(leaders(zone, message.RelayGroups), message)
}

// relayInGroup forwards a broadcast that came from a head of a large zone to the other nodes of
// this node's group.
func (e *Exchange) relayInGroup(from netip.AddrPort, message Message) {
	groups := message.RelayGroups
	if groups <= 0 {
		return
	}
	e.mu.Lock()
	own := groupOf(e.peers.address, groups)
	group := slices.DeleteFunc(e.peers.inZone(), func(to netip.AddrPort) bool { return to == from || groupOf(to, groups) != own })
	e.mu.Unlock()
	message.RelayGroups = 0
	e.sendAll(group, message)
}

// groupCount returns the number of groups into which a head divides the nodes of its zone. It
// is the square root of their number, so that the head and the nodes that relay in the groups
// send about as many datagrams at once: a burst of two hundred exceeds what a link of 20 Mbit/s
// takes, and the rest is lost.
func groupCount(nodes int) int { return int(math.Ceil(math.Sqrt(float64(nodes)))) }

// groupOf returns the group of a node. All nodes that divide a zone into the same number of
// groups agree on it.
func groupOf(address netip.AddrPort, groups int) int {
	return int(rendezvous.Hash(address.String()) % uint64(groups))
}

// leaders returns a random node of each group. Different heads draw different ones, so that a
// dead leader doesn't keep its group from getting a broadcast.
func leaders(nodes []netip.AddrPort, groups int) []netip.AddrPort {
	byGroup := make(map[int][]netip.AddrPort)
	for _, address := range nodes {
		group := groupOf(address, groups)
		byGroup[group] = append(byGroup[group], address)
	}
	drawn := make([]netip.AddrPort, 0, groups)
	for _, group := range byGroup {
		drawn = append(drawn, group[rand.IntN(len(group))])
	}
	return drawn
}

// RequestAnnouncements asks two nodes for their announcements, when none has arrived: the node
// that should read the table from the store, and another one. In a large fleet, where too many
// nodes would ask the former, it asks the node from which this one gets tables and another one
// of its zone.
func (e *Exchange) RequestAnnouncements(table string) {
	e.mu.Lock()
	asked := e.peers.announcementSources(table)
	e.mu.Unlock()
	for _, to := range asked {
		e.sendTo(to, Message{Node: e.node, WantAnnouncements: true})
	}
}

// announcementSources returns the nodes to be asked for announcements about a table.
func (s *peerSet) announcementSources(table string) []netip.AddrPort {
	first := s.firstRanked("table "+table, 1, "")
	if sources := s.tableSources(); s.large() && len(sources) > 0 {
		first = sources[:1]
	}
	asked := slices.Clone(first)
	if any, found := s.randomNearPeer(); found && !slices.Contains(asked, any) {
		asked = append(asked, any)
	}
	return s.others(asked)
}

// randomNearPeer returns a random peer, in a large fleet one of this node's zone.
func (s *peerSet) randomNearPeer() (netip.AddrPort, bool) {
	if !s.large() {
		return s.randomPeer()
	}
	near := s.inZone()
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[rand.IntN(len(near))], true
}

// sendAnnouncements answers a node that asks for announcements.
func (e *Exchange) sendAnnouncements(to netip.AddrPort) {
	if e.coordinator == nil {
		return
	}
	if announcements := e.coordinator.KnownAnnouncements(time.Now()); len(announcements) > 0 {
		e.sendTo(to, Message{Node: e.node, Announcements: announcements, CreatedMillis: clock.Boottime().UnixMilli(), Relayed: true})
	}
}

func (e *Exchange) receiveAnnouncements(from netip.AddrPort, message Message) {
	e.receiveAnnouncementsAt(from, message, clock.Boottime())
}

// receiveAnnouncementsAt processes announcements that arrive at a time of CLOCK_BOOTTIME. Their
// ages were correct when the message was created, so it adds the time that the message was
// delayed.
func (e *Exchange) receiveAnnouncementsAt(from netip.AddrPort, message Message, now time.Time) {
	if e.coordinator == nil {
		return
	}
	announcements := message.Announcements
	if message.CreatedMillis != 0 {
		delay := e.delays.excess(message.Node, time.UnixMilli(message.CreatedMillis), now)
		announcements = slices.Clone(announcements)
		for i := range announcements {
			announcements[i].AgeMillis += delay.Milliseconds()
		}
	}
	e.coordinator.Receive(announcements, time.Now())
	e.relay(from, message)
}

func (e *Exchange) receiveNews(from netip.AddrPort, message Message) {
	news, err := unpackNews(message.News)
	if err != nil {
		e.logMalformed(from, err)
		return
	}
	if e.coordinator != nil {
		e.coordinator.ReceiveNews(news)
	}
	e.relay(from, message)
}

// Outranks reports whether another node, given by its address, ranks before this one among
// those that may read a table from the store.
func (e *Exchange) Outranks(table, reader string) bool {
	address, err := netip.ParseAddrPort(reader)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.outranks(table, address)
}

// Rank returns this node's rank among the nodes that may read a table from the store, 0 being
// the first.
func (e *Exchange) Rank(table string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.readerRank(table)
}

// Address returns the address that identifies this node in announcements.
func (e *Exchange) Address() string { return e.peers.address.String() }
