package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/peer"
)

// Methods of the peer protocol.
const (
	MethodProbe    peer.Method = "membership.probe"
	MethodIndirect peer.Method = "membership.indirect"
	MethodJoin     peer.Method = "membership.join"
)

// message carries updates and the sender's configuration revision.
type message struct {
	Updates  []Update `json:"u,omitempty"`
	Revision uint64   `json:"r,omitempty"`
	// Incarnation identifies the process that answered. It is set in answers only.
	Incarnation string `json:"i,omitempty"`
}

type indirectRequest struct {
	Target string `json:"t"`
	// Incarnation is the process that did not answer the direct probe.
	Incarnation string `json:"i"`
}

type indirectResponse struct {
	Reached bool `json:"ok"`
}

// fullSyncEvery is the number of periods between exchanges of all records with a random node.
// They repair what updates have missed.
const fullSyncEvery = 60

// fullSyncDue reports whether all records are exchanged in this period. A new node has missed
// the updates sent while it started, so its first exchanges come sooner.
func fullSyncDue(period int) bool {
	switch period {
	case 4, 10, 20, 40:
		return true
	}
	return period%fullSyncEvery == 0
}

// duplicateNameLogEvery is the number of periods between log messages about a node name that is
// used twice.
const duplicateNameLogEvery = 10

// Driver runs the protocol for a Table: it probes other nodes and answers their probes.
type Driver struct {
	settings Settings
	client   *peer.Client
	log      logrus.FieldLogger
	origin   time.Time
	// seeds returns the addresses of nodes through which to join the cluster.
	seeds func() []string
	// revision returns this node's configuration revision. observeRevision is called with the
	// revisions of other nodes.
	revision        func() uint64
	observeRevision func(address string, revision uint64)

	mu    sync.Mutex
	table *Table
}

// NewDriver returns a driver for the table.
func NewDriver(settings Settings, table *Table, client *peer.Client, log logrus.FieldLogger,
	seeds func() []string, revision func() uint64, observeRevision func(string, uint64)) *Driver {
	return &Driver{
		settings: settings, table: table, client: client, log: log, origin: time.Now(),
		seeds: seeds, revision: revision, observeRevision: observeRevision,
	}
}

// Register registers the handlers of the membership protocol.
func (d *Driver) Register(server *peer.Server) {
	peer.Handle(server, MethodProbe, func(_ context.Context, from peer.Identity, request message) (message, error) {
		return d.receive(from, request), nil
	})
	peer.Handle(server, MethodIndirect, func(ctx context.Context, _ peer.Identity, request indirectRequest) (indirectResponse, error) {
		node, known := d.Node(request.Target)
		if !known || node.Incarnation != request.Incarnation {
			return indirectResponse{}, nil
		}
		return indirectResponse{Reached: d.probeOnce(ctx, node)}, nil
	})
	peer.Handle(server, MethodJoin, func(_ context.Context, from peer.Identity, request message) (message, error) {
		response := d.receive(from, request)
		d.mu.Lock()
		defer d.mu.Unlock()
		response.Updates = d.table.AllUpdates()
		return response, nil
	})
}

func (d *Driver) now() time.Duration { return time.Since(d.origin) }

func (d *Driver) receive(from peer.Identity, request message) message {
	d.mu.Lock()
	d.table.Merge(d.now(), request.Updates)
	d.table.RecordAnswer(d.now(), from.Node)
	node, known := d.table.Node(from.Node)
	response := message{Updates: d.table.Updates(), Incarnation: d.table.Self().Incarnation}
	d.mu.Unlock()
	response.Revision = d.revision()
	if known {
		d.observeRevision(node.Address, request.Revision)
	}
	return response
}

