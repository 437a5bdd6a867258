package cell

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/result"
)

// Catalog provides a cell's configuration.
type Catalog interface {
	Current() *catalog.Snapshot
	WaitFor(ctx context.Context, revision uint64) error
}

// Engines is the client for the engines' control API.
type Engines interface {
	Status(ctx context.Context, address string) (engine.Status, error)
	Order(ctx context.Context, address string, order engine.Order) (engine.Status, error)
	CacheEvents(ctx context.Context, address string, from uint64) (engine.CacheEvents, error)
}

// Periods of a cell's background work, and timeouts of its calls.
const (
	statusEvery         = time.Second
	statusEveryFollower = 2 * time.Second
	cacheEventsEvery    = 2 * time.Second
	reconcileEvery      = 100 * time.Millisecond
	expireEvery         = 50 * time.Millisecond
	engineTimeout       = time.Second
	orderTimeout        = 2 * time.Second
	revisionWait        = 500 * time.Millisecond
)

// placeResult is the outcome of a placement request: a ticket or an error.
type placeResult struct {
	ticket engine.Ticket
	err    error
}

// Service runs a cell on one member of its replica group: it polls engines, sends them orders
// and answers placement requests. It implements group.StateMachine and
// group.LeadershipListener.
type Service struct {
	*registry
	name         string
	catalog      Catalog
	engines      Engines
	localReplica func() *group.Replica
	log          logrus.FieldLogger
	origin       time.Time

	mu      sync.Mutex
	state   *State
	leading engine.Fence
	results map[engine.Identifier]chan placeResult
	// ordersInFlight marks the engines to which an order has been sent whose answer has not
	// arrived.
	ordersInFlight map[string]bool

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewService starts the service of a cell. localReplica returns this node's member of the
// cell's group, nil when there is none.
func NewService(options Options, source Catalog, engines Engines, localReplica func() *group.Replica, log logrus.FieldLogger) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		registry:       newRegistry(),
		name:           options.Name,
		catalog:        source,
		engines:        engines,
		localReplica:   localReplica,
		log:            log.WithField("cell", options.Name),
		origin:         time.Now(),
		state:          NewState(options),
		results:        map[engine.Identifier]chan placeResult{},
		ordersInFlight: map[string]bool{},
		stop:           cancel,
	}
	s.state.SetCatalog(source.Current())
	s.runEvery(ctx, expireEvery, s.expire)
	s.runEvery(ctx, reconcileEvery, s.reconcile)
	s.runEvery(ctx, statusEvery, s.pollStatus)
	s.runEvery(ctx, cacheEventsEvery, s.pollCacheEvents)
	return s
}

// runEvery calls work once in each period until ctx ends.
func (s *Service) runEvery(ctx context.Context, period time.Duration, work func(context.Context)) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				work(ctx)
			}
		}
	}()
}

// Close stops the background work and refuses all waiting requests.
func (s *Service) Close() {
	s.stop()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverAll(nil, s.state.RefuseAll(result.Stopping, "the node is stopping"))
}

func (s *Service) now() time.Duration { return time.Since(s.origin) }

// Lead implements group.LeadershipListener.
func (s *Service) Lead(fence engine.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = fence
	s.state.SetFence(fence)
}

// Follow implements group.LeadershipListener. It refuses waiting requests, so that their
// gateways ask the next leader.
func (s *Service) Follow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = 0
	s.state.SetFence(0)
	s.deliverAll(nil, s.state.RefuseAll(result.NotLeader, "leadership of the cell has changed"))
}

// SetCatalog makes a configuration current, unless its revision is lower than the current
// one's.
func (s *Service) SetCatalog(snapshot *catalog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetCatalog(snapshot)
}

// ObserveMachines updates the cell's engines from the machine list.
func (s *Service) ObserveMachines(machines []Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ObserveMachines(machines)
	s.dispatch()
}

// deliverAll passes results to the waiting callers of Place. The caller holds the lock.
func (s *Service) deliverAll(placed []Placed, refused []Refused) {
	for _, p := range placed {
		s.deliver(p.Attempt, placeResult{ticket: p.Ticket})
	}
	for _, r := range refused {
		s.deliver(r.Attempt, placeResult{err: r.Err})
	}
}

func (s *Service) deliver(attempt engine.Identifier, outcome placeResult) {
	waiter := s.results[attempt]
	delete(s.results, attempt)
	if waiter != nil {
		waiter <- outcome
	}
}

