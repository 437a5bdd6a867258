package nodeexchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
)

var twoRegions = topology.New("north-a", map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})

// regionalSet returns the peers of a node in the north, with perZone nodes in each zone.
func regionalSet(perZone int) *peerSet {
	set := newPeerSet("me", addressOf(0), "north-a")
	set.places = twoRegions
	set.regionOfWorker = func(worker string) string { return worker }
	var listed []Peer
	for i := range 3 * perZone {
		zone := []string{"north-a", "north-b", "south-a"}[i%3]
		listed = append(listed, Peer{Node: fmt.Sprint("n", i+1), Address: addressOf(i + 1), Zone: zone})
	}
	set.addFullList(listed)
	return set
}

// TestHomesAreInTheRegionOfTheWorker checks that the homes of a worker are in its region, or
// anywhere if that region has no nodes.
func TestHomesAreInTheRegionOfTheWorker(t *testing.T) {
	set := regionalSet(30)
	for _, region := range []string{"north", "south"} {
		for _, home := range set.homes(region) {
			if got := set.regionOf(home); got != region {
				t.Errorf("a worker of the %s has a home in the %s", region, got)
			}
		}
	}
	for address, known := range set.peers {
		if known.zone == "south-a" {
			delete(set.peers, address)
		}
	}
	set.clearRankings()
	if homes := set.homes("south"); len(homes) < minHomes {
		t.Errorf("%d homes for a worker whose region has no nodes", len(homes))
	}
}

// TestSmallFleetTracksAllWorkers checks that in a small fleet all nodes track a worker's load,
// whatever its region.
func TestSmallFleetTracksAllWorkers(t *testing.T) {
	set := regionalSet(5)
	if !set.isHome("south") || len(set.homes("south")) != 16 {
		t.Errorf("is a home: %v; %d of 16 nodes are", set.isHome("south"), len(set.homes("south")))
	}
}

// TestAskWaitsLongerForAnotherRegion checks that Ask waits longer for an answer from another
// region, by the measured round trip, and that it measures the round trip.
func TestAskWaitsLongerForAnotherRegion(t *testing.T) {
	registry := worker.NewRegistry(twoRegions)
	exchange, err := Listen("127.0.0.1:0", "me", "north-a", registry, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.conn.Close()
	exchange.SetTopology(twoRegions)
	registry.Replace([]worker.Worker{{ID: "w", Service: "s", Zone: "south-a", Stage: worker.Decode}})
	far, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	address := netip.MustParseAddrPort(far.LocalAddr().String())
	listed := []Peer{{Node: "far", Address: address, Zone: "south-a"}}
	for i := range fullTrackingFleet + 1 {
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: addressOf(i + 1), Zone: "north-a"})
	}
	exchange.AddPeers(listed)
	// Much longer than the answer takes, so that a busy machine doesn't matter.
	exchange.roundTrips["south"] = &roundTrip{mean: 10 * time.Second}
	go exchange.receive()
	go answerAfter(far, 2*askTimeout)
	answers := exchange.Ask(context.Background(), []string{"w"}, nil, 0)
	if account, answered := answers.Reports["w"]; !answered || account.Requests != 7 {
		t.Errorf("answered %v: %+v", answered, account)
	}
	if got := exchange.RoundTrip("south"); got >= 10*time.Second || exchange.RoundTrip("north") != 0 {
		t.Errorf("the round trip to the south is %v, within the north %v", got, exchange.RoundTrip("north"))
	}
}

// answerAfter answers one question after the given time.
func answerAfter(conn *net.UDPConn, pause time.Duration) {
	buffer := make([]byte, maxDatagram)
	count, from, err := conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return
	}
	asked, err := decode(buffer[:count])
	if err != nil || asked.Question == nil {
		return
	}
	time.Sleep(pause)
	answer := reply{ID: asked.Question.ID, Sent: asked.Question.Sent, Reports: map[string]wireLoadReport{"w": {7}}}
	datagram, err := json.Marshal(Message{Node: "far", Reply: &answer})
	if err == nil {
		_, _ = conn.WriteToUDPAddrPort(datagram, from)
	}
}

// TestNoExtraWaitInOneRegion checks that a node with an unknown zone isn't waited for longer if
// there is only one region.
func TestNoExtraWaitInOneRegion(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "north-a", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.conn.Close()
	exchange.SetTopology(topology.New("north-a", map[string]string{"north-a": "north", "north-b": "north"}))
	if got := exchange.extraWait(exchange.peers.regionOf(addressOf(1))); got != 0 {
		t.Errorf("a node without a zone gets an extra wait of %v", got)
	}
}

func TestRoundTripFollowsMeasurements(t *testing.T) {
	way := &roundTrip{}
	for range 60 {
		way.observe(24 * time.Millisecond)
	}
	if way.mean != 24*time.Millisecond || way.deviation > time.Millisecond {
		t.Errorf("mean %v with a deviation of %v", way.mean, way.deviation)
	}
	for range 60 {
		way.observe(48 * time.Millisecond)
	}
	if way.mean < 40*time.Millisecond {
		t.Errorf("mean %v after the round trip became longer", way.mean)
	}
}