// Run probes until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(d.settings.Period)
	defer ticker.Stop()
	d.join(ctx)
	for period := 1; ; period++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		d.table.Tick(d.now())
		target, found := d.table.NextProbeTarget()
		superseded := d.table.Superseded()
		d.mu.Unlock()
		if superseded && period%duplicateNameLogEvery == 0 {
			d.log.Error("another process runs under this node's name; give each node a name of its own")
		}
		if found {
			go d.probe(ctx, target)
		}
		if !found || fullSyncDue(period) {
			d.join(ctx)
		}
	}
}

// join exchanges all records with a random live node or, if it knows none that answers, with
// the first seed that does.
func (d *Driver) join(ctx context.Context) {
	addresses := d.seeds()
	d.mu.Lock()
	if node, found := d.table.RandomAlive(); found {
		addresses = append([]string{node.Address}, addresses...)
	}
	own := d.table.Self()
	d.mu.Unlock()
	for _, address := range addresses {
		if address == own.Address {
			continue
		}
		if d.exchange(ctx, MethodJoin, address, []Update{{Node: &own}}) == nil {
			return
		}
	}
}

func (d *Driver) exchange(ctx context.Context, method peer.Method, address string, updates []Update) error {
	callCtx, cancel := context.WithTimeout(ctx, d.settings.ProbeTimeout)
	defer cancel()
	var response message
	err := d.client.Call(callCtx, address, method, message{Updates: updates, Revision: d.revision()}, &response)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.table.Merge(d.now(), response.Updates)
	d.mu.Unlock()
	d.observeRevision(address, response.Revision)
	return nil
}

// probe probes a node directly and then through other nodes. If neither reaches the node, it
// becomes suspect.
func (d *Driver) probe(ctx context.Context, target Node) {
	if d.probeOnce(ctx, target) {
		return
	}
	d.mu.Lock()
	helpers := d.table.Helpers(target.Name)
	d.mu.Unlock()
	if d.probeIndirectly(ctx, helpers, target) || ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	d.table.RecordProbeFailure(d.now(), target)
	d.mu.Unlock()
	d.log.WithField("peer", target.Name).Warn("peer does not answer, directly or through others")
}

func (d *Driver) probeOnce(ctx context.Context, target Node) bool {
	d.mu.Lock()
	updates := d.table.Updates()
	if target.State == Suspect {
		// Tell the node that it is suspected, so that it can refute that.
		updates = append(updates, Update{Node: &target})
	}
	d.mu.Unlock()
	if d.exchange(ctx, MethodProbe, target.Address, updates) != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordAnswer(d.now(), target.Name)
	return true
}

func (d *Driver) probeIndirectly(ctx context.Context, helpers []Node, target Node) bool {
	callCtx, cancel := context.WithTimeout(ctx, 2*d.settings.ProbeTimeout)
	defer cancel()
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			var response indirectResponse
			request := indirectRequest{Target: target.Name, Incarnation: target.Incarnation}
			err := d.client.Call(callCtx, helper.Address, MethodIndirect, request, &response)
			reached <- err == nil && response.Reached
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

// Announce changes this node's own record and sends it to some nodes at once.
func (d *Driver) Announce(ctx context.Context, leaving, serving bool) {
	d.mu.Lock()
	d.table.SetSelf(leaving, serving)
	helpers := d.table.Helpers("")
	own := d.table.Self()
	d.mu.Unlock()
	for _, helper := range helpers {
		_ = d.exchange(ctx, MethodProbe, helper.Address, []Update{{Node: &own}})
	}
}

// SetGroup applies a record of a group's leadership and queues it for the other nodes.
func (d *Driver) SetGroup(group Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetGroup(group)
}

// Group returns the record of a group by identifier.
func (d *Driver) Group(id string) (Group, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Group(id)
}

// Groups returns the records of all known groups.
func (d *Driver) Groups() []Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Groups()
}

// Nodes returns all known nodes.
func (d *Driver) Nodes() []NodeView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Nodes(d.now())
}

// Node returns a node by name.
func (d *Driver) Node(name string) (Node, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Node(name)
}
