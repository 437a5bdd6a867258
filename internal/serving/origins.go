package serving

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/worker"
)

// sinceEver is the beginning of histories where nothing can have happened before.
var sinceEver = time.Unix(0, 0)

// beginHistories begins what this node follows of routes and workers. Where it starts with the whole
// system, no stream has begun before.
func (n *Node) beginHistories() {
	if !n.settings.Node.FirstStart {
		return
	}
	n.routes.since = sinceEver
	n.registry.BeginSoftwareHistory(sinceEver)
}

// originHistory is what a node has followed of routes and workers, as a resumption.History.
type originHistory struct {
	node *Node
	past *sharedCall[resumption.Past]
	// current reports whether the copies of routes and workers are current.
	current *sharedCall[bool]
}

func newOriginHistory(n *Node) *originHistory {
	failed := func(err error) {
		n.log.WithField("cause", err.Error()).Warn("the store doesn't tell what a stream may have begun at")
	}
	return &originHistory{
		node:    n,
		past:    &sharedCall[resumption.Past]{call: n.readPast, log: failed},
		current: &sharedCall[bool]{call: n.holdsNewest, log: failed},
	}
}

// holdsNewest asks the store whether this node's copies of routes and workers are the newest.
func (n *Node) holdsNewest(ctx context.Context) (bool, error) {
	for _, copied := range []struct {
		table   string
		feed    *tablefeed.Feed
		applied *atomic.Uint64
	}{
		{n.platform.ConfigurationTable(), n.configurationFeed, &n.routesApplied},
		{n.platform.WorkerTable(), n.workersFeed, &n.workersApplied},
	} {
		word, _ := copied.feed.Confirmation()
		if copied.applied.Load() < uint64(word.Changed) {
			return false, nil
		}
		rows, version, err := n.platform.Changes(ctx, copied.table, word.Confirmed, 0)
		if err != nil {
			return false, err
		}
		if len(rows) > 0 || version < word.Confirmed {
			copied.feed.Wake()
			return false, nil
		}
	}
	return true, nil
}

// SoleOrigin implements resumption.History.
func (h *originHistory) SoleOrigin(route string) (resumption.Sole, bool) {
	led, sole := h.node.routes.of(route)
	if !sole {
		return resumption.Sole{}, false
	}
	software, since, sole := h.node.registry.SoleSoftware(led.service)
	if !sole {
		return resumption.Sole{}, false
	}
	if led.since.After(since) {
		since = led.since
	}
	return resumption.Sole{Origin: resumption.Origin{Service: led.service, Software: software}, Since: since}, true
}

// IsCurrent implements resumption.History.
func (h *originHistory) IsCurrent(ctx context.Context, since time.Time) (current, told bool) {
	return h.current.after(ctx, since)
}

// ReadPast implements resumption.History.
func (h *originHistory) ReadPast(ctx context.Context, since time.Time) (resumption.Past, bool) {
	return h.past.after(ctx, since)
}

// RoutesDigest implements resumption.History.
func (h *originHistory) RoutesDigest() string { return h.node.routes.currentDigest() }

// streamBegun remembers a stream, and queues it for the other nodes.
func (n *Node) streamBegun(stream worker.Stream) {
	n.origins.Put(stream.Key, stream.Origin, time.Now())
	n.registry.ObserveStream(stream)
}
