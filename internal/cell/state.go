package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/admission"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/control"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/result"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
)

const (
	// maxQueued limits the number of requests waiting in one lane.
	maxQueued = 8192
	// prefixCapacity limits the prompt blocks in a cell's prefix index, which takes about 60
	// bytes for each.
	prefixCapacity = 1 << 18
	// decodeBatch is the number of sequences assumed to share a decode step when the cost of a
	// request is estimated.
	decodeBatch = 16
	// flightGrace is how long after its deadline an attempt still counts as in flight when no
	// progress report has arrived.
	flightGrace = 30 * time.Second
)

// cellEngine is what the cell knows of one of its engines, and what it wants of it.
type cellEngine struct {
	machine   Machine
	listed    bool
	candidate placement.Candidate
	control   control.Reconciler
	desired   control.Desired
	drained   bool
}

// flight is an attempt that was placed on an engine and is not known to have ended.
type flight struct {
	attempt   engine.Identifier
	engine    *cellEngine
	rank      int32
	pending   int // prompt tokens not yet known to be prefilled
	reserved  int // tokens of KV cache reserved for prompt and answer
	placedAt  time.Duration
	expiresAt time.Duration
}

// waiting is a request in the queue of a lane.
type waiting struct {
	request  PlaceRequest
	target   placement.Request
	deadline time.Duration
	item     *admission.Item
	lane     *lane
}

// lane holds the queue of one model version. Each version has its own queue, so that requests
// for one model don't wait because the engines of another are full.
type lane struct {
	model, version string
	queue          *admission.Queue
}

// Placed is a request that was placed on an engine.
type Placed struct {
	Attempt engine.Identifier
	Ticket  engine.Ticket
}

// Refused is a request that is given up and is known not to have run.
type Refused struct {
	Attempt engine.Identifier
	Err     error
}

// State holds what a cell's leader knows about engines and requests, and makes its decisions.
// It does no I/O and reads no clock: the caller passes the time, measured from a fixed instant
// of its choice. It is not safe for concurrent use.
type State struct {
	name     string
	pool     string
	snapshot *catalog.Snapshot
	fence    engine.Fence

	engines    map[string]*cellEngine
	ordered    []*cellEngine
	candidates []*placement.Candidate
	slots      [placement.MaxEngines]*cellEngine

	index    *placement.PrefixIndex
	pipeline *placement.Pipeline
	limiter  *admission.Limiter
	lanes    map[string]*lane
	waiting  map[engine.Identifier]*waiting
	flights  map[engine.Identifier]*flight

	// displaced holds requests for which the queue of the new version was full when their
	// version was replaced.
	displaced []Refused

	nextLoadAt time.Duration
	loadRate   float64
}

// Options configure a cell.
type Options struct {
	Name string
	Pool string
	// Policy selects the placement policy; empty means PolicyPredicted.
	Policy placement.Policy
	// WeightBytesPerSecond is the rate limit of the weight store for the cell. Zero means that
	// engines may load weights at the same time.
	WeightBytesPerSecond float64
}

// NewState returns the state of a cell without engines or requests.
func NewState(options Options) *State {
	index := placement.NewPrefixIndex(prefixCapacity)
	return &State{
		name:     options.Name,
		pool:     options.Pool,
		engines:  map[string]*cellEngine{},
		index:    index,
		pipeline: placement.NewPolicyPipeline(options.Policy, index),
		limiter:  admission.NewLimiter(),
		lanes:    map[string]*lane{},
		waiting:  map[engine.Identifier]*waiting{},
		flights:  map[engine.Identifier]*flight{},
		loadRate: options.WeightBytesPerSecond,
	}
}

// SetCatalog makes a configuration current, unless its revision is lower than the current
// one's.
func (s *State) SetCatalog(snapshot *catalog.Snapshot) {
	if s.snapshot != nil && snapshot.Revision < s.snapshot.Revision {
		return
	}
	s.snapshot = snapshot
	running := catalog.MaxRunningPerEngine(snapshot.Pool(s.pool))
	for _, e := range s.ordered {
		e.candidate.MaxRunning = running
	}
	s.assign()
}

// SetFence sets the fencing token of this node's leadership, or zero when it doesn't lead the
// cell.
func (s *State) SetFence(fence engine.Fence) {
	s.fence = fence
	for _, e := range s.ordered {
		e.control.SetFence(fence)
	}
}

