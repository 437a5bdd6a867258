package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/admission"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
)

// Enqueue admits a request or refuses it at once. shed holds requests of lower classes that
// were removed from a full queue to make room.
func (s *State) Enqueue(now time.Duration, request PlaceRequest) (shed []Refused, err error) {
	if s.snapshot == nil {
		return nil, result.New(result.NotConfigured, "cell %s has no configuration yet", s.name)
	}
	tenant, kind, err := s.snapshot.Resolve(request.Tenant, request.Kind)
	if err != nil {
		return nil, err
	}
	if _, twice := s.waiting[request.Attempt]; twice {
		return nil, result.New(result.InvalidRequest, "attempt %s waits already", request.Attempt)
	}
	s.refreshAvailability(now)
	class := s.snapshot.ClassOf(tenant, kind)
	w := s.newWaiting(now, request, kind, class)
	s.exclude(w)
	capacity := s.capacity(w)
	if capacity.engines == 0 {
		return nil, result.New(result.NoEngine, "no engine of cell %s serves %s/%s now", s.name, kind.Model, kind.Version).
			WithRetryAfter(retryNoEngine)
	}
	w.item = &admission.Item{
		ID:          string(request.Attempt),
		Tenant:      request.Tenant,
		Class:       class.GetName(),
		Rank:        class.GetRank(),
		Weight:      float64(class.GetWeight()),
		MaxQueued:   catalog.MaxQueued(class),
		Cost:        capacity.cost.Seconds(),
		Deadline:    w.deadline,
		ServiceTime: capacity.service,
	}
	if err := s.checkDeadline(now, w, capacity); err != nil {
		return nil, err
	}
	if err := s.charge(now, request, tenant); err != nil {
		return nil, err
	}
	return s.push(w, capacity)
}

// newWaiting builds the queue entry of a request, for the lane of the version that serves it
// now.
func (s *State) newWaiting(now time.Duration, request PlaceRequest, kind *catalog.Kind, class *tinarchv1.PriorityClass) *waiting {
	version := s.versionFor(kind)
	return &waiting{
		request: request,
		target: placement.Request{
			Model:        kind.Model,
			Version:      version,
			Adapter:      kind.Adapter,
			PromptTokens: request.PromptTokens,
			OutputTokens: request.OutputTokens,
			Prefix:       request.Prefix,
			Zone:         request.Zone,
			Rank:         class.GetRank(),
		},
		deadline: now + time.Duration(request.DeadlineMillis)*time.Millisecond,
		lane:     s.lane(kind.Model, version),
	}
}

// charge takes a request's tokens from its tenant's rate limits. Only the first attempt of a
// request is charged.
func (s *State) charge(now time.Duration, request PlaceRequest, tenant *tinarchv1.Tenant) error {
	if request.Retry {
		return nil
	}
	limits := admission.Limits{
		PromptTokensPerSecond: int(tenant.GetPromptTokensPerSecond()),
		OutputTokensPerSecond: int(tenant.GetOutputTokensPerSecond()),
		BurstSeconds:          catalog.BurstSeconds(tenant),
	}
	return s.limiter.Take(now, request.Tenant, limits, request.PromptTokens, request.OutputTokens)
}

// versionFor returns the model version that should serve a request of a kind now. While engines
// load a new default version one after the other, requests go to the version that most engines
// serve, so that no request fails because of the change. A kind that names its version always
// gets that version.
func (s *State) versionFor(kind *catalog.Kind) string {
	if kind.Pinned {
		return kind.Version
	}
	counts := map[string]int{}
	for _, e := range s.ordered {
		deployment := e.candidate.Deployment
		usable := e.candidate.Availability == placement.Ready || e.candidate.Availability == placement.Unknown
		if usable && deployment.Model == kind.Model && deployment.HasAdapter(kind.Adapter) {
			counts[deployment.Version]++
		}
	}
	best := kind.Version
	for version, count := range counts {
		if count > counts[best] || count == counts[best] && best != kind.Version && version < best {
			best = version
		}
	}
	return best
}

const (
	retryNoEngine = 2 * time.Second
	minimumRetry  = 100 * time.Millisecond
)

