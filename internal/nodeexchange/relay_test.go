package nodeexchange

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
)

// threeRegions maps six zones to three regions.
var threeRegions = map[string]string{
	"zone0": "region0", "zone1": "region0", "zone2": "region1", "zone3": "region1", "zone4": "region2", "zone5": "region2",
}

// regionalFleetOf returns the peer set of each node of a fleet in six zones of three regions.
func regionalFleetOf(nodes int) map[netip.AddrPort]*peerSet {
	sets := make(map[netip.AddrPort]*peerSet)
	for i := range nodes {
		zone := fmt.Sprint("zone", i%6)
		set := newPeerSet(fmt.Sprint("n", i), addressOf(i), zone)
		set.places = topology.New(zone, threeRegions)
		var listed []Peer
		for j := range nodes {
			listed = append(listed, Peer{Node: fmt.Sprint("n", j), Address: addressOf(j), Zone: fmt.Sprint("zone", j%6)})
		}
		set.addFullList(listed)
		sets[set.address] = set
	}
	return sets
}

// broadcastOver simulates a broadcast of a node to all others that are alive. It returns how
// often each node gets it, and how many datagrams cross between regions.
func broadcastOver(sets map[netip.AddrPort]*peerSet, from netip.AddrPort, dead []netip.AddrPort) (got map[netip.AddrPort]int, crossings int) {
	got = make(map[netip.AddrPort]int)
	passed := make(map[netip.AddrPort]bool)
	var carry func(sender, to netip.AddrPort, across, relayed bool)
	carry = func(sender, to netip.AddrPort, across, relayed bool) {
		set := sets[to]
		if set.regionOf(sender) != set.places.OwnRegion() {
			crossings++
		}
		if slices.Contains(dead, to) {
			return
		}
		got[to]++
		heads, zone := set.relayTargets(across, false)
		if relayed || len(heads)+len(zone) == 0 || passed[to] {
			return
		}
		passed[to] = true
		for _, head := range heads {
			carry(to, head, false, false)
		}
		for _, other := range zone {
			if other != sender {
				carry(to, other, false, true)
			}
		}
	}
	near, across := sets[from].broadcastTargets()
	for _, to := range near {
		carry(from, to, false, false)
	}
	for _, to := range across {
		carry(from, to, true, false)
	}
	return got, crossings
}

// missing counts the nodes that didn't get a broadcast, apart from some.
func missing(sets map[netip.AddrPort]*peerSet, got map[netip.AddrPort]int, except []netip.AddrPort) int {
	count := 0
	for address := range sets {
		if got[address] == 0 && !slices.Contains(except, address) {
			count++
		}
	}
	return count
}

// TestBroadcastCrossesOnceForEachHeadOfARegion checks that a broadcast reaches all nodes, and
// that only two datagrams of it go to each other region.
func TestBroadcastCrossesOnceForEachHeadOfARegion(t *testing.T) {
	sets := regionalFleetOf(67)
	from := addressOf(0)
	got, crossings := broadcastOver(sets, from, nil)
	if left := missing(sets, got, []netip.AddrPort{from}); left > 0 {
		t.Errorf("%d nodes get nothing", left)
	}
	if crossings != 2*minHomes {
		t.Errorf("%d datagrams cross between regions, want %d", crossings, 2*minHomes)
	}
	for address, times := range got {
		if times > 2*minHomes {
			t.Errorf("%v gets it %d times", address, times)
		}
	}
}

// TestBroadcastReachesAllNodesWithoutTheFirstHeads checks that a broadcast reaches all nodes
// although the first of each pair of heads, of regions and of zones, is dead.
func TestBroadcastReachesAllNodesWithoutTheFirstHeads(t *testing.T) {
	sets := regionalFleetOf(67)
	from := addressOf(0)
	var dead []netip.AddrPort
	for i := range len(sets) {
		set := sets[addressOf(i)]
		heads := [][]netip.AddrPort{set.heads(set.zone)}
		for _, head := range set.regionHeads() {
			if set.regionOf(head) == set.places.OwnRegion() {
				heads = append(heads, []netip.AddrPort{head})
				break
			}
		}
		for _, pair := range heads {
			if pair[0] != from && !slices.Contains(dead, pair[0]) && !bothDead(sets, append(dead, pair[0])) {
				dead = append(dead, pair[0])
			}
		}
	}
	if len(dead) < 6 {
		t.Fatalf("only %d heads are dead, want at least 6", len(dead))
	}
	got, _ := broadcastOver(sets, from, dead)
	if left := missing(sets, got, append(dead, from)); left > 0 {
		t.Errorf("%d nodes get nothing", left)
	}
}