// ObserveMachines updates the cell's engines from the machine list. An engine that is no longer
// listed is treated as leaving, and is removed once it has no attempts in flight.
func (s *State) ObserveMachines(machines []Machine) {
	for _, e := range s.ordered {
		e.listed = false
	}
	for _, machine := range machines {
		s.observeMachine(machine)
	}
	s.dropUnlisted()
	s.assign()
}

func (s *State) observeMachine(machine Machine) {
	e := s.engines[machine.Name]
	if e == nil {
		slot := s.freeSlot()
		if slot < 0 {
			return // cells are laid out with at most MaxEngines engines
		}
		e = &cellEngine{candidate: placement.Candidate{Slot: slot, Name: machine.Name, MaxRunning: catalog.MaxRunningPerEngine(nil)}}
		if s.snapshot != nil {
			e.candidate.MaxRunning = catalog.MaxRunningPerEngine(s.snapshot.Pool(s.pool))
		}
		e.control.SetFence(s.fence)
		e.candidate.Rates = e.candidate.Rates.WithDefaults()
		e.machine = machine
		s.engines[machine.Name] = e
		s.slots[slot] = e
		s.ordered = append(s.ordered, e)
		slices.SortFunc(s.ordered, func(left, right *cellEngine) int { return cmp.Compare(left.machine.Name, right.machine.Name) })
		s.rebuildCandidates()
	}
	if e.machine.Address != machine.Address {
		s.index.RemoveEngine(e.candidate.Slot)
	}
	e.machine = machine
	e.listed = true
	e.candidate.Zone = machine.Zone
}

func (s *State) freeSlot() int {
	for slot, e := range s.slots {
		if e == nil {
			return slot
		}
	}
	return -1
}

func (s *State) dropUnlisted() {
	for _, e := range slices.Clone(s.ordered) {
		if e.listed {
			continue
		}
		e.machine.Leaving = true
		if e.candidate.InFlight > 0 {
			continue
		}
		delete(s.engines, e.machine.Name)
		s.slots[e.candidate.Slot] = nil
		s.index.RemoveEngine(e.candidate.Slot)
		s.ordered = slices.DeleteFunc(s.ordered, func(other *cellEngine) bool { return other == e })
		s.rebuildCandidates()
	}
}

func (s *State) rebuildCandidates() {
	s.candidates = s.candidates[:0]
	for _, e := range s.ordered {
		s.candidates = append(s.candidates, &e.candidate)
	}
}

// ObserveStatus records an engine's status report. A new incarnation of the engine ends all
// attempts in flight on it and clears its prefix index.
func (s *State) ObserveStatus(now time.Duration, name string, status engine.Status) {
	e := s.engines[name]
	if e == nil {
		return
	}
	previous, seen := e.control.LastStatus()
	e.control.Observe(now, status)
	if seen && previous.Incarnation != status.Incarnation {
		s.dropFlights(e)
		s.index.RemoveEngine(e.candidate.Slot)
	}
	s.updateFromReport(e, status)
	if status.Running == 0 {
		s.dropUnreportedFlights(now, e)
	}
	if !seen || !previous.Deployment.Serves(status.Deployment) {
		s.assign()
	}
}

// updateFromReport takes deployment, speed and cache capacity from a status report. Reports of
// any age are used for speed and capacity, since both change slowly. The report's queue lengths
// are not used, because the cell's own counts are newer.
func (s *State) updateFromReport(e *cellEngine, status engine.Status) {
	e.candidate.Deployment = status.Deployment
	if status.Load.MemoryTotalTokens > 0 {
		e.candidate.MemoryTokens = int(status.Load.MemoryTotalTokens)
	}
	reported := placement.Rates{
		PrefillTokensPerSecond: status.Load.PrefillTokensPerSecond,
		DecodeStep:             time.Duration(status.Load.DecodeStepMillis * float64(time.Millisecond)),
		MixedStep:              time.Duration(status.Load.MixedStepMillis * float64(time.Millisecond)),
	}
	if reported.PrefillTokensPerSecond > 0 && reported.DecodeStep > 0 {
		e.candidate.Rates = reported.WithDefaults()
	}
}

