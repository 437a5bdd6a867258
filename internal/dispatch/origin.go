package dispatch

import (
	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// errOtherSoftware means that a worker must not go on with a stream because workers with another
// software version have begun it.
var errOtherSoftware = eris.New("the worker's software version isn't the one that began the stream")

// mayContinueAt reports whether workers with a software version may run the call.
func (s *session) mayContinueAt(software string) bool {
	return scheduling.Request{Bound: s.bound, Software: s.software}.MayContinueAt(software)
}

// mayRunAt reports whether a worker may run the call.
func (s *session) mayRunAt(w worker.Worker) bool {
	return !s.excluded[w.ID] && s.mayContinueAt(w.Software)
}

// softwareRefusal returns why a worker must not get the call for its software version, nil if it
// may. The worker's entry may have changed since the call was planned.
func (s *session) softwareRefusal(runner scheduling.Candidate) error {
	if !s.mayContinueAt(runner.Software) {
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
