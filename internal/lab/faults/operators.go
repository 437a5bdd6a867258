package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/placement"
)

const operatorTimeout = 3 * time.Second

func (r *run) catalogClient(node int) tinarchv1connect.CatalogServiceClient {
	return cluster.CatalogAt(r.nodes[node].settings.Listen.Operators)
}

func (r *run) fleetClient(node int) tinarchv1connect.FleetServiceClient {
	return cluster.FleetAt(r.nodes[node].settings.Listen.Operators)
}

func (r *run) apply(ctx context.Context, node int, operation string, expected uint64, put *tinarchv1.Catalog) error {
	callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	_, err := r.catalogClient(node).Apply(callCtx, connect.NewRequest(&tinarchv1.ApplyRequest{
		ExpectedRevision: expected, OperationId: operation, Put: put,
	}))
	return cli.FromRPC(err)
}

func (r *run) revision(ctx context.Context, node int) (uint64, *tinarchv1.Catalog, error) {
	callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	response, err := r.catalogClient(node).Get(callCtx, connect.NewRequest(&tinarchv1.GetRequest{}))
	if err != nil {
		return 0, nil, err
	}
	return response.Msg.GetRevision(), response.Msg.GetCatalog(), nil
}

// raceOperators sends two changes of the same revision to two nodes at once. It is a problem if
// both are accepted.
func (r *run) raceOperators(ctx context.Context, event Event) {
	expected, _, err := r.revision(ctx, event.Target)
	if err != nil || expected == 0 {
		return
	}
	accepted := make([]bool, 2)
	var group sync.WaitGroup
	for i := range accepted {
		group.Add(1)
		go func() {
			defer group.Done()
			operation := fmt.Sprintf("race-%d-%d-%d", r.options.Seed, event.At, i)
			put := &tinarchv1.Catalog{Classes: []*tinarchv1.PriorityClass{{Name: fmt.Sprintf("race-%d", i), Weight: 1}}}
			accepted[i] = r.apply(ctx, (event.Target+i)%nodeCount, operation, expected, put) == nil
		}()
	}
	group.Wait()
	if accepted[0] && accepted[1] {
		r.addProblem("two operators' changes of revision %d were both accepted", expected)
	}
}

func (r *run) drain(ctx context.Context, engine string, undo bool) {
	for node := range r.nodes {
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		_, err := r.fleetClient(node).Drain(callCtx, connect.NewRequest(&tinarchv1.DrainRequest{Engine: engine, Undo: undo}))
		cancel()
		if err == nil {
			return
		}
	}
}

// servingEngines returns the number of ready engines by the first node that knows any engine.
func (r *run) servingEngines(ctx context.Context) int {
	for node := range r.nodes {
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		response, err := r.fleetClient(node).Engines(callCtx, connect.NewRequest(&tinarchv1.EnginesRequest{}))
		cancel()
		if err != nil || len(response.Msg.GetEngines()) == 0 {
			continue
		}
		ready := 0
		for _, status := range response.Msg.GetEngines() {
			if status.GetState() == placement.Ready.String() {
				ready++
			}
		}
		return ready
	}
	return 0
}

// revisionWatch polls the revision of each node and checks that it never decreases while the
// process runs.
type revisionWatch struct {
	parent *run
	done   chan struct{}
	quit   chan struct{}

	mu              sync.Mutex
	lastRevision    []uint64
	lastStart       []int
	highestRevision uint64
}

func newRevisionWatch(r *run) *revisionWatch {
	return &revisionWatch{parent: r, done: make(chan struct{}), quit: make(chan struct{}), lastRevision: make([]uint64, nodeCount), lastStart: make([]int, nodeCount)}
}

func (w *revisionWatch) poll(ctx context.Context, node int) {
	n := w.parent.nodes[node]
	before := n.Starts()
	if !n.Ready(ctx) {
		return
	}
	revision, _, err := w.parent.revision(ctx, node)
	after := n.Starts()
	if err != nil || before != after {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastStart[node] == after && revision < w.lastRevision[node] {
		w.parent.addProblem("node %d went back from revision %d to %d without a restart", node+1, w.lastRevision[node], revision)
	}
	w.lastStart[node], w.lastRevision[node] = after, revision
	w.highestRevision = max(w.highestRevision, revision)
}

func (w *revisionWatch) watch(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.quit:
			return
		case <-ticker.C:
		}
		for node := range w.parent.nodes {
			w.poll(ctx, node)
		}
	}
}

func (w *revisionWatch) stop() {
	close(w.quit)
	<-w.done
}

func (w *revisionWatch) highest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highestRevision
}
