package serving

import (
	"io"
	"log"

	"github.com/sirupsen/logrus"

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

func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
