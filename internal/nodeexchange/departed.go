package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Times and bounds of the removal of nodes that are gone for good. Nodes cease in these ways:
//   - A silent node wasn't heard within presenceTimeout. It stays a peer but isn't present; the
//     log of supervisors calls it lost.
//   - A leaving node has told that it shuts down, and is removed at once.
//   - A withdrawn node is one whose row in the store's list was deleted.
//   - A departed node, also called gone for good, was silent for departedAfter, so that the
//     designated supervisor had its row deleted. It is then dropped: removed from the peers
//     unless it was heard in the meantime.
//   - A node is unlisted if another node tells it that it was dropped itself.
const (
	// departedAfter is how long a node must have been silent to count as gone for good. It is
	// longer than machines are powered off, frozen or cut off in the users' scenarios (up to
	// half a minute), since removing a node moves all that it tracked to other nodes.
	departedAfter = time.Minute
	// maxCheckGap is the longest time between two checks for silent nodes, three times the
	// interval of the checks (serving.pruneEvery). After a longer gap a supervisor assumes that
	// its own process was stopped, so that it missed the messages of all nodes.
	maxCheckGap = 30 * time.Second
	// departedNotices is how often the other nodes are told of a departed one, since datagrams
	// may be lost.
	departedNotices = 3
	// maxDropped bounds the dropped nodes that a supervisor remembers.
	maxDropped = 1000
)

// silenceMonitor keeps track of silent nodes on a supervisor, to which all nodes report.
type silenceMonitor struct {
	// since is when this node became a supervisor or resumed after a stop, or zero while it
	// isn't a supervisor. Before that time it didn't hear from all nodes.
	since time.Time
	// lastCheck is when the node last checked for silent nodes.
	lastCheck time.Time
	// dropped holds the peers that were dropped as gone for good, each with the number of times
	// that the other nodes are still to be told of it.
	dropped map[netip.AddrPort]int
}

func newSilenceMonitor() silenceMonitor { return silenceMonitor{dropped: make(map[netip.AddrPort]int)} }

// remember records that a peer was dropped and how often the other nodes are to be told of it.
// If there are too many, it forgets another one, which is harmless: should that node come back,
// it isn't in the store's list either.
func (w *silenceMonitor) remember(address netip.AddrPort, times int) {
	if len(w.dropped) >= maxDropped {
		for other := range w.dropped {
			delete(w.dropped, other)
			break
		}
	}
	w.dropped[address] = times
}

// check records since when this node has been a supervisor without interruption.
func (w *silenceMonitor) check(supervises bool, now time.Time) {
	switch {
	case !supervises:
		w.since = time.Time{}
	case w.since.IsZero(), now.Sub(w.lastCheck) > maxCheckGap:
		w.since = now
	}
	w.lastCheck = now
}

// departed returns the peers that a supervisor has not heard for so long that they count as
// gone for good. It returns none while the supervisor hears from at most half of all nodes:
// then it may be this node that is cut off.
func (s *peerSet) departed(w *silenceMonitor, now time.Time) []netip.AddrPort {
	if w.since.IsZero() {
		return nil
	}
	var gone []netip.AddrPort
	present := 1
	for address, known := range s.peers {
		if known.present {
			present++
			continue
		}
		heard := known.heard
		if heard.Before(w.since) {
			heard = w.since
		}
		if now.Sub(heard) > departedAfter {
			gone = append(gone, address)
		}
	}
	if 2*present <= s.nodes() {
		return nil
	}
	return gone
}

// drop removes a peer unless it was heard recently. It reports whether it removed one.
func (s *peerSet) drop(address netip.AddrPort, now time.Time) bool {
	known, exists := s.peers[address]
	if !exists || known.present && now.Sub(known.heard) <= s.presenceTimeout(address) {
		return false
	}
	s.remove(address)
	return true
}

// greetAll lets this node greet all peers again.
func (s *peerSet) greetAll() {
	for _, known := range s.peers {
		known.greetings = greetings
	}
}

// DepartedPeers returns the addresses of nodes that count as gone for good, if this node is the
// designated supervisor, which is to remove them. It must be called at regular intervals.
func (e *Exchange) DepartedPeers(now time.Time) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenceMonitor.check(e.peers.supervises(), now)
	if !e.peers.designated(e.isStandby(now)) {
		return nil
	}
	return e.peers.departed(&e.silenceMonitor, now)
}

// DropPeers removes departed nodes, whose rows were deleted from the store's list, and tells
// the other nodes to do the same, also for nodes removed before of which they have not been
// told often enough. It tells the removed nodes too: one that is alive, but can't reach this
// node or was heard again in the meantime, must write its row again.
func (e *Exchange) DropPeers(gone []netip.AddrPort, now time.Time) {
	var told, heardAgain []netip.AddrPort
	e.mu.Lock()
	for _, address := range gone {
		if e.peers.drop(address, now) {
			e.silenceMonitor.remember(address, departedNotices)
		} else {
			heardAgain = append(heardAgain, address)
		}
	}
	for address, times := range e.silenceMonitor.dropped {
		if times > 0 {
			e.silenceMonitor.dropped[address]--
			told = append(told, address)
		}
	}
	e.mu.Unlock()
	if len(told) > 0 {
		e.broadcast(Message{Node: e.node, Departed: told})
	}
	for _, address := range append(told, heardAgain...) {
		e.sendTo(address, Message{Node: e.node, Departed: []netip.AddrPort{address}})
	}
}

// receiveDeparted removes nodes that are gone for good. If this node itself was declared gone,
// it was cut off for a long time and announces itself again.
func (e *Exchange) receiveDeparted(message Message, now time.Time) {
	var dropped []string
	e.mu.Lock()
	for _, address := range message.Departed {
		if e.peers.drop(address, now) {
			e.silenceMonitor.remember(address, 0)
			dropped = append(dropped, address.String())
		}
	}
	unlisted := slices.Contains(message.Departed, e.peers.address)
	if unlisted {
		e.peers.greetAll()
	}
	e.mu.Unlock()
	if len(dropped) > 0 {
		e.log.WithFields(logrus.Fields{"nodes": dropped, "told_by": message.Node}).Info("nodes dropped: they are gone for good")
	}
	if unlisted {
		e.log.WithField("told_by", message.Node).Warn("this node was taken for gone; it announces itself again")
		select {
		case e.unlisted <- struct{}{}:
		default:
		}
	}
}

// notifyReturned tells a node that was dropped and is heard again that it isn't listed any
// more.
func (e *Exchange) notifyReturned(from netip.AddrPort) {
	e.mu.Lock()
	_, dropped := e.silenceMonitor.dropped[from]
	delete(e.silenceMonitor.dropped, from)
	e.mu.Unlock()
	if dropped {
		e.sendTo(from, Message{Node: e.node, Departed: []netip.AddrPort{from}})
	}
}

// Unlisted returns a channel that receives a token when this node must write its row in the
// store's list again.
func (e *Exchange) Unlisted() <-chan struct{} { return e.unlisted }