func (s *State) push(w *waiting, capacity capacity) ([]Refused, error) {
	victim, err := w.lane.queue.Push(w.item)
	if err != nil {
		wait := w.lane.queue.EstimateWait(w.item, float64(capacity.engines))
		return nil, result.From(err).WithRetryAfter(max(wait, minimumRetry))
	}
	s.waiting[w.request.Attempt] = w
	if victim == nil {
		return nil, nil
	}
	attempt := engine.Identifier(victim.ID)
	delete(s.waiting, attempt)
	refusal := result.New(result.QueueFull, "the request made room for one of a higher class").WithRetryAfter(minimumRetry)
	return []Refused{{Attempt: attempt, Err: refusal}}, nil
}

func (s *State) lane(model, version string) *lane {
	key := laneKey(model, version)
	l := s.lanes[key]
	if l == nil {
		l = &lane{model: model, version: version, queue: admission.NewQueue(maxQueued)}
		s.lanes[key] = l
	}
	return l
}

func (s *State) exclude(w *waiting) {
	for _, name := range w.request.Excluded {
		if e := s.engines[name]; e != nil {
			w.target.Excluded |= 1 << e.candidate.Slot
		}
	}
}

// capacity is what the cell's engines can do for one request.
type capacity struct {
	// engines is the number of engines that could serve the request.
	engines int
	// service is the time from dispatch to the end of the answer on the engine that would be
	// fastest if idle.
	service time.Duration
	// cost is the engine time that the request takes, its decode time shared by decodeBatch
	// sequences.
	cost time.Duration
}

func (s *State) capacity(w *waiting) capacity {
	var found capacity
	var matches placement.Matches
	s.index.Match(w.target.Prefix, ^uint64(0), &matches)
	for _, candidate := range s.candidates {
		// Unknown engines count too: they answer, and a new leader will claim them soon.
		usable := candidate.Availability == placement.Ready || candidate.Availability == placement.Unknown
		if !usable || !(placement.Serves{}).Keep(&w.target, candidate, &matches) {
			continue
		}
		found.engines++
		cached := min(matches[candidate.Slot]*prefix.BlockTokens, w.target.PromptTokens)
		prefill := candidate.Rates.PrefillTime(w.target.PromptTokens - cached)
		decode := candidate.Rates.DecodeTime(w.target.OutputTokens, 0)
		if service := prefill + decode; found.engines == 1 || service < found.service {
			found.service = service
			found.cost = prefill + decode/decodeBatch
		}
	}
	return found
}

// checkDeadline refuses a request that can't be answered before its deadline, so that its
// caller doesn't wait for a refusal that is certain.
func (s *State) checkDeadline(now time.Duration, w *waiting, capacity capacity) error {
	wait := w.lane.queue.EstimateWait(w.item, float64(capacity.engines))
	excess := now + wait + capacity.service - w.deadline
	if excess <= 0 {
		return nil
	}
	return result.New(result.DeadlineUnreachable,
		"the answer would come %v after its deadline: %d requests wait", excess.Round(time.Millisecond), w.lane.queue.Len()).
		WithRetryAfter(max(excess, minimumRetry))
}

// Dispatch places waiting requests while engines have capacity. The caller must check its lease
// again before it hands out the tickets.
func (s *State) Dispatch(now time.Duration) []Placed {
	s.refreshAvailability(now)
	var placed []Placed
	for _, key := range s.laneOrder() {
		l := s.lanes[key]
		for {
			item := l.queue.Peek()
			if item == nil {
				break
			}
			w := s.waiting[engine.Identifier(item.ID)]
			decision, err := s.pipeline.Place(&w.target, s.candidates)
			if err != nil {
				if result.CodeOf(err) == result.RetriesExhausted && w.target.Excluded != 0 {
					// Every engine has refused the request once: allow them again rather than
					// block the lane.
					w.target.Excluded = 0
					continue
				}
				if result.CodeOf(err) == result.NoEngine {
					s.retarget(l)
				}
				break
			}
			l.queue.Pop()
			delete(s.waiting, w.request.Attempt)
			placed = append(placed, s.place(now, w, decision))
		}
	}
	return placed
}

// retarget moves requests from a lane whose version no engine serves any more to the version
// that serves them now.
func (s *State) retarget(l *lane) {
	for _, attempt := range s.waitingIn(l) {
		w := s.waiting[attempt]
		_, kind, err := s.snapshot.Resolve(w.request.Tenant, w.request.Kind)
		if err != nil {
			continue // the request stays queued until it expires
		}
		version := s.versionFor(kind)
		if version == w.target.Version || kind.Model != w.target.Model {
			continue
		}
		l.queue.Remove(w.item)
		w.target.Version = version
		w.lane = s.lane(kind.Model, version)
		if _, err := w.lane.queue.Push(w.item); err != nil {
			delete(s.waiting, attempt)
			s.displaced = append(s.displaced, Refused{Attempt: attempt, Err: err})
		}
	}
}

