package quota

import (
	"net/netip"
	"time"
)

// Bounds for the handling of silent nodes, from which no message arrives.
const (
	// maxReserved leaves a tenth of the limit to nodes that begin to use an account while
	// others are silent, as much as the overshoot that is commonly tolerated.
	maxReserved = 0.9
	// SilentAfter is the time without a message after which a node counts as silent. Two
	// consecutive periodic reports of a keeper, or two answers to its probes, may be lost
	// before that. For this long, two halves of a partitioned fleet may each use the whole
	// limit; where the burst equals one second at the rate and the overshoot is a tenth over 8
	// s, that is hardly more than is tolerated.
	SilentAfter = 1100 * time.Millisecond
	// reservationPeriod is how long the share of a silent node is held back. Most partitions
	// end sooner, and a process that died has been replaced by then.
	reservationPeriod = 30 * time.Second
)

// silentShare returns the share of recent usage that belongs to silent nodes, without the node
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

// shareOf returns a node's share of the recent usage of an account.
func (k *Keeper) shareOf(a *account, s *spender, now time.Time) float64 {
	total := a.total.decay(k.tolerance.Window, now)
	if total <= 0 {
		return 0
	}
	return min(s.recent.decay(k.tolerance.Window, now)/total, 1)
}

// SilentNodes returns the addresses of nodes with recent usage of an account from which nothing
// was heard for at least minSilence. They may have to be probed.
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
