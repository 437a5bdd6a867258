package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// The figures of nodes that are gone for good.
const (
	// departedAfter is how long a node must have been silent to be taken for gone for good:
	// longer than machines are dark, frozen or cut off on the users' days (up to half a
	// minute), since all that it kept then moves to other nodes.
	departedAfter = time.Minute
	// maxCheckGap is the time between two looks for them, three times that at which they
	// are due (serving.pruneEvery), from which on a supervisor takes itself to have been
	// stopped: it heard nobody meanwhile.
	maxCheckGap = 30 * time.Second
	// departedNotices is how often the other nodes are told of one, since datagrams may be
	// lost.
	departedNotices = 3
	// maxDropped bounds the nodes that a supervisor remembers to have dropped.
	maxDropped = 1000
)

// silenceMonitor keeps track of silence at a supervisor, which all nodes tell of themselves at rest.
type silenceMonitor struct {
	// since is when this node became a supervisor, or went on after a stop, zero while it
	// isn't one: before, it didn't hear all nodes.
	since time.Time
	// lastCheck is when it last lastCheck for silent nodes.
	lastCheck time.Time
	// dropped are the peers that were dropped as gone, and how often that is still told.
	dropped map[netip.AddrPort]int
}

func newSilenceMonitor() silenceMonitor { return silenceMonitor{dropped: make(map[netip.AddrPort]int)} }

// remember notes that a peer was dropped, and how often that is to be told. Where too many
// are remembered another one is forgotten: should it come back, the store's list lacks it.
func (w *silenceMonitor) remember(address netip.AddrPort, times int) {
	if len(w.dropped) >= maxDropped {
		for other := range w.dropped {
			delete(w.dropped, other)
			break
		}
	}
	w.dropped[address] = times
}

// check notes since when this node supervises.
func (w *silenceMonitor) check(supervises bool, now time.Time) {
	switch {
	case !supervises:
		w.since = time.Time{}
	case w.since.IsZero(), now.Sub(w.lastCheck) > maxCheckGap:
		w.since = now
	}
	w.lastCheck = now
}

// departed lists the peers that a supervisor hasn't heard for so long that they seem to be
// gone for good. There are none while it hears less than half of all nodes: then it may be
// this one that is cut off.
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

// drop forgets a peer, unless it was heard lately. It reports whether it was known.
func (s *peerSet) drop(address netip.AddrPort, now time.Time) bool {
	known, exists := s.peers[address]
	if !exists || known.present && now.Sub(known.heard) <= s.presenceTimeout(address) {
		return false
	}
	s.remove(address)
	return true
}

// greetAll has all peers told of this node anew.
func (s *peerSet) greetAll() {
	for _, known := range s.peers {
		known.greetings = greetings
	}
}

// DepartedPeers lists the addresses of nodes that seem to be gone for good, where this node is
// the one to act on it. It is called at intervals.
func (e *Exchange) DepartedPeers(now time.Time) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenceMonitor.check(e.peers.supervises(), now)
	if !e.peers.designated(now.Before(e.asideUntil)) {
		return nil
	}
	return e.peers.departed(&e.silenceMonitor, now)
}

// DropPeers forgets nodes whose rows are gone from the store's list, and tells the other nodes
// to, as well as of those before that were not told often enough. The nodes are told
// themselves too: one that lives, and can't make itself heard here or was heard again
// meanwhile, must be listed again.
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

// receiveDeparted forgets nodes that are gone for good. A node that is itself taken for one was
// cut off for long: it announces itself again.
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

// notifyReturned tells a node that was dropped, and is heard again, that it isn't listed any more.
func (e *Exchange) notifyReturned(from netip.AddrPort) {
	e.mu.Lock()
	_, dropped := e.silenceMonitor.dropped[from]
	delete(e.silenceMonitor.dropped, from)
	e.mu.Unlock()
	if dropped {
		e.sendTo(from, Message{Node: e.node, Departed: []netip.AddrPort{from}})
	}
}

// Unlisted gives a token when this node must write its row in the store's list anew.
func (e *Exchange) Unlisted() <-chan struct{} { return e.unlisted }
