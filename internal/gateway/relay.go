package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// sink receives the accepted events of a stream, each including the blank line that ends it.
type sink interface {
	// events receives one or more complete events.
	events(chunk []byte) error
	// restart discards the events received so far, so that another attempt may follow. It
	// returns false if a caller may have seen any of them.
	restart() bool
}

// errSink is an error of the sink, which means that the caller has left.
type errSink struct{ cause error }

func (e errSink) Error() string { return "the caller does not read any more: " + e.cause.Error() }

const (
	readBufferBytes = 4 << 10
	maxEventBytes   = 1 << 20
	// resumePause is the pause before a broken stream is first resumed. It doubles up to
	// maxResumePause.
	resumePause    = 20 * time.Millisecond
	maxResumePause = 500 * time.Millisecond
	// resumeFor is how long an engine may be unreachable before the attempt is given up.
	resumeFor = 5 * time.Second
)

// relay copies the stream of one attempt into a sink. When the connection breaks, it resumes
// the stream on another.
type relay struct {
	client  *engine.Client
	ticket  engine.Ticket
	reader  *engine.StreamReader
	target  sink
	metrics *Metrics
	// first is called when the first event has been accepted. It may be nil.
	first func()

	buffer   []byte
	pending  []byte
	accepted []byte
}

func newRelay(client *engine.Client, ticket engine.Ticket, target sink, metrics *Metrics, first func()) *relay {
	return &relay{
		client: client, ticket: ticket, target: target, metrics: metrics, first: first,
		reader: engine.NewStreamReader(ticket.Attempt, 1),
		buffer: make([]byte, readBufferBytes),
	}
}

// run copies until the stream is complete. stream is the open connection, or nil if the stream
// has to be resumed first. If the stream ends in another way, run returns the reason.
func (r *relay) run(ctx context.Context, stream io.ReadCloser) error {
	var unreachableSince time.Time
	pause := resumePause
	for {
		if stream != nil {
			before := r.reader.Next()
			err := r.copy(stream)
			_ = stream.Close()
			if r.reader.Complete() {
				return nil
			}
			if err != nil {
				return err
			}
			if r.reader.Next() > before {
				pause, unreachableSince = resumePause, time.Time{}
			}
		}
		if unreachableSince.IsZero() {
			unreachableSince = time.Now()
		}
		if err := sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return err
		}
		pause = min(2*pause, maxResumePause)
		var err error
		stream, err = r.client.Resume(ctx, r.ticket.Address, r.ticket.Incarnation, r.ticket.Attempt, r.reader.Next())
		r.metrics.Resumes.Inc()
		if err != nil {
			stream = nil
			if streamIsGone(err) || time.Since(unreachableSince) > resumeFor {
				return err
			}
		}
	}
}

// streamIsGone reports whether the engine said that the stream no longer exists there, so that
// it can't be resumed.
func streamIsGone(err error) bool {
	switch result.CodeOf(err) {
	case result.StreamUnknown, result.IncarnationMismatch, result.InvalidRequest:
		return true
	}
	return false
}

func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return result.New(result.CallerGone, "the exchange ended: %v", context.Cause(ctx))
	case <-time.After(pause):
		return nil
	}
}

// copy reads one connection until it ends. It returns an error only if resuming the stream
// would not help.
func (r *relay) copy(stream io.Reader) error {
	r.pending = r.pending[:0]
	for {
		count, readErr := stream.Read(r.buffer)
		if count > 0 {
			if err := r.consume(r.buffer[:count]); err != nil {
				return err
			}
		}
		if readErr != nil || r.reader.Complete() {
			return nil
		}
		if len(r.pending) > maxEventBytes {
			return result.New(result.Internal, "engine %s sent an event longer than %d bytes", r.ticket.Engine, maxEventBytes)
		}
	}
}

var eventEnd = []byte("\n\n")

// consume splits received data into events and passes the accepted ones to the sink.
func (r *relay) consume(chunk []byte) error {
	if len(r.pending) > 0 {
		r.pending = append(r.pending, chunk...)
		chunk = r.pending
	}
	r.accepted = r.accepted[:0]
	for {
		event, rest, whole := bytes.Cut(chunk, eventEnd)
		if !whole {
			break
		}
		gap, err := r.classify(event)
		if err != nil {
			return err
		}
		if gap {
			chunk = nil
			break // the rest of this connection is out of order: resume
		}
		chunk = rest
	}
	r.pending = append(r.pending[:0], chunk...)
	if len(r.accepted) == 0 {
		return nil
	}
	if r.first != nil {
		r.first()
		r.first = nil
	}
	if err := r.target.events(r.accepted); err != nil {
		return errSink{err}
	}
	return nil
}

// classify accepts an event or drops it. It returns true if events before it are missing.
func (r *relay) classify(event []byte) (gap bool, err error) {
	disposition, err := r.reader.Classify(event)
	if err != nil {
		return false, err
	}
	switch disposition {
	case engine.EventAccepted:
		r.accepted = append(r.accepted, event...)
		r.accepted = append(r.accepted, eventEnd...)
	case engine.EventForeign:
		r.metrics.DroppedForeign.Inc()
	case engine.EventRepeated:
		r.metrics.DroppedRepeated.Inc()
	case engine.EventGap:
		return true, nil
	}
	return false, nil
}
