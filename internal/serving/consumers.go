package serving

import (
	"io"
	"log"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/worker"
)

// configConsumer activates the routes that the store's configuration table holds.
type configConsumer struct {
	node *Node
	era  tablefeed.EraTracker
}

// Reset implements tablefeed.Consumer.
func (c *configConsumer) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	// In a large fleet the list of nodes, which all nodes follow, shows whether this node is listed.
	if c.era.Advances(version) && !c.node.exchange.Large() {
		c.node.signalRestored()
	}
	c.Apply(rows, version)
}

// Apply implements tablefeed.Consumer.
func (c *configConsumer) Apply(rows []tablefeed.Row, version tablefeed.Version) {
	for _, row := range rows {
		if row.Gone {
			continue
		}
		table, isRoutes, err := c.node.platform.Routes(row)
		switch {
		case err != nil:
			c.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
				Error("a configuration can't be parsed; the node keeps the previous one")
			continue
		case !isRoutes:
			continue
		}
		c.node.activate(table, row.Version)
	}
}

// IsHeldNewer implements tablefeed.Reconciler: after a restore of the store, the configuration
// in force stays until the operator writes it again.
func (c *configConsumer) IsHeldNewer(held, given tablefeed.Row) bool {
	before, isRoutes, err := c.node.platform.Routes(held)
	if err != nil || !isRoutes {
		return false
	}
	now, _, err := c.node.platform.Routes(given)
	return given.Gone || err != nil || now.Version < before.Version
}

// activate makes a version of the routes the one in force for requests. The log field keys is
// the number of callers' API keys.
func (n *Node) activate(table *routing.Table, rowVersion tablefeed.Version) {
	if current := n.front.Table(); current != nil && table.Version < current.Version {
		n.log.WithFields(logrus.Fields{"version": table.Version, "in_force": current.Version}).Warn("an older configuration was passed over")
		return
	}
	for _, service := range table.Services() {
		if service.Engine != nil {
			n.registry.SetCacheCapacity(service.Name, service.Engine.MemoryTokens)
		}
	}
	n.routes.update(table, time.Now())
	n.front.SetTable(table)
	keys := 0
	if table.Tenants != nil {
		keys = table.Tenants.Len()
	}
	n.log.WithFields(logrus.Fields{
		"version": table.Version, "row_version": rowVersion, "routes": table.RouteCount(), "keys": keys,
		"source": n.configurationFeed.Source(), "age_ms": n.configurationAge().Milliseconds(),
	}).Info("configuration in force")
}

// workerConsumer updates the registry with the workers that the store lists.
type workerConsumer struct {
	node *Node
	era  tablefeed.EraTracker
	// unreadable counts the rows that could not be parsed as a worker, each time that one was
	// received.
	unreadable prometheus.Counter
}

func newWorkerConsumer(n *Node, metrics prometheus.Registerer) *workerConsumer {
	w := &workerConsumer{node: n, unreadable: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_entries_unreadable_total", Help: "Entries of workers that could not be read, each time that one came.",
	})}
	metrics.MustRegister(w.unreadable)
	return w
}

// Reset implements tablefeed.Consumer.
func (w *workerConsumer) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	var listed []worker.Worker
	unreadable := 0
	for _, row := range rows {
		if read, ok := w.read(row, unreadable); ok {
			listed = append(listed, read)
		} else {
			unreadable++
		}
	}
	added, gone, doubted := w.replace(listed, version)
	if len(listed) > 0 {
		w.node.workersKnown.Store(true)
	}
	w.dropConnections(gone)
	w.dropConnections(w.node.registry.TakeEnded())
	w.node.log.WithFields(logrus.Fields{
		"version": version, "workers": len(listed), "unreadable": unreadable, "added": len(added), "gone": len(gone), "first_gone": firstOf(gone),
		"doubted": len(doubted), "first_doubted": firstOf(doubted),
	}).Info("workers read")
}

// missedHeartbeats is the number of missed heartbeats after which the row of a worker that has
// ended is gone at the latest.
const missedHeartbeats = 4

