package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

// The figures of the way between regions, as of TCP's retransmission timer (RFC 6298).
const (
	// initialRoundTrip is the way to another region and back until it was measured: that of a
	// continent, so that a first question isn't given up on too early.
	initialRoundTrip = 50 * time.Millisecond
	// meanWeight and deviationWeight are the weights of a new measurement.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviationFactor is how many times the mean deviation is waited for beyond the mean.
	deviationFactor = 4
	// maxRoundTrip bounds what is taken for a measurement: an answer that was held up for
	// longer says nothing about the way.
	maxRoundTrip = time.Second
)

// roundTrip is the time of the way to a region and back, as measured. The zero roundTrip was not
// measured yet.
type roundTrip struct{ mean, deviation time.Duration }

func (t *roundTrip) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	deviation := max(took-t.mean, t.mean-took)
	t.deviation += time.Duration(deviationWeight * float64(deviation-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
}

// SetTopology tells the exchange the zones and regions. It is called before Run.
func (e *Exchange) SetTopology(places topology.Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.places = places
	e.peers.regionOfWorker = e.registry.Region
}

// RoundTrip is the time of the way to a region and back: nothing within the own region, where
// it is a part of every figure that was learned.
func (e *Exchange) RoundTrip(region string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roundTrip(region)
}

func (e *Exchange) roundTrip(region string) time.Duration {
	if !e.inOtherRegion(region) {
		return 0
	}
	if known := e.roundTrips[region]; known != nil {
		return known.mean
	}
	return initialRoundTrip
}

// inOtherRegion reports whether a region is another one. A node whose zone isn't known yet may be in
// one, where there are several.
func (e *Exchange) inOtherRegion(region string) bool {
	return e.peers.places.MultiRegion() && region != e.peers.places.OwnRegion()
}

// extraWait is how much longer than within the region an answer from another one is
// waited for.
func (e *Exchange) extraWait(region string) time.Duration {
	if !e.inOtherRegion(region) {
		return 0
	}
	if known := e.roundTrips[region]; known != nil {
		return known.mean + deviationFactor*known.deviation
	}
	return initialRoundTrip
}

// observeRoundTrip takes in how long an answer from a region took.
func (e *Exchange) observeRoundTrip(region string, took time.Duration) {
	if !e.inOtherRegion(region) || took <= 0 || took > maxRoundTrip {
		return
	}
	if e.roundTrips[region] == nil {
		e.roundTrips[region] = &roundTrip{}
	}
	e.roundTrips[region].observe(took)
}

// regionOf is the region of a node, empty where it isn't known.
func (s *peerSet) regionOf(address netip.AddrPort) string {
	if address == s.address {
		return s.places.OwnRegion()
	}
	if known, exists := s.peers[address]; exists {
		return s.places.Region(known.zone)
	}
	return ""
}

// inRegion returns the nodes of a region, or all where it has none: somebody has to keep
// the accounts of a region that lost its nodes.
func (s *peerSet) inRegion(region string) []netip.AddrPort {
	members := append(s.all(), s.address)
	if !s.places.MultiRegion() {
		return members
	}
	var near []netip.AddrPort
	for _, address := range members {
		if s.regionOf(address) == region {
			near = append(near, address)
		}
	}
	if len(near) == 0 {
		return members
	}
	return near
}

// homeRegion is the region whose nodes keep the account of a worker. In a small fleet
// that is all of them.
func (s *peerSet) homeRegion(worker string) string {
	if s.regionOfWorker == nil || !s.places.MultiRegion() || s.nodes() <= fullTrackingFleet {
		return ""
	}
	return s.regionOfWorker(worker)
}

// homeRegions returns the regions whose nodes keep the accounts of workers.
func (s *peerSet) homeRegions(workers []string) []string {
	var regions []string
	for _, id := range workers {
		if region := s.homeRegion(id); !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}
