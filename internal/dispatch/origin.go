package dispatch

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// errOtherSoftware means that a worker must not go on with a stream because workers with another
// software version have begun it, or must not begin one.
var errOtherSoftware = eris.New("the worker's software version isn't one that may begin, or go on with, the stream")

// Beginnings are where the streams of a route may begin at a service.
type Beginnings struct {
	// Anywhere tells that they may begin at each worker. Otherwise these need one of the software
	// versions Versions.
	Anywhere bool
	Versions []string
}

const (
	// recordPoll is the time between two plans of a call that waits until its stream may begin
	// somewhere, and maxRecordWait bounds that wait.
	recordPoll    = 50 * time.Millisecond
	maxRecordWait = time.Second
)

// confine returns a request that is bound to where its stream began or may begin.
func (s *session) confine(request scheduling.Request) scheduling.Request {
	request.Bound, request.Software = s.bound, s.software
	if !s.bound {
		beginnings := s.mayBegin(s.call.Route, s.call.Service.Name)
		request.Confined, request.Versions = !beginnings.Anywhere, beginnings.Versions
	}
	return request
}

// holdUntilRecorded turns a refusal for lack of workers into a short wait if there are some at which the
// stream may begin soon: each version and route is recorded as soon as it is known.
func (s *session) holdUntilRecorded(plan scheduling.Plan, request scheduling.Request) scheduling.Plan {
	if plan.Mode != scheduling.Refused || plan.Reason != scheduling.NoWorker || !request.Confined || !s.registry.ServesOther(s.call.Service.Name, request.Versions) {
		return plan
	}
	plan.Reason, plan.RetryAfter = scheduling.Unrecorded, recordPoll
	if time.Since(s.call.Arrived) < min(maxRecordWait, s.maxStay()) {
		plan.Mode = scheduling.Held
	}
	return plan
}

// runnable returns a function that reports whether a worker may run the call.
func (s *session) runnable() func(w worker.Worker) bool {
	confined := s.confine(scheduling.Request{})
	return func(w worker.Worker) bool { return !s.excluded[w.ID] && confined.MayRunAt(w.Software) }
}

// softwareRefusal returns why a worker must not get the call for its software version, nil if it
// may. The worker's entry may have changed since the call was planned.
func (s *session) softwareRefusal(runner scheduling.Candidate) error {
	if !s.confine(scheduling.Request{}).MayRunAt(runner.Software) {
		return errOtherSoftware
	}
	return nil
}

// beginStream binds the call to the software version of the worker whose first event the caller is
// about to get, and lets the other nodes know of the stream.
func (s *session) beginStream() {
	if !s.call.Route.Streams() || !s.call.Route.Resumable {
		return
	}
	s.bound, s.software = true, s.answering.Software
	s.streamBegun(worker.Stream{
		Worker: s.answering.ID, Key: s.call.StreamKey(),
		Origin: resumption.Origin{Service: s.call.Service.Name, Software: s.software},
	})
}

// isVersionGone reports whether the call continues a stream and no worker that may run it is left.
func (s *session) isVersionGone() bool {
	return s.bound && !s.registry.Serves(s.call.Service.Name, s.software)
}
