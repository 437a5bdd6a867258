package serving

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/worker"
)

// originHistory is what a node knows of where streams may have begun, as a resumption.History.
type originHistory struct {
	node *Node
	past *sharedCall[resumption.ReadPast]
}

func newOriginHistory(n *Node) *originHistory {
	failed := func(err error) {
		n.log.WithField("cause", err.Error()).Warn("the store doesn't tell what a stream may have begun at")
	}
	return &originHistory{node: n, past: &sharedCall[resumption.ReadPast]{call: n.readPast, log: failed}}
}

// ServiceOf implements resumption.History.
func (h *originHistory) ServiceOf(route string) (string, bool) { return h.node.routes.of(route) }

// ReadPast implements resumption.History.
func (h *originHistory) ReadPast(ctx context.Context, since time.Time) (resumption.ReadPast, bool) {
	return h.past.after(ctx, since)
}

// RoutesDigest implements resumption.History.
func (h *originHistory) RoutesDigest() string { return h.node.routes.currentDigest() }

// streamBegun remembers a stream, and queues it for the other nodes.
func (n *Node) streamBegun(stream worker.Stream) {
	n.origins.Put(stream.Key, stream.Origin, time.Now())
	n.registry.ObserveStream(stream)
}
