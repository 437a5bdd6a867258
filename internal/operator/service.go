package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/membership"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/rollout"
)

// Methods of the peer protocol by which the node that serves an operator asks other nodes.
const (
	MethodDrain    peer.Method = "cell.drain"
	MethodEngines  peer.Method = "cell.engines"
	MethodRevision peer.Method = "node.revision"
)

// DrainCall asks the leader of a cell to drain an engine, or to undo that.
type DrainCall struct {
	Cell   string `json:"cell"`
	Engine string `json:"engine"`
	Undo   bool   `json:"undo,omitempty"`
}

// DrainAnswer says how many attempts are in flight on the engine.
type DrainAnswer struct {
	InFlight int `json:"in_flight"`
}

// EnginesCall asks the leader of a cell for its engines.
type EnginesCall struct {
	Cell string `json:"cell"`
}

// EnginesAnswer lists the engines of a cell.
type EnginesAnswer struct {
	Engines []*tinarchv1.EngineStatus `json:"engines"`
}

// RevisionAnswer is the revision in force at a node.
type RevisionAnswer struct {
	Incarnation string `json:"incarnation"`
	Revision    uint64 `json:"revision"`
}

// Members is this node's view of the cluster.
type Members interface {
	Nodes() []membership.NodeView
	Groups() []membership.Group
}

// Router sends calls to the leader of a replica group. A cell is called by its name, which is
// also the ID of its group.
type Router interface {
	Call(ctx context.Context, groupID string, method peer.Method, tryTimeout time.Duration, request, response any) error
}

// Service implements CatalogService and FleetService.
type Service struct {
	Name    string
	Manager *rollout.Manager
	Rollout *rollout.Service
	Members Members
	Router  Router
	Client  *peer.Client
	// PoolsByCell returns the pool of each cell that exists, by the name of the cell. A cell is
	// the part of a pool that one scheduler (package cell) serves; the nodes that can run the
	// scheduler are a replica group, and the group's leader runs it.
	PoolsByCell func() map[string]string
}

const (
	applyTimeout = 20 * time.Second
	cellTimeout  = 2 * time.Second
	nodeTimeout  = time.Second
	// maxConcurrentCalls limits how many nodes are asked at once.
	maxConcurrentCalls = 32
	maxReadBytes       = 8 << 20
)

// Routes returns the HTTP handler for the operators' port.
func (s *Service) Routes(interceptor connect.Interceptor) http.Handler {
	router := chi.NewRouter()
	options := []connect.HandlerOption{connect.WithInterceptors(interceptor), connect.WithReadMaxBytes(maxReadBytes)}
	path, handler := tinarchv1connect.NewCatalogServiceHandler(s, options...)
	router.Mount(path, handler)
	path, handler = tinarchv1connect.NewFleetServiceHandler(s, options...)
	router.Mount(path, handler)
	return router
}

