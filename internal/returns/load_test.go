package returns

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// load is a fluid model of engines under a load: callers arrive by chance, are refused if the
// queue is too long, and return once.
type load struct {
	capacity, usual, burst float64 // requests per second
	burstEnd               time.Duration
	// lostAt is when half of the capacity is lost, zero for never.
	lostAt time.Duration
	nodes  int
}

const (
	objective   = time.Second
	serviceTime = 200 * time.Millisecond
)

// caller is one request; its remaining time counts from at.
type caller struct {
	at, remaining time.Duration
	rank, node    int
	returned      bool
}

// result is what became of the callers: how many were refused when they returned, and when the
// last of them was.
type result struct {
	again       int
	lastRefusal time.Duration
	// places counts the places that were given, by rank.
	places [Ranks]int
}

// answer decides when a refused caller is asked to return.
type answer func(node int, refusal Refusal, now time.Time, chance float64) Place

// play runs a load of 20 s. served may be nil.
func (l load) play(seed uint64, served func(node int, queue time.Duration, now time.Time), refuse answer) result {
	chance := rand.New(rand.NewPCG(seed, 1))
	var callers []caller
	for at := 0.0; at < 20; {
		rate := l.usual
		if at >= 5 && at < 5+l.burstEnd.Seconds() {
			rate = l.burst
		}
		at += chance.ExpFloat64() / rate
		remaining := 4*time.Second + time.Duration(chance.Float64()*4*float64(time.Second))
		callers = append(callers, caller{at: seconds(at), remaining: remaining, rank: 2 * chance.IntN(2), node: chance.IntN(l.nodes)})
	}
	var outcome result
	queue, last := 0.0, time.Duration(0)
	for len(callers) > 0 {
		next := callers[0]
		callers = callers[1:]
		capacity := l.capacity
		if l.lostAt > 0 && next.at >= l.lostAt {
			capacity /= 2
		}
		queue = max(queue-(next.at-last).Seconds()*capacity, 0)
		last = next.at
		wait := seconds(queue / capacity)
		now := start.Add(next.at)
		if wait+serviceTime <= objective {
			queue++
			if served != nil {
				served(next.node, wait, now)
			}
			continue
		}
		if next.returned {
			outcome.again, outcome.lastRefusal = outcome.again+1, next.at
		}
		place := refuse(next.node, Refusal{
			Rank: next.rank, Work: 1, Queue: wait, Service: serviceTime, Objective: objective, Remaining: next.remaining, Patience: next.remaining,
		}, now, chance.Float64())
		if next.returned {
			continue
		}
		after := min(place.After, next.remaining/3)
		if place.Source == Scheduled {
			outcome.places[next.rank]++
		}
		next.at, next.remaining, next.returned, next.node = next.at+after, next.remaining-after, true, chance.IntN(l.nodes)
		index, _ := slices.BinarySearchFunc(callers, next.at, func(c caller, at time.Duration) int { return cmp.Compare(c.at, at) })
		callers = slices.Insert(callers, index, next)
	}
	return outcome
}

var start = time.Unix(1000, 0)

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// byQueue is the Retry-After without a schedule.
func byQueue(_ int, refusal Refusal, _ time.Time, _ float64) Place {
	return Place{After: refusal.Queue + refusal.Service - objective/2}
}

// scheduled plays a load with a schedule at each node.
func (l load) scheduled(seed uint64) result {
	schedules := make([]*Schedule, l.nodes)
	for i := range schedules {
		schedules[i] = New(start)
	}
	return l.play(seed, func(node int, queue time.Duration, now time.Time) { schedules[node].Served(1, queue, objective, now) },
		func(node int, refusal Refusal, now time.Time, chance float64) Place {
			return schedules[node].Refuse(refusal, now, chance)
		})
}

func fixed(delay time.Duration) answer {
	return func(int, Refusal, time.Time, float64) Place { return Place{After: delay} }
}

// bursts are loads that offer 1.7 times the capacity for 3 s.
var bursts = []load{
	{capacity: 40, usual: 30, burst: 68, burstEnd: 3 * time.Second, nodes: 4},
	{capacity: 40, usual: 20, burst: 68, burstEnd: 3 * time.Second, nodes: 1},
	{capacity: 200, usual: 100, burst: 340, burstEnd: 3 * time.Second, nodes: 16},
	{capacity: 200, usual: 150, burst: 340, burstEnd: 3 * time.Second, nodes: 63},
}

const seeds = 5

// TestFewerCallersAreRefusedAgain compares the schedule with what the queue alone would tell
// callers, and with one fixed delay.
func TestFewerCallersAreRefusedAgain(t *testing.T) {
	for _, burst := range bursts {
		var bySchedule, queue, delayed int
		var wave, queueWave time.Duration
		for seed := range uint64(seeds) {
			scheduled, plain := burst.scheduled(seed), burst.play(seed, nil, byQueue)
			bySchedule, queue = bySchedule+scheduled.again, queue+plain.again
			delayed += burst.play(seed, nil, fixed(time.Second)).again
			wave, queueWave = wave+scheduled.lastRefusal/seeds, queueWave+plain.lastRefusal/seeds
		}
		t.Logf("%+v: refused again %d, by the queue %d, after 1 s %d; last at %v, by the queue %v", burst, bySchedule, queue, delayed, wave, queueWave)
		if 3*bySchedule > 2*queue || 3*bySchedule > 2*delayed {
			t.Errorf("%+v: %d callers refused again, %d by the queue alone, %d after a fixed delay", burst, bySchedule, queue, delayed)
		}
	}
}

// TestLostCapacityIsLearned checks that fewer callers are refused again also if half of the
// engines are lost during the burst.
func TestLostCapacityIsLearned(t *testing.T) {
	for _, burst := range bursts {
		burst.lostAt = 6 * time.Second
		scheduled, queue := 0, 0
		for seed := range uint64(seeds) {
			scheduled += burst.scheduled(seed).again
			queue += burst.play(seed, nil, byQueue).again
		}
		t.Logf("%+v: refused again %d, by the queue %d", burst, scheduled, queue)
		if scheduled > queue {
			t.Errorf("%+v: %d callers refused again, %d by the queue alone", burst, scheduled, queue)
		}
	}
}

// TestUrgentCallersGetMorePlaces checks that where places are scarce, of two ranks that are
// refused alike, the more urgent one gets most of them.
func TestUrgentCallersGetMorePlaces(t *testing.T) {
	for _, burst := range []load{bursts[0], bursts[3]} {
		urgent, others := 0, 0
		for seed := range uint64(seeds) {
			outcome := burst.scheduled(seed)
			urgent, others = urgent+outcome.places[0], others+outcome.places[2]
		}
		t.Logf("%+v: %d places of rank 0, %d of rank 2", burst, urgent, others)
		if urgent <= others {
			t.Errorf("%+v: %d places of rank 0, %d of rank 2", burst, urgent, others)
		}
	}
}