// dispatch places all waiting requests that can be placed now. The caller holds the lock.
func (s *Service) dispatch() { s.deliverAll(s.state.Dispatch(s.now()), nil) }

// Place queues the request and waits until it is placed on an engine or refused.
func (s *Service) Place(ctx context.Context, request PlaceRequest) (engine.Ticket, error) {
	if err := s.awaitRevision(ctx, request.Revision); err != nil {
		return engine.Ticket{}, err
	}
	waiter, err := s.enqueue(request)
	if err != nil {
		return engine.Ticket{}, err
	}
	select {
	case outcome := <-waiter:
		if outcome.err != nil {
			return engine.Ticket{}, outcome.err
		}
		return s.recheckLease(request, outcome.ticket)
	case <-ctx.Done():
		s.withdraw(request.Attempt, waiter)
		return engine.Ticket{}, result.New(result.CallerGone, "the caller left while the request waited")
	}
}

func (s *Service) awaitRevision(ctx context.Context, revision uint64) error {
	if s.catalog.Current().Revision >= revision {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, revisionWait)
	defer cancel()
	return s.catalog.WaitFor(waitCtx, revision)
}

func (s *Service) enqueue(request PlaceRequest) (chan placeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading == 0 && !request.AnyMember {
		return nil, result.New(result.NotLeader, "this node does not lead cell %s", s.name)
	}
	waiter := make(chan placeResult, 1)
	shed, err := s.state.Enqueue(s.now(), request)
	if err != nil {
		return nil, err
	}
	s.results[request.Attempt] = waiter
	s.deliverAll(nil, shed)
	s.dispatch()
	return waiter, nil
}

// recheckLease checks just before a ticket is returned that this node still holds the lease
// under which the request was placed. Requests that any member may place need no lease.
func (s *Service) recheckLease(request PlaceRequest, ticket engine.Ticket) (engine.Ticket, error) {
	if request.AnyMember {
		return ticket, nil
	}
	if r := s.localReplica(); r != nil {
		if fence, active := r.Fence(); active && fence == ticket.Fence {
			return ticket, nil
		}
	}
	s.Report([]Progress{{Attempt: request.Attempt, Type: ProgressDone}})
	return engine.Ticket{}, result.New(result.NotLeader, "leadership of cell %s has changed", s.name)
}

// withdraw removes a request whose caller has left, or ends its flight if it has just been
// placed.
func (s *Service) withdraw(attempt engine.Identifier, waiter chan placeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.results, attempt)
	if s.state.Cancel(attempt) {
		return
	}
	select {
	case outcome := <-waiter:
		if outcome.err == nil {
			s.state.Report(Progress{Attempt: attempt, Type: ProgressDone})
		}
	default:
	}
	s.dispatch()
}

// Report applies progress reports of gateways.
func (s *Service) Report(reports []Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, progress := range reports {
		s.state.Report(progress)
	}
	s.dispatch()
}

// EngineStatus describes the cell's engines.
func (s *Service) EngineStatus() []*tinarchv1.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Engines(s.now())
}

// HigherFence returns the highest fencing token that an engine has seen, if it exceeds the
// token of this leadership, and zero otherwise.
func (s *Service) HigherFence() engine.Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if highest := s.state.HighestFence(); s.leading != 0 && highest > s.leading {
		return highest
	}
	return 0
}

// Load returns the number of waiting requests of each priority class, the number of attempts in
// flight, and whether this node leads the cell.
func (s *Service) Load() (waiting map[string]int, inFlight int, leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.QueueLength(), s.state.InFlight(), s.leading != 0
}

// Drain replicates an operator's request to drain an engine, or to undo that, and returns the
// number of attempts in flight on the engine.
func (s *Service) Drain(ctx context.Context, name string, undo bool) (int, error) {
	s.mu.Lock()
	_, err := s.state.EngineInFlight(name)
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	command := registryCommand{Drain: name}
	if undo {
		command = registryCommand{Undrain: name}
	}
	data, err := json.Marshal(command)
	if err != nil {
		return 0, result.Wrap(err, result.Internal, "encoding a cell command")
	}
	r := s.localReplica()
	if r == nil {
		return 0, result.New(result.NotLeader, "this node is no member of cell %s", s.name)
	}
	if _, err := r.Propose(ctx, data); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetDrained(s.Drained())
	return s.state.EngineInFlight(name)
}

func (s *Service) expire(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverAll(nil, s.state.Expire(s.now()))
	s.dispatch()
}
