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
	s.framing, s.ending, s.endProbe = answer.Framing, Unfinished, ""
	s.answering = runner
	defer s.countEnding()
	failed := answer.Status >= http.StatusInternalServerError
	if failed {
		s.registry.Errored(runner.ID, time.Now())
		s.recordSurvival(load, answer.Status)
		s.failed[runner.ID] = true
	}
	if s.headGiven && !isSuccess(answer.Status) || failed && s.call.Route.Repeatable() && s.mayRepeat() {
		s.mayHaveRunBefore, s.failed[runner.ID] = true, true
		return tryResult{verdict: mayHaveRun, worker: runner.ID, err: errFailed, counted: true}
	}
	var err error
	if s.call.Route.Streams() && isSuccess(answer.Status) {
		err = s.passStream(answer, load)
	} else {
		err = s.passWhole(answer, load)
	}
	return s.passed(answer, failed, load, err)
}

// isSuccess reports whether a status is one of those under which a route that streams answers
// with events.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
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
		if !failed && s.provesWorkerAlive() {
			s.registry.Succeeded(runner.ID, time.Now())
			s.recordSurvival(load, answer.Status)
		}
		return finishedWith(runner, answer.Status)
	case errors.Is(err, errUnvouched):
		s.mayHaveRunBefore, s.excluded[runner.ID] = true, true
		return tryResult{verdict: mayHaveRun, worker: runner.ID, err: err, counted: true}
	case errors.As(err, &left):
		return tryResult{verdict: finished, code: result.CallerGone, worker: runner.ID, err: err}
	}
	s.mayHaveRunBefore = true
	if !callerLeft(err) && !endedHere(err) {
		s.ending = BrokenOff
	}
	s.excluded[runner.ID] = true
	state := s.recordFailure(runner, err)
	return tryResult{verdict: mayHaveRun, worker: runner.ID, err: err, counted: true, workerState: state}
}

// passWhole reads a short answer completely before passing it on. It passes a long one on as it
// arrives.
func (s *session) passWhole(answer *workerconn.Answer, load *work) error {
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBytes))
	if err != nil && !errors.Is(err, workerconn.ErrUnproved) {
		return err
	}
	load.firstByte()
	if err != nil || len(buffered) < bufferedBytes {
		if err := s.checkEnd(load.runner, err, false); err != nil {
			return err
		}
		s.giveHead(answer, wholeLength(answer, len(buffered)))
		return s.give(buffered)
	}
	s.giveHead(answer, lengthOf(answer))
	if err := s.give(buffered); err != nil {
		return err
	}
	return s.checkEnd(load.runner, s.copyPieces(answer, load, s.give), false)
}

// wholeLength is the length of an answer of which all bytes have come.
func wholeLength(answer *workerconn.Answer, length int) Length {
	if answer.Framing == workerconn.FramedByLength || answer.Framing == workerconn.FramedByChunks {
		return Length(length)
	}
	return lengthOf(answer)
}

// lengthOf is the length of an answer that is passed on as it arrives, or that has no body and
// states the length which one would have.
func lengthOf(answer *workerconn.Answer) Length {
	if answer.Framing == workerconn.Unframed {
		return UntilClose
	}
	return Length(answer.Length)
}

// passStream passes events on as they arrive. The head is delayed until the first event, so
// that a stream that breaks off before that event can be restarted at another worker.
func (s *session) passStream(answer *workerconn.Answer, load *work) error {
	if s.call.Route.Resumable {
		return s.passEvents(answer, load)
	}
	var scanner eventScanner
	err := s.copyPieces(answer, load, func(piece []byte) error {
		scanner.scan(piece)
		s.giveHead(answer, streamLength(answer))
		return s.give(piece)
	})
	if err := s.checkEnd(load.runner, err, scanner.insideEvent()); err != nil {
		return err
	}
	s.giveHead(answer, streamLength(answer))
	return nil
}

// streamLength is the length of a stream. A stream of known length may still end inside an event,
// or go on at another worker.
func streamLength(answer *workerconn.Answer) Length {
	if answer.Framing == workerconn.Unframed {
		return UntilClose
	}
	return LengthUnknown
}

// passEvents passes on whole events only, so that the stream can be resumed after the last one.
func (s *session) passEvents(answer *workerconn.Answer, load *work) error {
	events := &eventCutter{}
	err := s.copyPieces(answer, load, func(piece []byte) error {
		whole, err := events.add(piece)
		if err != nil || len(whole) == 0 {
			return err
		}
		s.giveHead(answer, streamLength(answer))
		if err := s.give(whole); err != nil {
			return err
		}
		s.resumeAfter = events.lastID(s.resumeAfter)
		return nil
	})
	if err := s.checkEnd(load.runner, err, events.scanner.insideEvent()); err != nil {
		return err
	}
	s.giveHead(answer, streamLength(answer))
	return s.give(events.rest())
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
func (s *session) giveHead(answer *workerconn.Answer, length Length) {
	if s.headGiven {
		return
	}
	s.beginStream()
	s.headGiven, s.vouches = true, length != UntilClose
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
	s.software = s.answering.Software
	return nil
}
