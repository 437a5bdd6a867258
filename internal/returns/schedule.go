// Package returns schedules when refused callers of a service are asked to come back, so that
// they don't return together and are refused again. It is pure: time and chance are arguments.
package returns

import (
	"maps"
	"time"
)

const (
	// Ranks is the number of ranks that a schedule tells apart. Less urgent ones count as the
	// last one.
	Ranks = 8
	// slotLength is the length of a slot, the unit in which return times are handed out. It is
	// about the shortest delay that is worth a caller's retry.
	slotLength = 100 * time.Millisecond
	// horizon is how far ahead places are handed out, in slots: a third of the longest deadline
	// that callers of an interactive service have, half a minute.
	horizon = 100
	// waitShare is the share of its remaining time for which a caller respects Retry-After. It
	// returns after that time at the latest.
	waitShare = 1.0 / 3
)

// Refusal describes a request that was refused because its answer would come too late.
type Refusal struct {
	// Rank is the request's rank; zero is the most urgent.
	Rank int
	// Work is the number of prompt tokens that engines have to prefill for the request.
	Work float64
	// Queue is the time until the engines have worked off what is queued ahead of the request,
	// and Service the time to the first byte without a queue.
	Queue, Service time.Duration
	// Objective is the time within which the request should be answered, counted from its next
	// arrival.
	Objective time.Duration
	// Remaining is the time until the caller's deadline. Patience is the time until the caller
	// leaves, which may be earlier.
	Remaining, Patience time.Duration
}

// Source tells where a Retry-After comes from.
type Source string

// Values of Source.
const (
	// Scheduled callers have a place: they are expected at their time.
	Scheduled Source = "scheduled"
	// NotInvited callers have none. They are told to wait longer than they have time for.
	NotInvited Source = "not invited"
)

// Reason tells why a caller has no place.
type Reason string

// Values of Reason.
const (
	// Unlearned means that the schedule doesn't know yet how much the engines serve.
	Unlearned Reason = "the rate isn't known yet"
	// QueueTooLong means that the queue outlasts the time for which the caller can be asked to
	// wait.
	QueueTooLong Reason = "the queue outlasts the caller's wait"
	// NoTime means that too little time would be left to serve the request at its return.
	NoTime Reason = "too little time would be left"
	// TooLong means that the answer would be late at the return too, even without a queue.
	TooLong Reason = "late even without a queue"
	// NoSpare means that requests that arrive for the first time take all that engines serve.
	NoSpare Reason = "new requests take all capacity"
	// Taken means that the places in the caller's time are taken, or kept for more urgent ones.
	Taken Reason = "all places are taken"
)

// Place is when a refused caller is asked to return.
type Place struct {
	Source Source
	Reason Reason
	// After is the time until the return.
	After time.Duration
	// Slot is the number of the slot, counted from the start of the schedule.
	Slot int64
	// Rate is the rate in tokens per second at which places are handed out. Earliest and Bound
	// are the shortest and the longest wait that suit the caller.
	Rate            float64
	Earliest, Bound time.Duration
}

// Schedule hands out the return times of one service's callers at one node. What it hands out
// never exceeds the rate at which this node's requests can be served in addition to those that
// arrive for the first time. It isn't safe for concurrent use.
type Schedule struct {
	begun time.Time
	// current is the slot of the last call, and due the work that is due in slots from there
	// on, by rank.
	current int64
	due     map[int64]*[Ranks]float64
	// levels are the leaky buckets at the start of the current slot. Bucket j holds the work
	// of ranks j and above.
	levels     [Ranks]float64
	throughput throughput
	arrivals   arrivals
	// refused is the work per second of refused requests, by rank.
	refused [Ranks]average
}

// New returns an empty schedule.
func New(now time.Time) *Schedule {
	return &Schedule{begun: now, due: make(map[int64]*[Ranks]float64)}
}

// Served records a request that the engines serve. queue is the time until they have worked off
// what is queued ahead of it, and objective the time within which it should be answered.
func (s *Schedule) Served(work float64, queue, objective time.Duration, now time.Time) {
	s.advance(now)
	s.arrivals.add(work)
	s.throughput.served(work, float64(queue) >= busyQueue*float64(objective), now)
}

