package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/gateway"
	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/membership"
	"github.com/tinarch/tinarch/internal/operator"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"

	"github.com/tinarch/tinarch/internal/engine"
)

// clusterIdentity returns what two nodes must have in common to talk to each other. It includes
// the number of ledger groups, since nodes that disagree on it would look for the same key in
// different groups.
func clusterIdentity(cluster settings.Cluster) string {
	return fmt.Sprintf("%s/ledger-groups=%d", cluster.ID, cluster.LedgerGroups)
}

// seeds returns the addresses through which the node joins the cluster: those in the settings,
// and the nodes in the machine list.
func (n *Node) seeds() []string {
	addresses := slices.Clone(n.settings.Cluster.Seeds)
	for _, machine := range n.machines.nodes() {
		if !slices.Contains(addresses, machine.Address) {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses
}

// peerAddresses returns the addresses of all other nodes not believed dead.
func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, view := range n.members.Nodes() {
		if view.Name != n.self.Node && view.State != membership.Dead {
			addresses = append(addresses, view.Address)
		}
	}
	return addresses
}

// addressOf returns the address of a member of any group that this node has a record of.
func (n *Node) addressOf(id replica.MemberID) (string, bool) {
	for _, record := range n.host.Records() {
		for _, member := range record.Members {
			if member.ID == id {
				return member.Address, true
			}
		}
	}
	return "", false
}

// publishLeadership announces that this node leads a group; membership messages carry it to all
// nodes.
func (n *Node) publishLeadership(groupID string) {
	r := n.host.Replica(groupID)
	if r == nil {
		return
	}
	if _, active := r.Fence(); !active {
		return
	}
	for _, record := range n.host.Records() {
		if record.Group != groupID {
			continue
		}
		names := make([]string, len(record.Members))
		for i, member := range record.Members {
			names[i] = member.Node
		}
		n.members.SetGroup(membership.Group{ID: groupID, Epoch: record.Epoch, Term: r.Term(), Members: names, Leader: n.self.Node})
	}
}

// MemberAddresses implements group.Directory.
func (n *Node) MemberAddresses(groupID string) []string {
	known, exists := n.members.Group(groupID)
	if !exists {
		if n.host.Replica(groupID) != nil {
			return []string{n.self.Address}
		}
		return nil
	}
	var addresses []string
	for _, name := range append([]string{known.Leader}, known.Members...) {
		node, found := n.members.Node(name)
		if found && node.State != membership.Dead && !slices.Contains(addresses, node.Address) {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// Candidates implements group.Cluster.
func (n *Node) Candidates() []group.Member {
	var candidates []group.Member
	for _, view := range n.members.Nodes() {
		if view.State != membership.Alive || view.Leaving || n.machines.nodeIsLeaving(view.Address) {
			continue
		}
		candidates = append(candidates, group.Member{
			ID: replica.MemberID(view.Incarnation), Node: view.Name, Address: view.Address, Zone: view.Zone,
		})
	}
	return candidates
}

// KnownLeader implements group.Cluster.
func (n *Node) KnownLeader(groupID string) (epoch uint64, leader string, leaderAlive bool) {
	known, exists := n.members.Group(groupID)
	if !exists {
		return 0, "", false
	}
	node, found := n.members.Node(known.Leader)
	return known.Epoch, known.Leader, found && node.State == membership.Alive
}

// endedAfter is how long a machine must have been missing in the machine list before its
// process counts as ended.
const endedAfter = 15 * time.Second

// HasEnded implements group.Cluster. It is asked only when a majority of a group can't be
// reached, and returns false when in doubt.
func (n *Node) HasEnded(member group.Member) bool {
	if node, found := n.members.Node(member.Node); found && node.Incarnation != string(member.ID) && node.State == membership.Alive {
		return true // the node runs again, as a later process
	}
	return n.machines.droppedFor(member.Address) > endedAfter
}

// MinEpoch implements group.Cluster.
func (n *Node) MinEpoch(groupID string) uint64 {
	n.mu.Lock()
	service := n.cells[groupID]
	n.mu.Unlock()
	if service == nil {
		return 0
	}
	if outranking := service.HigherFence(); outranking > 0 {
		return replica.EpochOf(outranking) + 1
	}
	return 0
}

// DesiredGroups implements group.Cluster.
func (n *Node) DesiredGroups() []string {
	if !n.caughtUp.Load() {
		return nil
	}
	var wanted []string
	for number := range n.settings.Cluster.LedgerGroups {
		wanted = append(wanted, ledger.GroupName(number))
	}
	for name := range n.configuredCells() {
		wanted = append(wanted, name)
	}
	slices.Sort(wanted)
	return wanted
}

// configuredCells returns the cells of the configuration, each with the name of its pool.
func (n *Node) configuredCells() map[string]string {
	cells := map[string]string{}
	for _, pool := range n.manager.Current().Catalog.GetPools() {
		for number := range catalog.Cells(pool) {
			cells[gateway.CellName(pool.GetName(), number)] = pool.GetName()
		}
	}
	return cells
}

// poolOf returns the pool in a cell's name.
func poolOf(cellName string) string {
	trimmed := strings.TrimPrefix(cellName, gateway.CellPrefix)
	pool, _, _ := strings.Cut(trimmed, "/")
	return pool
}

// newStateMachine implements group.Factory.
func (n *Node) newStateMachine(groupID string, handle func() *group.Replica) (group.StateMachine, group.LeadershipListener) {
	if strings.HasPrefix(groupID, ledger.GroupPrefix) {
		m := ledger.NewReplicatedLedger(handle, n.log)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ledgers[groupID] = m
		return m, m
	}
	service := cell.NewService(cell.Options{
		Name: groupID, Pool: poolOf(groupID), Policy: n.options.Policy,
		WeightBytesPerSecond: n.settings.Platform.WeightBytesPerSecond,
	}, n.manager, n.engines, handle, n.log)
	n.mu.Lock()
	n.cells[groupID] = service
	n.mu.Unlock()
	// The service gets the changes that came before it was added to n.cells.
	service.SetCatalog(n.manager.Current())
	service.ObserveMachines(n.enginesOf(groupID))
	return service, service
}

// enginesOf returns the engines of a cell: those of its pool that rendezvous hashing assigns to
// it.
func (n *Node) enginesOf(cellName string) []cell.Machine {
	pool := poolOf(cellName)
	count := catalog.Cells(n.manager.Current().Pool(pool))
	var list []cell.Machine
	for _, machine := range n.machines.engines() {
		if machine.Pool == pool && gateway.CellName(pool, cellOf(machine.Name, count)) == cellName {
			list = append(list, cell.Machine{Name: machine.Name, Address: machine.Address, Zone: machine.Zone, Pool: pool, Leaving: machine.Leaving})
		}
	}
	return list
}

// cellOf returns the number of the cell to which rendezvous hashing assigns an engine.
func cellOf(engineName string, cells int) int {
	best, bestWeight := 0, uint64(0)
	for number := range cells {
		if weight := xxhash.Sum64String(fmt.Sprintf("%s/%d", engineName, number)); weight >= bestWeight {
			best, bestWeight = number, weight
		}
	}
	return best
}

func (n *Node) cellServices() map[string]*cell.Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	services := make(map[string]*cell.Service, len(n.cells))
	for name, service := range n.cells {
		services[name] = service
	}
	return services
}

func (n *Node) localLedgers() []*ledger.ReplicatedLedger {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*ledger.ReplicatedLedger, 0, len(n.ledgers))
	for _, m := range n.ledgers {
		list = append(list, m)
	}
	return list
}

// machinesChanged passes a new machine list to the routes and the cells.
func (n *Node) machinesChanged(list []machines.Machine) {
	n.routes.setMachines(list, n.manager.Current())
	for name, service := range n.cellServices() {
		service.ObserveMachines(n.enginesOf(name))
	}
}

// catalogChanged passes a new revision of the catalog, which is the configuration that
// operators apply (package catalog), to the cells and the routes.
func (n *Node) catalogChanged(snapshot *catalog.Snapshot) {
	n.log.WithField("revision", snapshot.Revision).Info("configuration in force")
	for _, service := range n.cellServices() {
		service.SetCatalog(snapshot)
	}
	if err := n.routes.setCatalog(snapshot); err != nil {
		n.log.WithError(err).Error("cannot apply the new routes; the previous ones stay in force")
	}
}

// longestKeyWindow returns the longest time for which any kind of the configuration keeps
// idempotency keys.
func (n *Node) longestKeyWindow() time.Duration {
	longest := time.Duration(0)
	current := n.manager.Current()
	for _, kind := range current.Catalog.GetKinds() {
		longest = max(longest, current.Kind(kind.GetName()).KeyWindow)
	}
	return longest
}

func (n *Node) stateLossCommand(groupID string) ([]byte, error) {
	if strings.HasPrefix(groupID, ledger.GroupPrefix) {
		return ledger.StateLossCommand(n.longestKeyWindow())
	}
	return cell.NoOpCommand(), nil
}

// registerMethods registers the handlers of the peer protocol.
func (n *Node) registerMethods() {
	n.members.Register(n.peers)
	n.rollout.Register(n.peers)
	n.host.Register(n.peers)
	n.host.RegisterRouting(n.peers)
	ledger.Register(n.peers, func(groupID string) *ledger.ReplicatedLedger {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.ledgers[groupID]
	})
	peer.Handle(n.peers, gateway.MethodPlace, func(ctx context.Context, _ peer.Identity, request cell.PlaceRequest) (engine.Ticket, error) {
		service, err := n.cell(request.Cell)
		if err != nil {
			return engine.Ticket{}, err
		}
		return service.Place(ctx, request)
	})
	peer.Handle(n.peers, gateway.MethodProgress, func(_ context.Context, _ peer.Identity, batch cell.ProgressBatch) (struct{}, error) {
		service, err := n.cell(batch.Cell)
		if err == nil {
			service.Report(batch.Reports)
		}
		return struct{}{}, err
	})
	peer.Handle(n.peers, operator.MethodEngines, func(_ context.Context, _ peer.Identity, call operator.EnginesCall) (operator.EnginesAnswer, error) {
		service, err := n.cell(call.Cell)
		if err != nil {
			return operator.EnginesAnswer{}, err
		}
		if _, _, leading := service.Load(); !leading {
			return operator.EnginesAnswer{}, result.New(result.NotLeader, "this node does not lead %s", call.Cell)
		}
		return operator.EnginesAnswer{Engines: service.EngineStatus()}, nil
	})
	peer.Handle(n.peers, operator.MethodDrain, func(ctx context.Context, _ peer.Identity, call operator.DrainCall) (operator.DrainAnswer, error) {
		service, err := n.cell(call.Cell)
		if err != nil {
			return operator.DrainAnswer{}, err
		}
		inFlight, err := service.Drain(ctx, call.Engine, call.Undo)
		return operator.DrainAnswer{InFlight: inFlight}, err
	})
	peer.Handle(n.peers, operator.MethodRevision, func(context.Context, peer.Identity, struct{}) (operator.RevisionAnswer, error) {
		return operator.RevisionAnswer{Incarnation: string(n.self.ID), Revision: n.manager.Revision()}, nil
	})
}

// cell returns the service of a cell's group. If this node is not a member of the group, it
// returns the error NotLeader ("is no member of").
func (n *Node) cell(name string) (*cell.Service, error) {
	n.mu.Lock()
	service := n.cells[name]
	n.mu.Unlock()
	if service != nil && n.host.Replica(name) != nil {
		return service, nil
	}
	return nil, result.New(result.NotLeader, "this node is no member of %s", name)
}
