package nodeexchange

import (
	"net/netip"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
)

// coordinatorStub records the announcements that it receives.
type coordinatorStub struct {
	received chan []tablerelay.Announcement
}

func (b *coordinatorStub) OwnAnnouncements(time.Time) []tablerelay.Announcement { return nil }
func (b *coordinatorStub) KnownAnnouncements(time.Time) []tablerelay.Announcement {
	return []tablerelay.Announcement{{Table: "known"}}
}
func (b *coordinatorStub) Receive(announcements []tablerelay.Announcement, _ time.Time) {
	b.received <- announcements
}
func (b *coordinatorStub) ReceiveNews(tablefeed.News) {}

// TestWordsReachAllNodes checks that announcements reach every node of a large fleet through
// two nodes of each zone, and that no node sends to all others.
func TestWordsReachAllNodes(t *testing.T) {
	const nodes = 50
	boards := make([]TableCoordinator, nodes)
	for i := range boards {
		boards[i] = &coordinatorStub{received: make(chan []tablerelay.Announcement, 100)}
	}
	exchanges, _ := clusterWithCoordinators(t, boards, "w")
	exchanges[0].mu.Lock()
	near, across := exchanges[0].peers.broadcastTargets()
	targets := len(near) + len(across)
	exchanges[0].mu.Unlock()
	if targets > minHomes {
		t.Errorf("one node sends to %d nodes of one zone", targets)
	}
	exchanges[0].BroadcastAnnouncements([]tablerelay.Announcement{{Table: "spread"}})
	for i, board := range boards[1:] {
		select {
		case announcements := <-board.(*coordinatorStub).received:
			if announcements[0].Table != "spread" {
				t.Errorf("node %d received %v", i+1, announcements)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("node %d received nothing", i+1)
		}
	}
}

// TestAnnouncementsCanBeRequested checks that a node gets announcements when it asks for them.
func TestAnnouncementsCanBeRequested(t *testing.T) {
	asking, asked := &coordinatorStub{received: make(chan []tablerelay.Announcement, 100)}, &coordinatorStub{received: make(chan []tablerelay.Announcement, 100)}
	exchanges, _ := clusterWithCoordinators(t, []TableCoordinator{asking, asked}, "w")
	exchanges[0].RequestAnnouncements("table")
	select {
	case announcements := <-asking.received:
		if announcements[0].Table != "known" {
			t.Errorf("%v", announcements)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no announcements arrived")
	}
}

// TestNoNodeIsAskedForAnnouncementsByAll checks that in a large fleet nodes without
// announcements ask nodes of their zone, so that no node is asked by too many.
func TestNoNodeIsAskedForAnnouncementsByAll(t *testing.T) {
	for _, nodes := range []int{100, 300, 985} {
		supervisor := supervisorSet(t, nodes)
		var listed []Peer
		for address, known := range supervisor.peers {
			listed = append(listed, Peer{Node: known.node, Address: address, Zone: known.zone, Listed: uint64(2 + len(listed))})
		}
		listed = append(listed, Peer{Node: supervisor.self, Address: supervisor.address, Zone: supervisor.zone, Listed: 1})
		asked, roots := make(map[netip.AddrPort]int), 0
		for _, node := range listed[:min(nodes, 100)] {
			set := newPeerSet(node.Node, node.Address, node.Zone)
			set.addFullList(listed)
			isRoot := len(set.tableSources()) == 0
			if isRoot {
				roots++ // these ask the node that reads the table
			}
			for _, to := range set.announcementSources("servers") {
				asked[to]++
				if set.zoneOf(to) != set.zone && !isRoot {
					t.Errorf("a node of %s asks one of %s", set.zone, set.zoneOf(to))
				}
			}
		}
		if roots > 5*sourcesPerZone {
			t.Errorf("%d nodes: %d ask outside their zones", nodes, roots)
		}
		for address, times := range asked {
			if times > 40 { // of 100, where the 20 nodes of one zone may choose the same head
				t.Errorf("%d nodes: %v is asked by %d of 100", nodes, address, times)
			}
		}
	}
}

// TestBroadcastReachesALargeZoneInSmallBursts checks that the head of a large zone and the
// nodes that relay in its groups send few datagrams at once, and reach all nodes together.
func TestBroadcastReachesALargeZoneInSmallBursts(t *testing.T) {
	for _, count := range []int{40, 200, 400} {
		var zone []netip.AddrPort
		for i := range count {
			zone = append(zone, addressOf(i))
		}
		groups := groupCount(count)
		drawn := leaders(zone, groups)
		reached := make(map[netip.AddrPort]bool)
		for _, leader := range drawn {
			reached[leader] = true
			sent := 0
			for _, other := range zone {
				if other != leader && groupOf(other, groups) == groupOf(leader, groups) {
					reached[other] = true
					sent++
				}
			}
			if sent > 3*groups {
				t.Errorf("%d nodes: a node relays to %d others", count, sent)
			}
		}
		if len(reached) != count || len(drawn) > groups {
			t.Errorf("%d nodes: %d reached through %d", count, len(reached), len(drawn))
		}
	}
}
