package serving

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/digest"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/worker"
)

// configuration puts the routes in force that the store holds.
type configuration struct{ node *Node }

// Reset implements tablefeed.Consumer.
func (c *configuration) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	c.Apply(rows, version)
}

// Apply implements tablefeed.Consumer.
func (c *configuration) Apply(rows []tablefeed.Row, _ tablefeed.Version) {
	for _, row := range rows {
		if row.Gone {
			continue
		}
		table, isRoutes, err := c.node.platform.Routes(row)
		switch {
		case err != nil:
			c.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
				Error("a configuration can't be read; the node goes on with the one before")
			continue
		case !isRoutes:
			continue
		}
		c.node.putInForce(table, row.Version)
	}
}

// putInForce makes a version of the routes the one that requests meet.
func (n *Node) putInForce(table *routing.Table, rowVersion tablefeed.Version) {
	if current := n.front.Table(); current != nil && table.Version < current.Version {
		n.log.WithFields(logrus.Fields{"version": table.Version, "in_force": current.Version}).Warn("an older configuration was passed over")
		return
	}
	for _, service := range table.Services() {
		if service.Engine != nil {
			n.registry.SetMemory(service.Name, service.Engine.MemoryTokens)
		}
	}
	n.front.SetTable(table)
	keys := 0
	if table.Tenants != nil {
		keys = table.Tenants.Len()
	}
	n.log.WithFields(logrus.Fields{"version": table.Version, "row_version": rowVersion, "routes": table.Routes(), "keys": keys}).
		Info("configuration in force")
}

// workers keeps the registry at what the store lists.
type workers struct{ node *Node }

// Reset implements tablefeed.Consumer.
func (w *workers) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	var listed []worker.Worker
	for _, row := range rows {
		if read, ok := w.read(row); ok {
			listed = append(listed, read)
		}
	}
	added, gone := w.node.registry.Replace(listed)
	if len(listed) > 0 {
		w.node.workersKnown.Store(true)
	}
	for _, id := range gone {
		w.node.pool.Drop(id)
	}
	w.node.log.WithFields(logrus.Fields{"version": version, "workers": len(listed), "added": len(added), "gone": gone}).
		Info("workers read")
}

// Apply implements tablefeed.Consumer.
func (w *workers) Apply(rows []tablefeed.Row, version tablefeed.Version) {
	for _, row := range rows {
		change := worker.Change{ID: row.Key}
		if !row.Gone {
			read, ok := w.read(row)
			if !ok {
				continue
			}
			change.Worker = &read
			w.node.workersKnown.Store(true)
		}
		if !w.node.registry.Apply(change) {
			continue
		}
		if row.Gone {
			w.node.pool.Drop(row.Key)
		}
		w.log(change, version)
	}
}

func (w *workers) log(change worker.Change, version tablefeed.Version) {
	fields := logrus.Fields{"worker": change.ID, "version": version, "gone": change.Worker == nil}
	if change.Worker != nil {
		fields["service"] = change.Worker.Service
		fields["stage"] = change.Worker.Stage
		fields["draining"] = change.Worker.Draining
		fields["address"] = change.Worker.Address
	}
	w.node.log.WithFields(fields).Info("worker changed")
}

func (w *workers) read(row tablefeed.Row) (worker.Worker, bool) {
	read, err := w.node.platform.Worker(row)
	if err != nil {
		w.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
			Error("a worker's entry can't be read; it is passed over")
		return worker.Worker{}, false
	}
	return read, true
}

// nodesTable holds one row for each node, under its name.
const nodesTable = "nodes"

// nodeRow is the value of such a row.
type nodeRow struct {
	Incarnation string `json:"incarnation"`
	Exchange    string `json:"exchange"`
	Zone        string `json:"zone"`
}

const (
	callTimeout = time.Second
	callPause   = 300 * time.Millisecond
)

// announce writes this node's row and then reads the rows of the others, until the
// store has done both: of two nodes that start at once, at least one reads the
// other's row, and tells it of itself by its first digest. A node whose write is
// refused finds the others all the same.
func (n *Node) announce(ctx context.Context) {
	value, err := json.Marshal(nodeRow{Incarnation: n.identity, Exchange: n.settings.Listen.Exchange, Zone: n.settings.Node.Zone})
	if err != nil {
		n.log.WithError(err).Error("this node's row can't be rendered")
		return
	}
	announced, listed := false, false
	for ctx.Err() == nil {
		before := announced
		if !announced {
			announced = n.called(ctx, "announce itself", func(ctx context.Context) error {
				return n.platform.Put(ctx, nodesTable, n.settings.Node.Name, value)
			})
		}
		if announced != before || !listed {
			listed = n.called(ctx, "read the list of nodes", n.listPeers)
		}
		if announced && listed {
			return
		}
		time.Sleep(callPause + rand.N(callPause))
	}
}

// called makes a call to the store, and reports whether it was done.
func (n *Node) called(ctx context.Context, what string, call func(ctx context.Context) error) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(callCtx)
	if err != nil {
		n.log.WithField("cause", err.Error()).Warn("this node could not " + what + "; it tries again")
	}
	return err == nil
}

// listPeers tells the exchange of the nodes that the store lists.
func (n *Node) listPeers(ctx context.Context) error {
	rows, _, err := n.platform.Read(ctx, nodesTable)
	if err == nil {
		n.exchange.AddPeers(n.listedPeers(rows))
	}
	return err
}

// listedPeers reads the rows of nodes.
func (n *Node) listedPeers(rows []tablefeed.Row) []digest.Peer {
	peers := make([]digest.Peer, 0, len(rows))
	for _, row := range rows {
		var value nodeRow
		err := json.Unmarshal(row.Value, &value)
		address, addressErr := netip.ParseAddrPort(value.Exchange)
		if err != nil || addressErr != nil {
			n.log.WithField("row", row.Key).Error("a node's row can't be read; it is passed over")
			continue
		}
		peers = append(peers, digest.Peer{Node: value.Incarnation, Address: address, Zone: value.Zone})
	}
	return peers
}

// withdraw takes this node's row away.
func (n *Node) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := n.platform.Remove(ctx, nodesTable, n.settings.Node.Name); err != nil {
		n.log.WithField("cause", err.Error()).Warn("this node could not withdraw its row")
	}
}

func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
