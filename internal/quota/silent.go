package quota

import (
	"net/netip"
	"time"
)

// The figures of nodes out of hearing.
const (
	// maxReserved leaves something to nodes that begin to use an account while others are
	// out of hearing: the overshoot that is commonly tolerated.
	maxReserved = 0.9
	// SilentAfter is when a node counts as out of hearing: two of the reports of a keeper at
	// rest, or two of the answers to such a keeper's probes, may be lost. In that time two
	// halves that have lost each other may use the limit twice: hardly more than is
	// tolerated where the burst is a second's rate and the overshoot a tenth in 8 s.
	SilentAfter = 1100 * time.Millisecond
	// reservedFor is for how long a silent node's share is kept for it. Most cuts end
	// before, and a process that died has a successor.
	reservationPeriod = 30 * time.Second
)

// silentShare is the part of the use of nodes that are out of hearing, other than the one
// that asks.
func (k *Keeper) silentShare(a *account, asker string, now time.Time) float64 {
	sum := 0.0
	for node, s := range a.spenders {
		silence := now.Sub(k.lastHeard[node])
		if node == asker || s.stopped || silence <= SilentAfter || silence > reservationPeriod {
			s.shareWhenSilent = 0
			continue
		}
		if s.shareWhenSilent == 0 {
			s.shareWhenSilent = k.shareOf(a, s, now)
		}
		sum += s.shareWhenSilent
	}
	return min(sum, maxReserved)
}

// shareOf is a node's part of the recent use.
func (k *Keeper) shareOf(a *account, s *spender, now time.Time) float64 {
	total := a.total.decay(k.tolerance.Window, now)
	if total <= 0 {
		return 0
	}
	return min(s.recent.decay(k.tolerance.Window, now)/total, 1)
}

// SilentNodes returns the nodes with recent use of an account that weren't heard for a time, as
// those that may have to be probed.
func (k *Keeper) SilentNodes(name string, minSilence time.Duration, now time.Time) []netip.AddrPort {
	a, known := k.accounts[name]
	if !known {
		return nil
	}
	var addresses []netip.AddrPort
	for node, s := range a.spenders {
		silence := now.Sub(k.lastHeard[node])
		if !s.stopped && silence >= minSilence && silence <= reservationPeriod {
			addresses = append(addresses, s.address)
		}
	}
	return addresses
}