// waitingIn returns the attempts that wait in a lane, sorted by identifier.
func (s *State) waitingIn(l *lane) []engine.Identifier {
	var attempts []engine.Identifier
	for attempt, w := range s.waiting {
		if w.lane == l {
			attempts = append(attempts, attempt)
		}
	}
	slices.Sort(attempts)
	return attempts
}

func (s *State) laneOrder() []string {
	keys := make([]string, 0, len(s.lanes))
	for key, l := range s.lanes {
		if l.queue.Len() > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *State) place(now time.Duration, w *waiting, decision placement.Decision) Placed {
	candidate := decision.Candidate
	e := s.slots[candidate.Slot]
	uncached := w.target.PromptTokens - decision.CachedTokens
	f := &flight{
		attempt:   w.request.Attempt,
		engine:    e,
		rank:      w.target.Rank,
		pending:   uncached,
		reserved:  w.target.PromptTokens + w.target.OutputTokens,
		placedAt:  now,
		expiresAt: w.deadline + flightGrace,
	}
	s.flights[f.attempt] = f
	candidate.InFlight++
	candidate.Backlog.Add(f.rank, f.pending)
	candidate.ReservedTokens += f.reserved
	s.index.RecordPlacement(now, candidate.Slot, w.target.Prefix)
	status, _ := e.control.LastStatus()
	return Placed{Attempt: f.attempt, Ticket: engine.Ticket{
		Attempt:     f.attempt,
		Engine:      e.machine.Name,
		Address:     e.machine.Address,
		Incarnation: status.Incarnation,
		Model:       w.target.Model,
		Version:     w.target.Version,
		Adapter:     w.target.Adapter,
		Role:        candidate.Deployment.Role,
		Fence:       s.fence,
		Priority:    w.target.Rank,
		ValidMillis: TicketValidity.Milliseconds(),
	}}
}

// Report applies a gateway's progress report. Reports about attempts that are not in flight
// come late and are ignored.
func (s *State) Report(progress Progress) {
	f := s.flights[progress.Attempt]
	if f == nil {
		return
	}
	f.engine.candidate.Backlog.Add(f.rank, -f.pending)
	f.pending = 0
	if progress.Type == ProgressDone {
		s.endFlight(f)
	}
}

// endFlight removes a flight and releases what it has reserved on its engine.
func (s *State) endFlight(f *flight) {
	delete(s.flights, f.attempt)
	f.engine.candidate.InFlight--
	f.engine.candidate.Backlog.Add(f.rank, -f.pending)
	f.engine.candidate.ReservedTokens -= f.reserved
}

// Cancel removes a waiting request whose caller has left. It reports whether the request was
// still waiting.
func (s *State) Cancel(attempt engine.Identifier) bool {
	w := s.waiting[attempt]
	if w == nil {
		return false
	}
	w.lane.queue.Remove(w.item)
	delete(s.waiting, attempt)
	return true
}

// Expire refuses waiting requests that can't be answered before their deadline any more, and
// ends flights that have not been reported on for too long.
func (s *State) Expire(now time.Duration) []Refused {
	refused := s.displaced
	s.displaced = nil
	for _, key := range s.laneOrder() {
		for _, item := range s.lanes[key].queue.Expired(now) {
			attempt := engine.Identifier(item.ID)
			delete(s.waiting, attempt)
			refused = append(refused, Refused{Attempt: attempt, Err: result.New(result.DeadlineUnreachable,
				"the request waited until it could not be answered in time").WithRetryAfter(minimumRetry)})
		}
	}
	for _, f := range s.flights {
		if now > f.expiresAt {
			s.endFlight(f)
		}
	}
	s.limiter.EvictIdle(now)
	return refused
}

// RefuseAll refuses every waiting request, for instance when leadership ends.
func (s *State) RefuseAll(code result.Code, message string) []Refused {
	var refused []Refused
	for attempt, w := range s.waiting {
		w.lane.queue.Remove(w.item)
		refused = append(refused, Refused{Attempt: attempt, Err: result.New(code, "%s", message)})
	}
	clear(s.waiting)
	slices.SortFunc(refused, func(left, right Refused) int { return cmp.Compare(left.Attempt, right.Attempt) })
	return refused
}