// dropUnreportedFlights ends the flights of an idle engine whose gateways never reported the
// end, once their tickets have expired and can't be dispatched any more.
func (s *State) dropUnreportedFlights(now time.Duration, e *cellEngine) {
	for _, f := range s.flights {
		if f.engine == e && now-f.placedAt > 2*TicketValidity {
			s.endFlight(f)
		}
	}
}

func (s *State) dropFlights(e *cellEngine) {
	for _, f := range s.flights {
		if f.engine == e {
			s.endFlight(f)
		}
	}
}

// ObserveCacheEvents applies a page of an engine's cache events to the prefix index.
func (s *State) ObserveCacheEvents(now time.Duration, name string, page engine.CacheEvents) {
	if e := s.engines[name]; e != nil {
		s.index.Apply(now, e.candidate.Slot, page)
	}
}

// NextCacheEvent returns the sequence number of the first cache event still to be read from an
// engine.
func (s *State) NextCacheEvent(name string) uint64 {
	e := s.engines[name]
	if e == nil {
		return 0
	}
	status, _ := e.control.LastStatus()
	return s.index.NextEvent(e.candidate.Slot, status.Incarnation)
}

// refreshAvailability recomputes the availability of all candidates.
func (s *State) refreshAvailability(now time.Duration) {
	for _, e := range s.ordered {
		if s.fence == 0 {
			e.candidate.Availability = e.control.FollowerAvailability(now)
		} else {
			e.candidate.Availability = e.control.Availability(now, e.desired)
		}
		if e.machine.Leaving && e.candidate.Availability != placement.Lost {
			e.candidate.Availability = placement.Leaving
		}
	}
}

// Engines describes the cell's engines for operators.
func (s *State) Engines(now time.Duration) []*tinarchv1.EngineStatus {
	s.refreshAvailability(now)
	list := make([]*tinarchv1.EngineStatus, 0, len(s.ordered))
	for _, e := range s.ordered {
		status, seen := e.control.LastStatus()
		description := &tinarchv1.EngineStatus{
			Name:                e.machine.Name,
			Pool:                s.pool,
			Zone:                e.machine.Zone,
			Address:             e.machine.Address,
			Incarnation:         string(status.Incarnation),
			State:               e.candidate.Availability.String(),
			Role:                string(status.Deployment.Role),
			InFlight:            uint32(e.candidate.InFlight),
			PendingPromptTokens: uint64(e.candidate.Backlog.Total()),
			LastError:           e.control.LastError(),
		}
		if status.Deployment.Model != "" {
			description.Model = catalog.VersionName(status.Deployment.Model, status.Deployment.Version)
		}
		if seen {
			age := e.control.ReportAge(now).Milliseconds() + max(status.Load.AgeMillis, 0)
			description.ReportAgeMs = uint64(max(age, 0))
		}
		list = append(list, description)
	}
	return list
}

// SetDrained sets the engines that operators have drained; all others are undrained.
func (s *State) SetDrained(names []string) {
	for _, e := range s.ordered {
		e.drained = slices.Contains(names, e.machine.Name)
		e.desired.Drained = e.drained
	}
}

// EngineInFlight returns the number of attempts in flight on an engine.
func (s *State) EngineInFlight(name string) (inFlight int, err error) {
	e := s.engines[name]
	if e == nil {
		return 0, result.New(result.NotFound, "cell %s has no engine %q; see `tinarch engines`", s.name, name)
	}
	return e.candidate.InFlight, nil
}

// HighestFence returns the highest fencing token that any engine has seen. It can exceed this
// leadership's token when an engine has moved here from another cell.
func (s *State) HighestFence() engine.Fence {
	highest := engine.Fence(0)
	for _, e := range s.ordered {
		status, _ := e.control.LastStatus()
		highest = max(highest, status.Fence)
	}
	return highest
}

// QueueLength returns the number of waiting requests of each priority class.
func (s *State) QueueLength() map[string]int {
	lengths := map[string]int{}
	for _, w := range s.waiting {
		lengths[w.item.Class]++
	}
	return lengths
}

// InFlight returns the number of attempts that were placed and are not known to have ended.
func (s *State) InFlight() int { return len(s.flights) }

func laneKey(model, version string) string { return fmt.Sprintf("%s/%s", model, version) }