// Refuse records a refused request and returns when its caller is asked to return. chance is a
// random number from 0 up to 1 that determines the time within the slot.
func (s *Schedule) Refuse(refusal Refusal, now time.Time, chance float64) Place {
	s.advance(now)
	rank := min(max(refusal.Rank, 0), Ranks-1)
	s.arrivals.add(refusal.Work)
	s.throughput.refused(now)
	s.refused[rank].add(refusal.Work, now)
	rate, known := s.spare()
	earliest := refusal.Queue + s.throughput.rest(now)
	place := Place{Source: NotInvited, Rate: rate, Earliest: earliest, Bound: refusal.bound(), After: refusal.Remaining}
	switch {
	case !known:
		place.Reason = Unlearned
	case place.Bound < slotLength:
		place.Reason = NoTime
	case refusal.Service > refusal.Objective:
		place.Reason = TooLong
	case rate <= 0 || refusal.Work <= 0:
		place.Reason = NoSpare
	case place.Earliest >= place.Bound:
		place.Reason = QueueTooLong
	default:
		s.assign(&place, rank, refusal.Work, now, chance)
	}
	return place
}

// assign takes the first free slot for a request, if there is one in time.
func (s *Schedule) assign(place *Place, rank int, work float64, now time.Time, chance float64) {
	first, last := s.slotAt(now.Add(place.Earliest))+1, s.slotAt(now.Add(place.Bound))-1
	slot, found := s.find(rank, work, place.Rate, first, last, now)
	if !found {
		place.Reason = Taken
		return
	}
	s.take(slot, rank, work)
	place.Source, place.Slot = Scheduled, slot
	place.After = s.startOf(slot).Add(time.Duration(chance * float64(slotLength))).Sub(now)
}

// bound is the longest wait after which the caller still returns when it was asked to, with
// enough time left for the answer.
func (r Refusal) bound() time.Duration {
	return min(time.Duration(waitShare*float64(r.Remaining)), min(r.Remaining, r.Patience)-r.Service)
}

// spare returns the rate of the places, in tokens per second: what the engines serve for this
// node when they are busy, without what arrives for the first time. It returns false until the
// engines have been busy for a while.
func (s *Schedule) spare() (float64, bool) {
	capacity, known := s.throughput.perSecond()
	if !known {
		return 0, false
	}
	usual, known := s.arrivals.usual()
	if !known {
		usual = capacity
	}
	return max(capacity-usual, 0), true
}

func (s *Schedule) slotAt(at time.Time) int64 { return int64(at.Sub(s.begun) / slotLength) }

func (s *Schedule) startOf(slot int64) time.Time {
	return s.begun.Add(time.Duration(slot) * slotLength)
}

// advance moves the schedule to the slot of now. A clock that goes back changes nothing.
func (s *Schedule) advance(now time.Time) {
	target := s.slotAt(now)
	if target <= s.current {
		return
	}
	rate, _ := s.spare()
	rates := s.rates(rate, now)
	if target-s.current > longestGap*slotsPerSecond {
		maps.DeleteFunc(s.due, func(slot int64, _ *[Ranks]float64) bool { return slot < target })
	} else {
		s.passSlots(target, rates)
	}
	for j := range s.levels {
		s.levels[j] = max(s.levels[j]-rates[j]*float64(target-s.current)*slotLength.Seconds(), 0)
	}
	s.current = target
	s.arrivals.advance(target)
}

// passSlots moves past slots, at most to the given one, while callers are due.
func (s *Schedule) passSlots(target int64, rates [Ranks]float64) {
	for ; s.current < target && len(s.due) > 0; s.current++ {
		due := s.due[s.current]
		delete(s.due, s.current)
		s.arrivals.advance(s.current)
		s.arrivals.expect(total(due))
		for j := range s.levels {
			s.levels[j] = drain(s.levels[j]+sumFrom(due, j), rates[j])
		}
	}
}

func drain(level, rate float64) float64 { return max(level-rate*slotLength.Seconds(), 0) }

// sumFrom returns the work of a slot of ranks j and above.
func sumFrom(due *[Ranks]float64, j int) float64 {
	if due == nil {
		return 0
	}
	sum := 0.0
	for _, work := range due[j:] {
		sum += work
	}
	return sum
}

func total(due *[Ranks]float64) float64 { return sumFrom(due, 0) }

func (s *Schedule) take(slot int64, rank int, work float64) {
	if s.due[slot] == nil {
		s.due[slot] = &[Ranks]float64{}
	}
	s.due[slot][rank] += work
}