// bothDead reports whether both heads of some zone or region are dead.
func bothDead(sets map[netip.AddrPort]*peerSet, dead []netip.AddrPort) bool {
	isDead := func(address netip.AddrPort) bool { return slices.Contains(dead, address) }
	any := sets[addressOf(0)]
	alive := make(map[string]int)
	for _, zone := range any.zones() {
		for _, head := range any.heads(zone) {
			if !isDead(head) {
				alive[zone]++
			}
		}
	}
	for _, head := range any.regionHeads() {
		if !isDead(head) {
			alive[any.regionOf(head)]++
		}
	}
	return len(alive) < 9
}

// TestMessageIsRelayedOnce checks that a node relays a broadcast once although two heads of the
// region send it. One without a number comes from a node that knows no regions and is always
// relayed.
func TestMessageIsRelayedOnce(t *testing.T) {
	var r relayHistory
	message := Message{Node: "a", Sequence: 7}
	if !r.isNew(message) || r.isNew(message) {
		t.Error("the same message counts as new twice")
	}
	if !r.isNew(Message{Node: "b", Sequence: 7}) || !r.isNew(Message{Node: "a", Sequence: 6}) {
		t.Error("another message doesn't count as new")
	}
	for range 2 {
		if !r.isNew(Message{Node: "old"}) {
			t.Error("a message without a number doesn't count as new")
		}
	}
}

// TestEachRegionHasSupervisors checks that each region has supervisors, so that some remain if
// any region is lost, and that all nodes agree on them.
func TestEachRegionHasSupervisors(t *testing.T) {
	sets := regionalFleetOf(67)
	supervisors := sets[addressOf(0)].supervisors()
	regions := make(map[string]int)
	for _, address := range supervisors {
		regions[sets[address].places.OwnRegion()]++
	}
	if len(regions) != 3 || len(supervisors) < minSupervisors {
		t.Errorf("supervisors by region: %v", regions)
	}
	for _, set := range sets {
		others := set.supervisors()
		for _, address := range supervisors {
			if len(others) != len(supervisors) || !slices.Contains(others, address) {
				t.Fatalf("%v names %v, others %v", set.address, others, supervisors)
			}
		}
	}
}

// TestSupervisorOfAnotherRegionTakesOver checks that one supervisor of another region is
// designated when the region of the designated one is lost.
func TestSupervisorOfAnotherRegionTakesOver(t *testing.T) {
	sets := regionalFleetOf(67)
	supervisors := sets[addressOf(0)].supervisors()
	for _, address := range supervisors {
		for other, set := range sets {
			if other != address {
				sets[address].recordMessage(other, Message{Node: set.self, Sequence: 1}, origin)
			}
		}
	}
	designated := func(lost string) []netip.AddrPort {
		var found []netip.AddrPort
		for _, address := range supervisors {
			if set := sets[address]; set.places.OwnRegion() != lost && set.designated(false) {
				found = append(found, address)
			}
		}
		return found
	}
	before := designated("")
	if len(before) != 1 {
		t.Fatalf("%v are designated", before)
	}
	lost, later := sets[before[0]].places.OwnRegion(), origin.Add(peerTimeout+1)
	for _, address := range supervisors {
		for other, set := range sets {
			if set.places.OwnRegion() != lost && other != address {
				sets[address].recordMessage(other, Message{Node: set.self, Sequence: 2}, later)
			}
		}
		sets[address].markSilent(later)
	}
	if after := designated(lost); len(after) != 1 {
		t.Errorf("without %s %v are designated", lost, after)
	}
}

