package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errStopping is the cause of a context that the end of the node's planned stop has ended, and of a
// request that isn't sent for it.
var errStopping = eris.New("the node stops, and the time that is left may not be enough for an answer")

const (
	// answerTimeWindow is how long an answer counts at least among the slowest of its route.
	answerTimeWindow = 15 * time.Second
	// stopSlack and stopFactor are the time that an answer must have beyond that of the slowest one.
	stopSlack  = 250 * time.Millisecond
	stopFactor = 1.5
)

// stop bounds calls by the end of the node's planned stop. It is safe for concurrent use.
type stop struct {
	// over ends when calls under way are given up.
	over   context.Context
	giveUp context.CancelCauseFunc

	mu sync.Mutex
	// end is when they are, zero as long as the node isn't about to close.
	end time.Time
}

func newStop() *stop {
	s := &stop{}
	s.over, s.giveUp = context.WithCancelCause(context.Background())
	return s
}

// endBy returns when calls are given up, false as long as the node isn't about to close.
func (s *stop) endBy() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, !s.end.IsZero()
}

// EndBy makes calls end by a time: those that may not be answered by then are refused before they are
// sent to a worker, and those under way then are given up, so that their callers get an answer.
func (d *Dispatcher) EndBy(end time.Time) {
	d.stop.mu.Lock()
	d.stop.end = end
	d.stop.mu.Unlock()
	time.AfterFunc(time.Until(end), func() { d.stop.giveUp(errStopping) })
}

// withStop returns a context that ends when the node's calls have to end.
func (d *Dispatcher) withStop(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(d.stop.over, func() { cancel(errStopping) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// endedHere reports whether an error means that this node has ended the call: for its deadline, or
// since the node stops.
func endedHere(err error) bool { return deadlinePassed(err) || nodeStopped(err) }

func nodeStopped(err error) bool { return errors.Is(err, errStopping) }

// stopRefusal returns why the call must not be sent, nil if it may be: its answer must be complete
// before the node closes. What ends by its own deadline before that is never cut off. A stream that has
// begun can't be refused any more, so it isn't begun on an estimate.
func (s *session) stopRefusal() error {
	end, closing := s.stop.endBy()
	if !closing || s.headGiven || !s.call.Deadline.After(end) {
		return nil
	}
	slowest, known := s.answerTimes.slowest(s.call.Route.Name, time.Now())
	needed := time.Duration(stopFactor*float64(slowest)) + stopSlack
	if s.call.Route.Streams() || !known || time.Until(end) < needed {
		return errStopping
	}
	return nil
}

// answerTimes holds the longest times that answers took lately, by route. It is safe for concurrent use.
type answerTimes struct {
	mu sync.Mutex
	// since is when current began; before is the window that ended then.
	since           time.Time
	current, before map[string]time.Duration
}

// observe records how long an answer took, or for how long none came.
func (a *answerTimes) observe(route string, took time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
	if a.current == nil {
		a.current = make(map[string]time.Duration)
	}
	a.current[route] = max(a.current[route], took)
}

// slowest returns the longest time of a route lately, false if none is known.
func (a *answerTimes) slowest(route string, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
	current, isCurrent := a.current[route]
	before, wasBefore := a.before[route]
	return max(current, before), isCurrent || wasBefore
}

// turn begins the next window when it is due. mu must be held.
func (a *answerTimes) turn(now time.Time) {
	switch age := now.Sub(a.since); {
	case age >= 2*answerTimeWindow:
		a.since, a.current, a.before = now, nil, nil
	case age >= answerTimeWindow:
		a.since, a.current, a.before = now, nil, a.current
	}
}
