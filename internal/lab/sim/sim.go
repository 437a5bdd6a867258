package sim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// Pool is a set of engines with the same model of performance.
type Pool struct {
	Name  string
	Count int
	Model labengine.Model
}

// Options configure a simulation.
type Options struct {
	Pools    []Pool
	Zones    []string
	Catalog  *tinarchv1.Catalog
	Workload load.Workload
	Policy   placement.Policy
	// Fleets is the number of copies of the deployment, each with the full rates of the
	// workload. It is used to measure how the cost of a simulation grows with its size.
	Fleets int
}

// leaderDelay and engineDelay are the network delays in one direction, between gateway and
// leader and between gateway and engine. Engine statuses are polled and expired requests
// removed at fixed intervals. The simulation runs on for drainTime after the end of the
// workload.
const (
	leaderDelay    = 500 * time.Microsecond
	engineDelay    = 500 * time.Microsecond
	statusInterval = time.Second
	expireInterval = 50 * time.Millisecond
	drainTime      = 60 * time.Second
)

// Stream holds what the callers of one stream saw.
type Stream struct {
	Name       string
	Sent       int
	InDeadline int
	Late       int
	Refused    map[string]int
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

// Report holds the results of a simulation.
type Report struct {
	Streams      []*Stream
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
	// Events is the number of events that were scheduled.
	Events uint64
}

// Goodput returns the share of all requests that were answered within their deadline.
func (r *Report) Goodput() float64 {
	sent, good := 0, 0
	for _, s := range r.Streams {
		sent += s.Sent
		good += s.InDeadline
	}
	return float64(good) / float64(max(sent, 1))
}

// Goodput returns the share of the stream's requests that were answered within their deadline.
func (s *Stream) Goodput() float64 { return float64(s.InDeadline) / float64(max(s.Sent, 1)) }

// FirstTokenMillis returns a percentile (0 to 100) of the time to the first token.
func (s *Stream) FirstTokenMillis(quantile float64) float64 {
	return float64(s.firstToken.ValueAtQuantile(quantile)) / 1000
}

// GapMillis returns a percentile (0 to 100) of the time between tokens.
func (s *Stream) GapMillis(quantile float64) float64 {
	return float64(s.gaps.ValueAtQuantile(quantile)) / 1000
}

// simulation is the state of one run.
type simulation struct {
	clock
	options  Options
	snapshot *catalog.Snapshot
	cells    []*simCell
	byPool   map[string][]*simCell
	requests map[engine.Identifier]*request
	report   *Report
}

type simCell struct {
	sim     *simulation
	state   *cell.State
	engines map[string]*simEngine
	order   []*simEngine
}

type simEngine struct {
	cell    *simCell
	name    string
	virtual *labengine.Virtual
	status  engine.Status
	busy    bool
}

type request struct {
	arrival     load.Arrival
	stream      int
	cell        *simCell
	chain       []prefix.Hash
	deadline    time.Duration
	lastTokenAt time.Duration // time of the last token, or of the arrival before the first
}

// Run simulates a deployment under its workload.
func Run(options Options) (*Report, error) {
	if options.Fleets < 1 {
		options.Fleets = 1
	}
	snapshot, err := catalog.Compile(1, options.Catalog)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		options: options, snapshot: snapshot, byPool: map[string][]*simCell{},
		requests: map[engine.Identifier]*request{}, report: &Report{},
	}
	for _, stream := range options.Workload.Streams {
		s.report.Streams = append(s.report.Streams, &Stream{
			Name: stream.Name, Refused: map[string]int{},
			firstToken: hdrhistogram.New(1, 600_000_000, 3), gaps: hdrhistogram.New(1, 600_000_000, 3),
		})
	}
	for fleet := range options.Fleets {
		s.addFleet(fleet)
		s.scheduleArrivals(fleet)
	}
	s.clock.run(time.Duration(options.Workload.Seconds*float64(time.Second)) + drainTime)
	s.report.Events = s.scheduled
	return s.report, nil
}

func (s *simulation) addFleet(fleet int) {
	for _, pool := range s.options.Pools {
		for first := 0; first < pool.Count; first += placement.MaxEngines {
			s.addCell(fleet, pool, first, min(pool.Count-first, placement.MaxEngines))
		}
	}
}