// TestOnlySupervisorsGetTheDemandOfRegions checks that other nodes get load messages without
// the demand by region.
func TestOnlySupervisorsGetTheDemandOfRegions(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	told := func() (*net.UDPConn, netip.AddrPort) {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, netip.MustParseAddrPort(conn.LocalAddr().String())
	}
	supervisor, supervisorAddress := told()
	home, homeAddress := told()
	snapshot := worker.Snapshot{RegionDemand: map[string]map[string]worker.Demand{"region1": {"s": {ReadTokens: 5}}}}
	parcels := map[netip.AddrPort][]string{supervisorAddress: nil, homeAddress: nil}
	exchange.sendSnapshot(parcels, []netip.AddrPort{supervisorAddress}, snapshot, Message{Node: "me", Sequence: 1})
	for conn, want := range map[*net.UDPConn]bool{supervisor: true, home: false} {
		buffer := make([]byte, maxDatagram)
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		message, err := decode(buffer[:count])
		if err != nil || (message.RegionDemand != nil) != want {
			t.Errorf("%s, %v", buffer[:count], err)
		}
	}
}

// exchangeWithSockets returns an exchange in zone0 that knows 36 other nodes in six zones of
// three regions, and the sockets of these nodes.
func exchangeWithSockets(t *testing.T) (*Exchange, map[netip.AddrPort]*net.UDPConn) {
	t.Helper()
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = exchange.conn.Close() })
	exchange.SetTopology(topology.New("zone0", threeRegions))
	sockets := make(map[netip.AddrPort]*net.UDPConn)
	var listed []Peer
	for i := range 36 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		address := netip.MustParseAddrPort(conn.LocalAddr().String())
		sockets[address] = conn
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: address, Zone: fmt.Sprint("zone", i%6)})
	}
	exchange.AddPeers(listed)
	return exchange, sockets
}

// next reads the next message that arrives at a socket.
func next(t *testing.T, conn *net.UDPConn) Message {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, maxDatagram)
	count, _, err := conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	message, err := decode(buffer[:count])
	if err != nil {
		t.Fatal(err)
	}
	return message
}

// TestOnlyHeadsOfOtherRegionsRelayInTheirRegion checks that only the heads of other regions are
// told to relay a broadcast in their region, and that each broadcast has a number.
func TestOnlyHeadsOfOtherRegionsRelayInTheirRegion(t *testing.T) {
	exchange, sockets := exchangeWithSockets(t)
	near, across := exchange.peers.broadcastTargets()
	if len(near) == 0 || len(across) != 2*minHomes {
		t.Fatalf("%d near and %d across", len(near), len(across))
	}
	for number := range uint64(2) {
		exchange.broadcast(Message{Node: "me", News: []byte{1}})
		for _, address := range slices.Concat(near, across) {
			message := next(t, sockets[address])
			if message.RelayInRegion != slices.Contains(across, address) || message.Sequence != number+1 {
				t.Errorf("relay in region %v, number %d", message.RelayInRegion, message.Sequence)
			}
		}
	}
}

// TestNewsOfAnotherRegionAreRelayedOnce checks that a broadcast from another region is relayed
// once to the heads of this region's zones.
func TestNewsOfAnotherRegionAreRelayedOnce(t *testing.T) {
	exchange, sockets := exchangeWithSockets(t)
	heads, _ := exchange.peers.relayTargets(true, false)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, number := range []uint64{7, 7, 8} {
		exchange.relay(from, Message{Node: "maker", Sequence: number, News: []byte{1}, RelayInRegion: true})
	}
	for _, address := range heads {
		var numbers []uint64
		for len(numbers) < 2 {
			message := next(t, sockets[address])
			if message.Relayed {
				continue // it got this one as a node of the same zone
			}
			if message.RelayInRegion || message.Node != "maker" {
				t.Errorf("%+v", message)
			}
			numbers = append(numbers, message.Sequence)
		}
		if !slices.Equal(numbers, []uint64{7, 8}) {
			t.Errorf("%v gets %v", address, numbers)
		}
	}
}

// TestNodeTakenForAHeadRelays guards against a zone that gets no broadcasts while a large fleet
// starts: the originator knows fewer or other nodes then, and may send to a node that doesn't
// count itself among the heads.
func TestNodeTakenForAHeadRelays(t *testing.T) {
	set := supervisorSet(t, 300)
	if slices.Contains(set.heads(set.zone), set.address) {
		t.Fatal("the node is a head itself")
	}
	if _, zone := set.relayTargets(false, false); len(zone) != 0 {
		t.Errorf("a node that is no head relays to %d others", len(zone))
	}
	if _, zone := set.relayTargets(false, true); len(zone) != len(set.inZone()) {
		t.Errorf("a node taken for a head relays to %d of %d others", len(zone), len(set.inZone()))
	}
}
