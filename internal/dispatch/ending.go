package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Ending is what is known of the end of a worker's answer.
type Ending string

// The endings of an answer.
const (
	// Complete answers have reached their length or their last chunk, streams outside of an event.
	Complete Ending = "complete"
	// BrokenOff answers are known to lack something, or are unframed and their worker has crashed.
	BrokenOff Ending = "broken off"
	// Unproved answers are unframed, and their connection was closed in order by a worker that
	// isn't known to have crashed.
	Unproved Ending = "unproved"
	// Unfinished answers were not read to an end.
	Unfinished Ending = "unfinished"
)

// probePatience is how long an unframed answer waits to learn whether its worker has crashed. A
// wrong guess makes a part of an answer look like one that may be complete.
const probePatience = 150 * time.Millisecond

var (
	errInsideEvent = eris.New("the stream ended inside an event")
	errCrashed     = eris.New("the worker has crashed at the end of an unframed answer")
	// errUnvouched means that the caller would take an unproved end for a proof, because the
	// head that it was given promises one.
	errUnvouched = eris.New("nothing proves that the rest of the resumed stream is complete")
)

// checkEnd decides what is known of an answer that was read to an end. ended is the error of
// that reading, nil for a proved end, and insideEvent tells that the body is a stream which
// ended there. It returns an error if the answer can't be passed on as one that may be complete.
func (s *session) checkEnd(runner scheduling.Candidate, ended error, insideEvent bool) error {
	switch {
	case ended != nil && !errors.Is(ended, workerconn.ErrUnproved):
		return ended
	case insideEvent:
		return errInsideEvent
	case ended == nil:
		s.ending = Complete
		return nil
	}
	s.endProbe = s.probe(runner)
	if s.endProbe == workerconn.Dead && !s.registry.IsDraining(runner.ID) {
		return errCrashed
	}
	s.ending = Unproved
	if s.vouches {
		return errUnvouched
	}
	return nil
}

// probe tells whether the worker of an unframed answer still lives at its end.
func (s *session) probe(runner scheduling.Candidate) workerconn.Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), probePatience)
	defer cancel()
	return s.pool.Probe(ctx, runner.ID, runner.Address, s.connectionLimit(s.call))
}

// provesWorkerAlive reports whether the worker of an answer lived after its end.
func (s *session) provesWorkerAlive() bool {
	return s.ending == Complete || s.endProbe == workerconn.Alive
}

// countEnding counts the end of an answer.
func (s *session) countEnding() {
	s.metrics.Endings.WithLabelValues(string(s.framing), string(s.ending)).Inc()
}
