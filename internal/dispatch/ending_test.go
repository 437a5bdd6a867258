package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// recorder is a caller that keeps what it is told.
type recorder struct {
	length Length
	body   strings.Builder
}

func (r *recorder) Head(_ int, _ http.Header, length Length) { r.length = length }

func (r *recorder) Write(piece []byte) error {
	r.body.Write(piece)
	return nil
}

// serveOnce answers the first request of each connection with a text, and closes the connection
// in order.
func serveOnce(t *testing.T) (address string, answer *atomic.Pointer[string]) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answer = &atomic.Pointer[string]{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, *answer.Load())
				}
			}()
		}
	}()
	return listener.Addr().String(), answer
}

// framed returns a body as an HTTP answer with a framing, of which only so many bytes are sent.
func framed(framing workerconn.Framing, body string, sent int) string {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	switch framing {
	case workerconn.FramedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:sent])
	case workerconn.FramedByChunks:
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		if sent > 0 {
			text += fmt.Sprintf("%x\r\n%s\r\n", sent, body[:sent])
		}
		if sent == len(body) {
			text += "0\r\n\r\n"
		}
		return text
	}
	return head + "\r\n" + body[:sent]
}

// eventStream returns an event stream and the sizes of its parts that end outside of an event.
func eventStream(t *rapid.T) (stream string, ends map[int]bool) {
	ends = map[int]bool{0: true}
	if rapid.Bool().Draw(t, "byte order mark") {
		stream = byteOrderMark
		for size := range len(stream) + 1 {
			ends[size] = true
		}
	}
	newline := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
	endsHere := func() {
		ends[len(stream)] = true
		ends[len(stream)-len(newline)+1] = true // a CR has ended the line before its LF
	}
	for number := 1; number <= rapid.IntRange(1, 4).Draw(t, "events"); number++ {
		if rapid.Bool().Draw(t, "comment") {
			stream += ": note" + newline
			endsHere()
		}
		stream += fmt.Sprintf("id: %d%sdata: x%s%s", number, newline, newline, newline)
		endsHere()
	}
	return stream, ends
}

// quietDispatcher returns a dispatcher without other nodes that logs nothing.
func quietDispatcher() *Dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Registry: worker.NewRegistry(topology.Map{}), Pool: workerconn.NewPool(), Wire: refusingWire{}, Log: log,
		Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 },
	})
}

// TestNoPartOfAnAnswerIsToldAsComplete: some cut, framing or line end makes a part pass for the whole.
func TestNoPartOfAnAnswerIsToldAsComplete(t *testing.T) {
	address, answer := serveOnce(t)
	dispatcher := quietDispatcher()
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]routing.Route{
			{Kind: routing.Idempotent}, {Kind: routing.NonIdempotent}, {Kind: routing.Streaming}, {Kind: routing.Streaming, Resumable: true},
		}).Draw(t, "route")
		framing := rapid.SampledFrom([]workerconn.Framing{workerconn.FramedByLength, workerconn.FramedByChunks, workerconn.Unframed}).Draw(t, "framing")
		body, ends := eventStream(t)
		sent := rapid.IntRange(0, len(body)).Draw(t, "sent")
		text := framed(framing, body, sent)
		answer.Store(&text)

		caller := &recorder{}
		call := &Call{
			ID: "1", Method: http.MethodPost, Target: "/", Host: "host", Route: &kind,
			Service: &routing.Service{Name: "s"}, Deadline: time.Now().Add(20 * time.Second),
		}
		s := &session{Dispatcher: dispatcher, call: call, caller: caller, excluded: map[string]bool{}, failed: map[string]bool{}}
		end := s.run(context.Background(), scheduling.Candidate{ID: "w", Address: address}, promptOrigin{})

		whole := sent == len(body)
		mayBeWhole := whole || framing == workerconn.Unframed && (!kind.Streams() || ends[sent])
		got := caller.body.String()
		switch {
		case (end.verdict == finished) != mayBeWhole:
			t.Fatalf("%d of %d bytes: the try is %q, %v", sent, len(body), end.verdict, end.err)
		case !strings.HasPrefix(body, got):
			t.Fatalf("the caller got %q of %q", got, body)
		case end.verdict == finished && got != body[:sent]:
			t.Fatalf("the caller got %q of the %d bytes that were sent", got, sent)
		case end.verdict == finished && (caller.length == UntilClose) != (framing == workerconn.Unframed):
			t.Fatalf("the caller was told the length %d", caller.length)
		case kind.Resumable && end.verdict != finished && !ends[len(got)]:
			t.Fatalf("the caller got a part of an event: %q", got)
		}
	})
}

// TestRefusedResumptionIsNotPassedOn: the body of a worker's error becomes a part of the stream that it was to continue.
func TestRefusedResumptionIsNotPassedOn(t *testing.T) {
	address, answer := serveOnce(t)
	text := "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 4\r\n\r\nnone"
	answer.Store(&text)
	caller := &recorder{}
	call := &Call{
		ID: "1", Method: http.MethodPost, Target: "/", Host: "host", Route: &routing.Route{Kind: routing.Streaming, Resumable: true},
		Service: &routing.Service{Name: "s"}, Deadline: time.Now().Add(20 * time.Second),
	}
	s := &session{
		Dispatcher: quietDispatcher(), call: call, caller: caller, excluded: map[string]bool{}, failed: map[string]bool{},
		headGiven: true, vouches: true, resumeAfter: "1",
	}
	end := s.run(context.Background(), scheduling.Candidate{ID: "w", Address: address}, promptOrigin{})
	if end.verdict == finished || caller.body.String() != "" {
		t.Errorf("the try is %q and the caller got %q", end.verdict, caller.body.String())
	}
}
