package nodeexchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxDrainingPerMessage bounds the workers in one message: at some 30 bytes each, they stay
// below maxDatagram.
const maxDrainingPerMessage = 400

// receiveDraining records which workers announced to another node that they are about to end.
func (e *Exchange) receiveDraining(node string, draining []string, now time.Time) {
	if len(draining) == 0 {
		return
	}
	if unknown := e.registry.MergeDraining(draining, now); len(unknown) > 0 {
		e.log.WithFields(logrus.Fields{"node": node, "workers": unknown}).Info("another node tells that workers are about to end")
	}
}

// shareDraining tells a node that is heard for the first time, or again after a silence, which
// of the workers that it is a home of have announced that they are about to end.
func (e *Exchange) shareDraining(with netip.AddrPort) {
	draining := e.registry.AnnouncedDraining()
	e.mu.Lock()
	draining = slices.DeleteFunc(draining, func(id string) bool { return !slices.Contains(e.peers.homes(id), with) })
	e.mu.Unlock()
	for part := range slices.Chunk(draining, maxDrainingPerMessage) {
		e.sendTo(with, Message{Node: e.node, Reply: &reply{Draining: part}})
	}
}
