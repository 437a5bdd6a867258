package serving

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// pastConsumer keeps this node's copy of the past in the store.
type pastConsumer struct {
	node *Node
	era  tablefeed.EraTracker
}

// Reset implements tablefeed.Consumer.
func (c *pastConsumer) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	if c.era.Advances(version) {
		c.node.routes.forgetRecorded()
	}
	if !slices.ContainsFunc(rows, func(row tablefeed.Row) bool { return row.Key == pastKey }) {
		c.node.recorded.Set(resumption.Past{})
	}
	c.Apply(rows, version)
}

// Apply implements tablefeed.Consumer.
func (c *pastConsumer) Apply(rows []tablefeed.Row, _ tablefeed.Version) {
	for _, row := range rows {
		if row.Key != pastKey {
			continue
		}
		c.node.pastApplied.Store(uint64(row.Version))
		c.node.recorded.Set(c.read(row))
	}
}

// read returns the past in a row, an empty one if there is none. Then streams begin nowhere.
func (c *pastConsumer) read(row tablefeed.Row) resumption.Past {
	if row.Gone {
		return resumption.Past{}
	}
	past, err := decodePast(row.Value)
	if err != nil {
		c.node.log.WithFields(logrus.Fields{"row_version": row.Version, "cause": err.Error()}).
			Error("what streams may have begun at lately can't be parsed: none begins until it is written again")
		return resumption.Past{}
	}
	c.node.routes.recordedAs(past.RoutesDigest)
	return past
}

// mayBegin returns where streams of a route may begin: that must have been recorded in the store, so that
// it is known after an end of all nodes.
func (n *Node) mayBegin(route *routing.Route, service string) dispatch.Beginnings {
	if !route.Streams() || !route.Resumable {
		return dispatch.Beginnings{Anywhere: true}
	}
	if !n.routes.isRecorded(route.Name) {
		return dispatch.Beginnings{}
	}
	word, _ := n.pastFeed.Confirmation()
	return dispatch.Beginnings{Versions: n.recorded.Versions(service, word.At, time.Now())}
}