// addCell adds a cell with count engines of the pool and brings the engines to the deployments
// that the cell wants.
func (s *simulation) addCell(fleet int, pool Pool, first, count int) {
	c := &simCell{
		sim: s, engines: map[string]*simEngine{},
		state: cell.NewState(cell.Options{Name: fmt.Sprintf("%s/%d/%d", pool.Name, fleet, first), Pool: pool.Name, Policy: s.options.Policy}),
	}
	c.state.SetCatalog(s.snapshot)
	c.state.SetFence(1)
	var machines []cell.Machine
	for i := range count {
		name := fmt.Sprintf("%s-%d-%03d", pool.Name, fleet, first+i)
		e := &simEngine{cell: c, name: name, virtual: labengine.NewVirtual(pool.Model), status: engine.Status{Incarnation: engine.Identifier(name)}}
		c.engines[name] = e
		c.order = append(c.order, e)
		machines = append(machines, cell.Machine{Name: name, Address: name, Pool: pool.Name, Zone: s.options.Zones[i%len(s.options.Zones)]})
	}
	c.state.ObserveMachines(machines)
	c.settle()
	s.cells = append(s.cells, c)
	s.byPool[pool.Name] = append(s.byPool[pool.Name], c)
	s.after(statusInterval, c.pollStatus)
	s.after(expireInterval, c.expire)
}

// settle lets the cell claim its engines and deploy models to them before the simulation
// begins, in a fixed number of rounds of status reports and orders.
func (c *simCell) settle() {
	const rounds = 8
	for range rounds {
		for _, e := range c.order {
			e.status.Load = e.virtual.Load()
			c.state.ObserveStatus(c.sim.now, e.name, e.status)
		}
		for _, instruction := range c.state.Reconcile(c.sim.now) {
			e := c.engines[instruction.Engine]
			e.applyOrder(instruction.Order)
			c.state.HandleOrderResult(c.sim.now, instruction, e.status, nil)
		}
	}
}

func (e *simEngine) applyOrder(order engine.Order) {
	e.status.Fence, e.status.LastOrder = order.Fence, order.ID
	switch order.Type {
	case engine.OrderDrain:
		e.status.Draining = true
	case engine.OrderUndrain:
		e.status.Draining = false
	case engine.OrderDeploy:
		e.status.Deployment = *order.Target
	}
}

func (c *simCell) pollStatus() {
	for _, e := range c.order {
		e.status.Load = e.virtual.Load()
		e.status.Running = e.virtual.Running()
		c.state.ObserveStatus(c.sim.now, e.name, e.status)
		c.state.ObserveCacheEvents(c.sim.now, e.name, engine.CacheEvents{Incarnation: e.status.Incarnation, Events: e.virtual.CacheEvents()})
	}
	c.sim.after(statusInterval, c.pollStatus)
}

func (c *simCell) expire() {
	c.refuse(c.state.Expire(c.sim.now))
	c.dispatch()
	c.sim.after(expireInterval, c.expire)
}

func (c *simCell) refuse(refused []cell.Refused) {
	for _, r := range refused {
		c.sim.recordRefusal(r.Attempt, r.Err)
	}
}

func (c *simCell) dispatch() {
	for _, placed := range c.state.Dispatch(c.sim.now) {
		r := c.sim.requests[placed.Attempt]
		e := c.engines[placed.Ticket.Engine]
		c.sim.after(leaderDelay+engineDelay, func() { e.accept(placed, r) })
	}
}

func (s *simulation) recordRefusal(attempt engine.Identifier, err error) {
	r := s.requests[attempt]
	delete(s.requests, attempt)
	s.report.Streams[r.stream].Refused[result.CodeOf(err).Entry().Name]++
}

// scheduleArrivals schedules the arrivals of one fleet, with a seed of its own.
func (s *simulation) scheduleArrivals(fleet int) {
	workload := s.options.Workload
	workload.Seed += uint64(fleet) * 1_000_003
	for _, arrival := range workload.Schedule() {
		s.after(arrival.At, func() { s.arrive(fleet, arrival) })
	}
}

