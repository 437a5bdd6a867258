package nodeexchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

// connects tells, in a periodic message, whether its sender reaches workers and opens connections
// to them for other nodes. Messages of earlier builds don't tell.
type connects int

// Values of connects. Other messages leave it untold, and it stays as it was.
const (
	connectsUntold connects = iota
	connectsForOthers
	connectsForNobody
)

// isolatedHold is for how long a node that has been isolated leaves the duties to others. It keeps
// them from changing hands each time that links come and go.
const isolatedHold = 3 * time.Second

// SetConnects sets how this node tells whether it opens connections to workers for others, and
// whether it is isolated from the workers. It must be called before Run.
func (e *Exchange) SetConnects(forOthers, isolated func() bool) {
	e.connectsForOthers, e.isolated = forOthers, isolated
}

// updateIsolated looks whether this node is isolated. It then leaves the duties to nodes that reach
// the workers.
func (e *Exchange) updateIsolated(now time.Time) {
	if e.isolated == nil || !e.isolated() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.isolatedUntil) {
		e.log.Warn("this node has lost its links to most workers: it leaves the platform's duties to others")
	}
	e.isolatedUntil = now.Add(isolatedHold)
}

// LeaveDuties makes this node leave the duties to others for a time, as if it were isolated.
func (e *Exchange) LeaveDuties(span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(span); until.After(e.isolatedUntil) {
		e.isolatedUntil = until
	}
}

// isStandby reports whether this node leaves the duties to others. The caller holds mu.
func (e *Exchange) isStandby(now time.Time) bool {
	return now.Before(e.steppedBackUntil) || now.Before(e.isolatedUntil)
}

// connectsNow is what a periodic message tells.
func (e *Exchange) connectsNow() connects {
	if e.connectsForOthers != nil && e.connectsForOthers() {
		return connectsForOthers
	}
	return connectsForNobody
}

// TunnelNodes returns the present nodes that open connections to workers for others, those in the
// worker's zone first, then those in this node's. Nodes of other regions are left out unless there
// is none in this one's.
func (e *Exchange) TunnelNodes(worker string) []netip.AddrPort {
	zone := ""
	if known, listed := e.registry.Get(worker); listed {
		zone = known.Zone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.connecting(zone)
}

// OpensTunnels reports whether a node is present and opens connections to workers for others.
func (e *Exchange) OpensTunnels(node netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, exists := e.peers.peers[node]
	return exists && known.connects()
}

// IsNode reports whether an IP address is a known node's.
func (e *Exchange) IsNode(ip netip.Addr) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address := range e.peers.peers {
		if address.Addr() == ip {
			return true
		}
	}
	return false
}

// connects reports whether the node is present and opens connections to workers for others.
func (p *peer) connects() bool { return p.present && p.connectsTold == connectsForOthers }

// connecting returns the nodes that open connections for others, in the order of TunnelNodes and
// otherwise in random order.
func (s *peerSet) connecting(workerZone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for address, known := range s.peers {
		switch {
		case !known.connects():
		case s.places.DistanceTo(known.zone) == topology.OtherRegion:
			far = append(far, address)
		default:
			near = append(near, address)
		}
	}
	if near == nil {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rank := func(address netip.AddrPort) int {
		switch s.peers[address].zone {
		case workerZone:
			return 0
		case s.zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(near, func(a, b netip.AddrPort) int { return rank(a) - rank(b) })
	return near
}