// Apply implements CatalogService.
func (s *Service) Apply(ctx context.Context, request *connect.Request[tinarchv1.ApplyRequest]) (*connect.Response[tinarchv1.ApplyResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	revision, err := s.Rollout.Apply(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&tinarchv1.ApplyResponse{Revision: revision}), nil
}

// Get implements CatalogService.
func (s *Service) Get(context.Context, *connect.Request[tinarchv1.GetRequest]) (*connect.Response[tinarchv1.GetResponse], error) {
	current := s.Manager.Current()
	return connect.NewResponse(&tinarchv1.GetResponse{Revision: current.Revision, Catalog: current.Catalog}), nil
}

// Watch implements CatalogService.
func (s *Service) Watch(ctx context.Context, _ *connect.Request[tinarchv1.WatchRequest], stream *connect.ServerStream[tinarchv1.WatchResponse]) error {
	for {
		revision, changed := s.Manager.Changed()
		if err := stream.Send(&tinarchv1.WatchResponse{Revision: revision}); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Status implements FleetService. It asks each node for its revision, because what this node
// has heard of the others may be outdated, and LowestRevision must be exact.
func (s *Service) Status(ctx context.Context, _ *connect.Request[tinarchv1.StatusRequest]) (*connect.Response[tinarchv1.StatusResponse], error) {
	views := s.Members.Nodes()
	revisions := s.queryRevisions(ctx, views)
	response := &tinarchv1.StatusResponse{AnsweredBy: s.Name, LowestRevision: s.Manager.Revision()}
	for i, view := range views {
		if view.State != membership.Dead {
			response.LowestRevision = min(response.LowestRevision, revisions[i])
		}
		response.Nodes = append(response.Nodes, describeNode(view, revisions[i]))
	}
	cells := s.PoolsByCell()
	for _, group := range s.Members.Groups() {
		pool, exists := cells[group.ID]
		if !exists {
			continue
		}
		response.Cells = append(response.Cells, &tinarchv1.CellStatus{
			Pool: pool, Leader: group.Leader, Fence: uint64(replica.FenceOf(group.Epoch, group.Term)),
		})
	}
	return connect.NewResponse(response), nil
}

// stateLeaving is the state shown for a node that is alive and about to stop.
const stateLeaving = "leaving"

func describeNode(view membership.NodeView, revision uint64) *tinarchv1.NodeStatus {
	state := string(view.State)
	if view.Leaving && view.State == membership.Alive {
		state = stateLeaving
	}
	return &tinarchv1.NodeStatus{
		Name: view.Name, Incarnation: view.Incarnation, Zone: view.Zone, State: state, Revision: revision,
		HeardMsAgo: uint64(max(view.HeardAgo.Milliseconds(), 0)), PeerAddress: view.Address,
	}
}

// queryRevisions asks all nodes for their revisions, concurrently. A node that does not answer
// counts as having revision zero.
func (s *Service) queryRevisions(ctx context.Context, views []membership.NodeView) []uint64 {
	revisions := make([]uint64, len(views))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var waitGroup sync.WaitGroup
	for i, view := range views {
		if view.Name == s.Name {
			revisions[i] = s.Manager.Revision()
			continue
		}
		if view.State == membership.Dead {
			continue
		}
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			callCtx, cancel := context.WithTimeout(ctx, nodeTimeout)
			defer cancel()
			var answer RevisionAnswer
			if s.Client.Call(callCtx, view.Address, MethodRevision, struct{}{}, &answer) == nil {
				revisions[i] = answer.Revision
			}
		}()
	}
	waitGroup.Wait()
	return revisions
}

// Engines implements FleetService.
func (s *Service) Engines(ctx context.Context, request *connect.Request[tinarchv1.EnginesRequest]) (*connect.Response[tinarchv1.EnginesResponse], error) {
	response := &tinarchv1.EnginesResponse{}
	for _, cell := range s.cellsOfPool(request.Msg.GetPool()) {
		answer, err := s.queryEngines(ctx, cell.name)
		if err != nil {
			response.UnansweredPools = append(response.UnansweredPools, cell.pool)
			continue
		}
		response.Engines = append(response.Engines, answer.Engines...)
	}
	if len(response.Engines) == 0 && len(response.UnansweredPools) == 0 && request.Msg.GetPool() != "" {
		return nil, result.New(result.NotFound, "pool %q does not exist or has no engine; see `tinarch get`", request.Msg.GetPool())
	}
	return connect.NewResponse(response), nil
}

type namedCell struct{ name, pool string }

func (s *Service) cellsOfPool(pool string) []namedCell {
	var cells []namedCell
	for name, cellPool := range s.PoolsByCell() {
		if pool == "" || pool == cellPool {
			cells = append(cells, namedCell{name, cellPool})
		}
	}
	slices.SortFunc(cells, func(left, right namedCell) int { return cmp.Compare(left.name, right.name) })
	return cells
}

func (s *Service) queryEngines(ctx context.Context, cell string) (EnginesAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	var answer EnginesAnswer
	err := s.Router.Call(callCtx, cell, MethodEngines, nodeTimeout, EnginesCall{Cell: cell}, &answer)
	return answer, err
}

// Drain implements FleetService.
func (s *Service) Drain(ctx context.Context, request *connect.Request[tinarchv1.DrainRequest]) (*connect.Response[tinarchv1.DrainResponse], error) {
	name := request.Msg.GetEngine()
	for _, cell := range s.cellsOfPool("") {
		engines, err := s.queryEngines(ctx, cell.name)
		if err != nil || !slices.ContainsFunc(engines.Engines, func(e *tinarchv1.EngineStatus) bool { return e.GetName() == name }) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, cellTimeout)
		defer cancel()
		var answer DrainAnswer
		call := DrainCall{Cell: cell.name, Engine: name, Undo: request.Msg.GetUndo()}
		if err := s.Router.Call(callCtx, cell.name, MethodDrain, nodeTimeout, call, &answer); err != nil {
			return nil, err
		}
		return connect.NewResponse(&tinarchv1.DrainResponse{InFlight: uint32(answer.InFlight)}), nil
	}
	return nil, result.New(result.NotFound, "no cell that answers has an engine %q; see `tinarch engines`", name)
}
