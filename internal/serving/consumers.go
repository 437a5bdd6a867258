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

// configConsumer puts the routes in force that the store holds.
type configConsumer struct {
	node *Node
	era  tablefeed.EraTracker
}

// Reset implements tablefeed.Consumer.
func (c *configConsumer) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	if c.era.Advances(version) && !c.node.exchange.Large() { // in a large fleet the list that all follow shows it
		c.node.signalRestored()
	}
	c.Apply(rows, version)
}

// Apply implements tablefeed.Consumer.
func (c *configConsumer) Apply(rows []tablefeed.Row, _ tablefeed.Version) {
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
		c.node.activate(table, row.Version)
	}
}

// Outlives implements tablefeed.Reviewer: a configuration that was in force stays so until the
// operator writes it again.
func (c *configConsumer) Outlives(held, given tablefeed.Row) bool {
	before, isRoutes, err := c.node.platform.Routes(held)
	if err != nil || !isRoutes {
		return false
	}
	now, _, err := c.node.platform.Routes(given)
	return given.Gone || err != nil || now.Version < before.Version
}

// activate makes a version of the routes the one that requests meet.
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

// workerConsumer keeps the registry at what the store lists.
type workerConsumer struct {
	node *Node
	era  tablefeed.EraTracker
	// unreadable counts the entries that named no worker to use.
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

// missedHeartbeats is after how many a worker's entry is gone at the latest.
const missedHeartbeats = 4

// replace sets the whole list as of a version.
func (w *workerConsumer) replace(listed []worker.Worker, version tablefeed.Version) (added, gone, doubted []string) {
	if !w.era.Advances(version) || !w.node.workersKnown.Load() {
		added, gone = w.node.registry.Replace(listed)
		return added, gone, nil
	}
	doubt := missedHeartbeats * settings.Milliseconds(w.node.settings.Bounds.HeartbeatMillis)
	return w.node.registry.ReplaceRestored(listed, doubt, time.Now())
}

// Outlives implements tablefeed.Reviewer: a start of a worker that has said it drains doesn't
// take that back.
func (w *workerConsumer) Outlives(held, given tablefeed.Row) bool {
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

// maxLoggedChanges bounds the lines about one change of the table. When a large fleet of
// workers starts or is replaced, a line for each at each node is more work than taking the
// change in.
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
		"ended": ended, // an earlier start of the worker
	}
	if change.Worker != nil {
		fields["worker"] = change.Worker.ID
		fields["service"] = change.Worker.Service
		fields["stage"] = change.Worker.Stage
		fields["draining"] = change.Worker.Draining
		fields["address"] = change.Worker.Address
	}
	w.node.log.WithFields(fields).Info("worker changed")
}

// maxLoggedEntries bounds the entries of one change of the table that are logged because
// they can't be read; all are counted.
const maxLoggedEntries = 3

// read reads an entry. before is how many of the same change could not be read.
func (w *workerConsumer) read(row tablefeed.Row, before int) (worker.Worker, bool) {
	read, err := w.node.platform.Worker(row)
	if err == nil {
		return read, true
	}
	w.unreadable.Inc()
	if before < maxLoggedEntries {
		w.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
			Error("a worker's entry can't be read; it names no worker to use")
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
