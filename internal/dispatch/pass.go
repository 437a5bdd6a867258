package dispatch

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/workerconn"
)

const (
	// pieceBytes is how much of an answer is read at once.
	pieceBytes = 16 << 10
	// bufferedBytes is the largest answer that is read completely before its head is passed on,
	// so that the call can be sent elsewhere if the answer breaks off.
	bufferedBytes = 64 << 10
)

// errCallerWrite means that writing to the caller failed because it has left.
type errCallerWrite struct{ cause error }

func (e errCallerWrite) Error() string { return "the caller left: " + e.cause.Error() }

// pass passes a worker's answer on to the caller.
func (s *session) pass(runner scheduling.Candidate, answer *workerconn.Answer, load *work) tryResult {
	s.framing, s.partialEvent = answer.Framing, 0
	failed := answer.Status >= http.StatusInternalServerError
	if failed {
		s.registry.Errored(runner.ID, time.Now())
		s.recordSurvival(load)
		s.failed[runner.ID] = true
		if s.headGiven || s.call.Route.Repeatable() && s.mayRepeat() {
			s.mayHaveRunBefore = true
			return tryResult{verdict: mayHaveRun, worker: runner.ID, err: errFailed, counted: true}
		}
	}
	var err error
	if s.call.Route.Streams() && !failed {
		err = s.passStream(answer, load)
	} else {
		err = s.passWhole(answer, load)
	}
	return s.passed(answer, failed, load, err)
}

// mayRepeat reports whether attempts and time are left for another try.
func (s *session) mayRepeat() bool {
	return s.attempts < s.call.Route.MaxAttempts && s.remaining() > 0
}

func (s *session) passed(answer *workerconn.Answer, failed bool, load *work, err error) tryResult {
	runner := load.runner
	var left errCallerWrite
	switch {
	case err == nil:
		if !failed {
			s.registry.Succeeded(runner.ID, time.Now())
			s.recordSurvival(load)
		}
		return finishedWith(runner, answer.Status)
	case errors.As(err, &left):
		return tryResult{verdict: finished, code: result.CallerGone, worker: runner.ID, err: err}
	}
	s.mayHaveRunBefore = true
	s.excluded[runner.ID] = true
	state := s.recordFailure(runner, err)
	return tryResult{verdict: mayHaveRun, worker: runner.ID, err: err, counted: true, workerState: state}
}

// passWhole reads a short answer completely before passing it on. It passes a long one on as it
// arrives.
func (s *session) passWhole(answer *workerconn.Answer, load *work) error {
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBytes))
	if err != nil {
		return err
	}
	load.firstByte()
	if len(buffered) < bufferedBytes {
		s.giveHead(answer, int64(len(buffered)))
		return s.give(buffered)
	}
	s.giveHead(answer, answer.Length)
	if err := s.give(buffered); err != nil {
		return err
	}
	return s.copyPieces(answer, load, s.give)
}

// passStream passes events on as they arrive. The head is delayed until the first event, so
// that a stream that breaks off before that event can be restarted at another worker.
func (s *session) passStream(answer *workerconn.Answer, load *work) error {
	give := func(piece []byte) error {
		s.giveHead(answer, answer.Length)
		return s.give(piece)
	}
	if s.call.Route.Resumable {
		events := &eventCutter{}
		give = func(piece []byte) error {
			whole := events.add(piece)
			if len(whole) == 0 {
				return nil
			}
			s.giveHead(answer, -1)
			if err := s.give(whole); err != nil {
				return err
			}
			s.resumeAfter = events.lastID(s.resumeAfter)
			return nil
		}
		err := s.copyPieces(answer, load, give)
		s.partialEvent = len(events.rest())
		if err != nil {
			return err
		}
		s.giveHead(answer, -1)
		return s.give(events.rest())
	}
	if err := s.copyPieces(answer, load, give); err != nil {
		return err
	}
	s.giveHead(answer, answer.Length)
	return nil
}

func (s *session) copyPieces(answer *workerconn.Answer, load *work, give func([]byte) error) error {
	buffer := make([]byte, pieceBytes)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			load.firstByte()
			if giveErr := give(buffer[:count]); giveErr != nil {
				return giveErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// giveHead sends the head of the first answer. A stream that is resumed at another worker keeps
// that head.
func (s *session) giveHead(answer *workerconn.Answer, length int64) {
	if s.headGiven {
		return
	}
	s.headGiven = true
	s.first = time.Since(s.call.Arrived)
	s.caller.Head(answer.Status, s.wire.AnswerHeader(answer.Header), length)
}

func (s *session) give(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := s.caller.Write(piece); err != nil {
		return errCallerWrite{err}
	}
	now := time.Since(s.call.Arrived)
	if s.pieces > 0 {
		s.gap = max(s.gap, now-s.last)
	}
	s.pieces++
	s.last = now
	return nil
}
