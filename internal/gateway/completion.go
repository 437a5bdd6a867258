package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

// serveCompletion serves one request, as a whole answer or as a stream.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, endpoint openai.Endpoint) {
	received := time.Now()
	if s.active.Add(1) > s.settings.MaxActive {
		s.active.Add(-1)
		writeError(w, result.New(result.QueueFull, "the node serves %d requests already; another node may have room", s.settings.MaxActive).
			WithRetryAfter(time.Second), "")
		return
	}
	s.metrics.Active.Inc()
	defer func() {
		s.active.Add(-1)
		s.metrics.Active.Dec()
	}()
	x, err := s.read(w, r, endpoint, received)
	if err != nil {
		s.logRefusal(r, err)
		writeError(w, err, "")
		return
	}
	w.Header().Set(HeaderAttempt, string(x.attempt))
	if x.request.Stream {
		s.serveStream(w, r, x)
		return
	}
	s.serveWhole(w, r, x)
}

func (s *Server) logRefusal(r *http.Request, err error) {
	failure := result.From(err)
	s.log.WithFields(logrus.Fields{"code": int(failure.Code), "path": r.URL.Path, "remote": r.RemoteAddr}).
		Debug("request refused: " + failure.Message)
}

// read authenticates and parses a request, and checks it against the configuration.
func (s *Server) read(w http.ResponseWriter, r *http.Request, endpoint openai.Endpoint, received time.Time) (*exchange, error) {
	snapshot, tenant, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	request, err := openai.Parse(endpoint, body)
	if err != nil {
		return nil, err
	}
	kind, err := snapshot.KindFor(tenant, r.Header.Get(HeaderKind), request.Model)
	if err != nil {
		return nil, err
	}
	x, err := newExchange(snapshot, tenant, kind, endpoint, request, received)
	if err != nil {
		return nil, err
	}
	if end := s.closesAt.Load(); end != nil && x.runLimit().After(*end) {
		return nil, result.New(result.Stopping, "the node is being stopped, and may close before the request is answered; connect again").WithRetryAfter(stoppingRetryAfter)
	}
	if key := r.Header.Get(HeaderKey); key != "" && !kind.Repeatable {
		if err := checkKey(key); err != nil {
			return nil, err
		}
		x.setKey(key)
	}
	x.log = s.log.WithFields(logrus.Fields{"attempt": x.attempt, "tenant": tenant.GetName(), "kind": kind.Name})
	return x, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if httpguard.Crowded(r.Context()) {
		return nil, errNoRoom()
	}
	reserve := func(int64) error { return nil }
	if holding, guarded := httpguard.HoldingOf(r.Context()); guarded {
		reserve = holding.Reserve
	}
	body, err := httpguard.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes), min(r.ContentLength, s.settings.MaxBodyBytes+1), reserve)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body has more than %d bytes; send less or raise limits.max_body_bytes", s.settings.MaxBodyBytes)
	case errors.Is(err, httpguard.ErrNoRoom):
		return nil, errNoRoom()
	case err != nil:
		return nil, result.New(result.InvalidRequest, "the body did not arrive whole: %v", err)
	}
	return body, nil
}

// stoppingRetryAfter is the Retry-After of a node that is being stopped: other nodes answer at once.
const stoppingRetryAfter = 100 * time.Millisecond

// errNoRoom refuses a request that this node has no memory for.
func errNoRoom() error {
	return result.New(result.QueueFull, "%v; another node may have room", httpguard.ErrNoRoom).WithRetryAfter(time.Second)
}

// execute runs the exchange, passes its events to the sink, and logs and counts the outcome.
func (s *Server) execute(r *http.Request, x *exchange, target sink) outcome {
	var end outcome
	if x.key != "" {
		end = s.keyed.run(r.Context(), x, target)
	} else {
		end = s.runner.run(r.Context(), x, noClaims{}, target)
	}
	code := result.CodeOf(end.err)
	s.metrics.ended(x, code.Entry().Name, end.usage.OutputTokens)
	entry := x.log.WithFields(logrus.Fields{
		"engine": end.engine, "code": int(code), "duration_ms": time.Since(x.received).Milliseconds(),
		"prompt_tokens": end.usage.PromptTokens, "cached_tokens": end.usage.CachedTokens, "output_tokens": end.usage.OutputTokens,
	})
	if end.err != nil {
		entry.WithField("reason", result.From(end.err).Message).Info("request ended")
	} else {
		entry.Info("request ended")
	}
	return end
}

// collector is the sink of requests that are answered as a whole.
type collector struct {
	text strings.Builder
}

func (c *collector) events(chunk []byte) error {
	text, err := textOf(chunk)
	c.text.WriteString(text)
	return err
}

// restart implements sink. Nothing has been sent to the caller yet.
func (c *collector) restart() bool {
	c.text.Reset()
	return true
}

func (s *Server) serveWhole(w http.ResponseWriter, r *http.Request, x *exchange) {
	target := &collector{}
	end := s.execute(r, x, target)
	if end.err != nil {
		writeError(w, end.err, string(x.attempt))
		return
	}
	s.setWriteDeadline(w)
	writeJSON(w, http.StatusOK, openai.NewAnswer(x.endpoint, engine.CompletionID(x.attempt), x.kind.Model, x.received.Unix(), target.text.String(), usageOf(end.usage)))
}

func usageOf(usage engine.Usage) *openai.Usage {
	return openai.NewUsage(usage.PromptTokens, usage.OutputTokens, usage.CachedTokens)
}

// setWriteDeadline limits the time that a caller may take to read the answer.
func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.settings.WriteTimeout))
}

// writeDeadlineEvery is how often the write deadline of a stream is extended. Doing so for each
// event would take a system call that costs as much as the write.
const writeDeadlineEvery = time.Second

// streamSink sends events to a caller as they arrive.
type streamSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	begun      bool
	deadlineAt time.Time
}

func (t *streamSink) events(chunk []byte) error {
	if !t.begun {
		t.begun = true
		header := t.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		t.writer.WriteHeader(http.StatusOK)
	}
	if now := time.Now(); now.Sub(t.deadlineAt) > writeDeadlineEvery {
		t.deadlineAt = now
		_ = t.controller.SetWriteDeadline(now.Add(t.timeout))
	}
	if _, err := t.writer.Write(chunk); err != nil {
		return err
	}
	return t.controller.Flush()
}

// restart implements sink. It is possible until the first event has been sent.
func (t *streamSink) restart() bool { return !t.begun }

var streamDone = []byte("data: [DONE]\n\n")

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, x *exchange) {
	target := &streamSink{writer: w, controller: http.NewResponseController(w), timeout: s.settings.WriteTimeout}
	end := s.execute(r, x, target)
	if end.err != nil {
		if !target.begun {
			writeError(w, end.err, string(x.attempt))
			return
		}
		// The stream ends without [DONE], so callers can't take it for a whole answer.
		_ = target.events(errorEvent(end.err, string(x.attempt)))
		return
	}
	var last []byte
	if options := x.request.StreamOptions; options != nil && options.IncludeUsage {
		chunk := openai.UsageChunk(x.endpoint, engine.CompletionID(x.attempt), x.kind.Model, x.received.Unix(), usageOf(end.usage))
		last = appendData(last, chunk)
	}
	_ = target.events(append(last, streamDone...))
}

func errorEvent(err error, attempt string) []byte {
	return appendData(nil, openai.NewErrorBody(result.From(err), attempt))
}

func appendData(buffer []byte, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return buffer // the types above can always be encoded
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, bytes.TrimSpace(data)...)
	return append(buffer, eventEnd...)
}
