package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/returns"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// countServed counts the call's prompt, once, as one that engines prefill for this node.
func (s *session) countServed(plan scheduling.Plan) {
	served := plan.Mode == scheduling.Whole || plan.Mode == scheduling.Apart
	if !served || s.countedAsServed || !s.overload.SpreadRetries(s.call.Service.Name) {
		return
	}
	s.countedAsServed = true
	s.withSchedule(func(schedule *returns.Schedule, now time.Time) {
		schedule.Served(float64(plan.Unread), plan.Queue(), s.call.Route.Objective, now)
	})
}

// retryAfter returns the time after which the caller of a refused call should return. Callers
// that were refused because their answers would be late get a place in the service's schedule,
// if it has one.
func (s *session) retryAfter(plan scheduling.Plan) time.Duration {
	late := plan.Reason == scheduling.TooLate || plan.Reason == scheduling.NoRoom
	if !late || !s.overload.SpreadRetries(s.call.Service.Name) {
		return plan.RetryAfter
	}
	refusal := returns.Refusal{
		Rank: s.call.rank(), Work: float64(plan.Unread), Queue: plan.Queue(), Service: max(plan.First-plan.Queue(), 0),
		Objective: s.call.Route.Objective, Remaining: s.remaining(), Patience: s.call.patience(time.Now(), s.last),
	}
	var place returns.Place
	s.withSchedule(func(schedule *returns.Schedule, now time.Time) {
		place = schedule.Refuse(refusal, now, rand.Float64())
	})
	s.recordPlace(refusal, place)
	return place.After
}

// withSchedule calls use with the schedule of the call's service.
func (s *session) withSchedule(use func(schedule *returns.Schedule, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	schedule, known := s.schedules[s.call.Service.Name]
	if !known {
		schedule = returns.New(now)
		s.schedules[s.call.Service.Name] = schedule
	}
	use(schedule, now)
}

// recordPlace counts and logs what a refused caller is told. In the log, slot counts the slots
// of this node's schedule, and rate is that of its places in tokens per second.
func (s *session) recordPlace(refusal returns.Refusal, place returns.Place) {
	s.metrics.place(place)
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "service": s.call.Service.Name, "source": place.Source, "reason": place.Reason,
		"retry_after_ms": place.After.Milliseconds(), "slot": place.Slot, "rate": int(place.Rate), "rank": refusal.Rank,
		"tokens": int(refusal.Work), "queue_ms": refusal.Queue.Milliseconds(), "service_ms": refusal.Service.Milliseconds(),
		"earliest_ms": place.Earliest.Milliseconds(), "bound_ms": place.Bound.Milliseconds(),
		"remaining_ms": refusal.Remaining.Milliseconds(), "patience_ms": refusal.Patience.Milliseconds(),
	}).Info("refused caller asked to return")
}

func (m *Metrics) place(place returns.Place) {
	if place.Source == returns.NotInvited {
		m.Returns.WithLabelValues("not_invited").Inc()
		return
	}
	m.Returns.WithLabelValues("scheduled").Inc()
	m.ReturnDelay.Observe(place.After.Seconds())
}