// replace sets the whole worker list to that of a version. Workers that were gone before the
// store was restored and are listed again may have ended in the meantime: these are doubted, as
// described at Registry.ReplaceRestored. They count as gone for the time given by doubt or
// until their rows are written again.
func (w *workerConsumer) replace(listed []worker.Worker, version tablefeed.Version) (added, gone, doubted []string) {
	if !w.era.Advances(version) || !w.node.workersKnown.Load() {
		added, gone = w.node.registry.Replace(listed)
		return added, gone, nil
	}
	doubt := missedHeartbeats * settings.Milliseconds(w.node.settings.Bounds.HeartbeatMillis)
	return w.node.registry.ReplaceRestored(listed, doubt, time.Now())
}

// IsHeldNewer implements tablefeed.Reconciler: after a restore of the store, a worker
// incarnation that has announced that it drains stays draining, even if its restored row says
// otherwise.
func (w *workerConsumer) IsHeldNewer(held, given tablefeed.Row) bool {
	before, err := w.node.platform.Worker(held)
	if err != nil || !before.Draining || given.Gone {
		return false
	}
	now, err := w.node.platform.Worker(given)
	return err == nil && now.ID == before.ID && now.Address == before.Address && !now.Draining
}

// Apply implements tablefeed.Consumer.
func (w *workerConsumer) Apply(rows []tablefeed.Row, version tablefeed.Version) {
	unreadable, logged := 0, 0
	for _, row := range rows {
		change := worker.Change{Name: row.Key}
		if !row.Gone {
			read, ok := w.read(row, unreadable)
			if ok {
				change.Worker = &read
				w.node.workersKnown.Store(true)
			} else {
				change.Unreadable = true
				unreadable++
			}
		}
		changed := w.node.registry.Apply(change)
		ended := w.node.registry.TakeEnded()
		w.dropConnections(ended)
		if !changed {
			continue
		}
		if row.Gone {
			w.node.pool.CloseIdle(row.Key)
		}
		if logged++; logged <= maxLoggedChanges {
			w.log(change, ended, version)
		}
	}
	if logged > maxLoggedChanges {
		w.node.log.WithFields(logrus.Fields{"version": version, "changed": logged, "unreadable": unreadable, "workers": w.node.registry.Count()}).
			Info("many workers changed")
	}
}

// maxLoggedChanges bounds the log lines about one change of the table. When a large fleet of
// workers starts or is replaced, a line for each worker at each node would be more work than
// processing the change.
const maxLoggedChanges = 20

// dropConnections closes the connections to workers that have ended.
func (w *workerConsumer) dropConnections(ended []string) {
	for _, id := range ended {
		w.node.pool.CloseIdle(id)
	}
}

func (w *workerConsumer) log(change worker.Change, ended []string, version tablefeed.Version) {
	fields := logrus.Fields{
		"worker": change.Name, "version": version, "gone": change.Worker == nil, "unreadable": change.Unreadable,
		"ended": ended, // earlier incarnations of the worker
	}
	if change.Worker != nil {
		fields["worker"] = change.Worker.ID
		fields["service"] = change.Worker.Service
		fields["stage"] = change.Worker.Stage
		fields["software"] = change.Worker.Software
		fields["draining"] = change.Worker.Draining
		fields["address"] = change.Worker.Address
	}
	w.node.log.WithFields(fields).Info("worker changed")
}

// maxLoggedEntries bounds how many unreadable rows are logged for one change of the table. All
// of them are counted.
const maxLoggedEntries = 3

// read reads a worker's row. before is the number of unreadable rows so far in the same change.
func (w *workerConsumer) read(row tablefeed.Row, before int) (worker.Worker, bool) {
	read, err := w.node.platform.Worker(row)
	if err == nil {
		return read, true
	}
	w.unreadable.Inc()
	if before < maxLoggedEntries {
		w.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
			Error("a worker's entry can't be parsed; the worker is not used")
	}
	return worker.Worker{}, false
}

func firstOf(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