func (s *simulation) arrive(fleet int, arrival load.Arrival) {
	stream := s.options.Workload.Streams[arrival.Stream]
	attempt := engine.Identifier(strconv.Itoa(fleet) + "/" + strconv.Itoa(arrival.Stream) + "/" + strconv.Itoa(arrival.Number))
	chain, promptTokens := s.prompt(fleet, stream, arrival)
	kind := s.snapshot.Kind(stream.Kind)
	cells := s.byPool[kind.Pool]
	number := arrival.Number
	if len(chain) > 0 {
		number = int(chain[0] % uint64(len(cells)))
	}
	r := &request{
		arrival: arrival, stream: arrival.Stream, cell: cells[number%len(cells)], chain: chain,
		deadline: s.now + time.Duration(stream.DeadlineMillis)*time.Millisecond, lastTokenAt: s.now,
	}
	s.requests[attempt] = r
	s.report.Streams[arrival.Stream].Sent++
	s.after(leaderDelay, func() {
		shed, err := r.cell.state.Enqueue(s.now, cell.PlaceRequest{
			Attempt: attempt, Tenant: s.tenantOf(arrival.Key), Kind: stream.Kind, PromptTokens: promptTokens, OutputTokens: arrival.OutputTokens,
			Prefix: chain, DeadlineMillis: (r.deadline - s.now).Milliseconds(),
		})
		r.cell.refuse(shed)
		if err != nil {
			s.recordRefusal(attempt, err)
			return
		}
		r.cell.dispatch()
	})
}

func (s *simulation) tenantOf(key string) string {
	tenant, err := s.snapshot.TenantByKey(key)
	if err != nil {
		return ""
	}
	return tenant.GetName()
}

// prompt returns the prefix hashes and the length in tokens of a prompt without generating its
// text.
func (s *simulation) prompt(fleet int, stream load.Stream, arrival load.Arrival) ([]prefix.Hash, int) {
	shared := 0
	if arrival.Text >= 0 {
		i := slices.IndexFunc(s.options.Workload.Corpora, func(corpus load.Corpus) bool { return corpus.Name == stream.Corpus })
		shared = s.options.Workload.Corpora[i].Tokens
	}
	tokens := shared + arrival.PromptTokens
	chain := make([]prefix.Hash, tokens/prefix.BlockTokens)
	for block := range chain {
		name := fmt.Sprintf("%d/%s/%d/%d", fleet, stream.Name, arrival.Number, block)
		if (block+1)*prefix.BlockTokens <= shared {
			name = fmt.Sprintf("%d/%s/%s/%d/%d", fleet, stream.Model, stream.Corpus, arrival.Text, block)
		}
		chain[block] = xxhash.Sum64String(name)
	}
	return chain, tokens
}

// accept starts an attempt at the engine.
func (e *simEngine) accept(placed cell.Placed, r *request) {
	shared := len(r.chain)
	e.virtual.Accept(labengine.VirtualRequest{
		Attempt: placed.Attempt, Priority: placed.Ticket.Priority, Chain: r.chain[:shared],
		PromptTokens: max(len(r.chain)*prefix.BlockTokens, 1), OutputTokens: r.arrival.OutputTokens,
	})
	if !e.busy {
		e.busy = true
		e.iterate()
	}
}

// iterate schedules the end of the next batch iteration, and goes on until the engine is idle.
func (e *simEngine) iterate() {
	e.cell.sim.after(e.virtual.Begin(), func() {
		for _, p := range e.virtual.Finish() {
			e.progress(p)
		}
		if e.virtual.Idle() {
			e.busy = false
			return
		}
		e.iterate()
	})
}

func (e *simEngine) progress(p labengine.VirtualProgress) {
	s := e.cell.sim
	r := s.requests[p.Attempt]
	stream := s.report.Streams[r.stream]
	since := (s.now - r.lastTokenAt).Microseconds()
	r.lastTokenAt = s.now
	s.report.OutputTokens++
	if p.Written == 1 {
		_ = stream.firstToken.RecordValue(max(since, 1))
		s.after(engineDelay+leaderDelay, func() { e.cell.report(cell.Progress{Attempt: p.Attempt, Type: cell.ProgressFirstToken}) })
	} else {
		_ = stream.gaps.RecordValue(max(since, 1))
	}
	if !p.Done {
		return
	}
	if s.now+engineDelay <= r.deadline {
		stream.InDeadline++
	} else {
		stream.Late++
	}
	delete(s.requests, p.Attempt)
	s.after(engineDelay+leaderDelay, func() { e.cell.report(cell.Progress{Attempt: p.Attempt, Type: cell.ProgressDone}) })
}

func (c *simCell) report(progress cell.Progress) {
	c.state.Report(progress)
	c.dispatch()
}
