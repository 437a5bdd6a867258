package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

// Parameters of the round-trip estimate, as in TCP's retransmission timer (RFC 6298).
const (
	// initialRoundTrip is the assumed round trip to another region before any measurement: that
	// across a continent, so that the first question isn't given up too early.
	initialRoundTrip = 50 * time.Millisecond
	// meanWeight and deviationWeight are the weights of a new measurement.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviationFactor is the number of mean deviations that are added to the mean for a
	// timeout.
	deviationFactor = 4
	// maxRoundTrip is the longest time that counts as a measurement: an answer that took longer
	// was delayed by something else.
	maxRoundTrip = time.Second
)

// roundTrip is the measured round-trip time to a region. The zero roundTrip has no measurement
// yet.
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

// SetTopology sets the zones and regions. It must be called before Run.
func (e *Exchange) SetTopology(places topology.Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.places = places
	e.peers.regionOfWorker = e.registry.Region
}

// RoundTrip returns the round-trip time to a region. It is zero for this node's own region,
// where it is included in all learned times.
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

// inOtherRegion reports whether a region isn't this node's own. Where there are several
// regions, a node whose zone isn't known yet counts as in another one.
func (e *Exchange) inOtherRegion(region string) bool {
	return e.peers.places.MultiRegion() && region != e.peers.places.OwnRegion()
}

// extraWait returns how much longer to wait for an answer from a region than for one from this
// node's own.
func (e *Exchange) extraWait(region string) time.Duration {
	if !e.inOtherRegion(region) {
		return 0
	}
	if known := e.roundTrips[region]; known != nil {
		return known.mean + deviationFactor*known.deviation
	}
	return initialRoundTrip
}

// observeRoundTrip records how long an answer from a region took.
func (e *Exchange) observeRoundTrip(region string, took time.Duration) {
	if !e.inOtherRegion(region) || took <= 0 || took > maxRoundTrip {
		return
	}
	if e.roundTrips[region] == nil {
		e.roundTrips[region] = &roundTrip{}
	}
	e.roundTrips[region].observe(took)
}

// regionOf returns the region of a node, or "" if it isn't known.
func (s *peerSet) regionOf(address netip.AddrPort) string {
	if address == s.address {
		return s.places.OwnRegion()
	}
	if known, exists := s.peers[address]; exists {
		return s.places.Region(known.zone)
	}
	return ""
}

// inRegion returns the nodes of a region, or all nodes if it has none, since the workers of a
// region that lost its nodes still need homes.
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

// homeRegion returns the region whose nodes track a worker's load, or "" if all nodes may, as
// in a small fleet.
func (s *peerSet) homeRegion(worker string) string {
	if s.regionOfWorker == nil || !s.places.MultiRegion() || s.nodes() <= fullTrackingFleet {
		return ""
	}
	return s.regionOfWorker(worker)
}

// homeRegions returns the regions whose nodes track the load of some workers.
func (s *peerSet) homeRegions(workers []string) []string {
	var regions []string
	for _, id := range workers {
		if region := s.homeRegion(id); !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}
