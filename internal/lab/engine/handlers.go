package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	maxRequestBytes     = 64 << 20
	defaultOutputTokens = 16
)

func (e *Engine) handler() http.Handler {
	router := chi.NewRouter()
	router.Use(e.refuseWhenDown)
	router.Post(string(openai.Completions), e.complete(openai.Completions))
	router.Post(string(openai.ChatCompletions), e.complete(openai.ChatCompletions))
	router.Get("/engine/v1/streams/{attempt}", e.resumeStream)
	router.Delete("/engine/v1/streams/{attempt}", e.cancelStream)
	router.Get("/engine/v1/status", e.getStatus)
	router.Post("/engine/v1/orders", e.postOrder)
	router.Get("/engine/v1/cache-events", e.getCacheEvents)
	router.Get("/engine/v1/kv/{attempt}", e.exportKV)
	router.Post("/engine/v1/kv", e.importKV)
	router.Get("/lab/v1/counters", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, e.Counters()) })
	router.Post("/lab/v1/faults", e.postFaults)
	router.Post("/lab/v1/crash", e.postCrash)
	return router
}

func (e *Engine) refuseWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func writeReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	failure := result.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderCode, strconv.Itoa(int(failure.Code)))
	w.WriteHeader(failure.Code.Entry().HTTPStatus)
	_ = json.NewEncoder(w).Encode(failure)
}

// ticketOf returns the ticket in the headers of a request. A request without a ticket comes
// from a client that calls the engine directly; it gets one with a new attempt ID.
func ticketOf(r *http.Request) (ticket engine.Ticket, present bool) {
	header := r.Header
	attempt := header.Get(engine.HeaderAttempt)
	if attempt == "" {
		return engine.Ticket{Attempt: engine.NewIdentifier()}, false
	}
	priority, _ := strconv.ParseInt(header.Get(engine.HeaderPriority), 10, 32)
	return engine.Ticket{
		Attempt:     engine.Identifier(attempt),
		Incarnation: engine.Identifier(header.Get(engine.HeaderIncarnation)),
		Model:       header.Get(engine.HeaderModel),
		Version:     header.Get(engine.HeaderVersion),
		Adapter:     header.Get(engine.HeaderAdapter),
		Role:        engine.Role(header.Get(engine.HeaderRole)),
		Priority:    int32(priority),
	}, true
}

func (e *Engine) complete(endpoint openai.Endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			return // nothing was accepted, as the body is incomplete
		}
		request, err := openai.Parse(endpoint, body)
		if err != nil {
			writeError(w, err)
			return
		}
		ticket, present := ticketOf(r)
		s, lose, err := e.accept(endpoint, request, ticket, present)
		if err != nil {
			writeError(w, err)
			return
		}
		if e.crashesOn(request.PromptText()) {
			e.Crash(0)
			panic(http.ErrAbortHandler)
		}
		if lose {
			panic(http.ErrAbortHandler)
		}
		e.sendStream(w, r, s, 1)
		if !present && r.Context().Err() != nil {
			e.cancel(s.attempt)
		}
	}
}

// crashesOn reports whether the current faults make the prompt crash the engine.
func (e *Engine) crashesOn(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CrashOn != "" && strings.Contains(prompt, e.faults.CrashOn)
}

// accept checks the ticket and adds the attempt to the batch. It also reports whether the reply
// is to be lost.
func (e *Engine) accept(endpoint openai.Endpoint, request *openai.Request, ticket engine.Ticket, present bool) (*stream, bool, error) {
	prompt := request.PromptText()
	e.mu.Lock()
	defer e.mu.Unlock()
	if present {
		if err := e.checkTicket(ticket); err != nil {
			e.counters.RefusedTickets++
			return nil, false, err
		}
	} else {
		ticket.Model, ticket.Version = e.deployment.Model, e.deployment.Version
	}
	kvSeed := ticket.Model + "/" + ticket.Version + "/" + ticket.Adapter
	attempt := &sequence{
		attempt:      ticket.Attempt,
		priority:     ticket.Priority,
		chain:        prefix.Chain(kvSeed, prompt),
		promptTokens: max(prefix.EstimateTokens(len(prompt)), 1),
		outputTokens: request.OutputLimit(defaultOutputTokens),
	}
	s := &stream{
		attempt:  ticket.Attempt,
		endpoint: endpoint,
		model:    request.Model,
		seed:     TextSeed(ticket.Model, ticket.Version, ticket.Adapter, prompt),
		created:  time.Now().Unix(),
		sequence: attempt,
		kvSeed:   kvSeed,
		changed:  make(chan struct{}),
	}
	e.streams[ticket.Attempt] = s
	e.accepted[ticket.Attempt] = time.Now()
	e.batch.add(attempt)
	e.counters.Accepted++
	e.runs[s.seed]++
	e.lastAccepted = time.Now()
	e.counters.PromptTokens += int64(attempt.promptTokens)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	lose := e.faults.LoseAcceptReplies > 0
	if lose {
		e.faults.LoseAcceptReplies--
	}
	return s, lose, nil
}

// checkTicket refuses a ticket that doesn't match the engine's current state. Unless the code
// is OutcomeUnknown, the refusal proves that the attempt did not run by this ticket.
func (e *Engine) checkTicket(ticket engine.Ticket) error {
	if e.faults.RefuseRequests > 0 {
		e.faults.RefuseRequests--
		return result.New(result.TicketRefused, "the engine refuses by request of a test")
	}
	if ticket.Incarnation != e.incarnation {
		return result.New(result.IncarnationMismatch, "the ticket is for incarnation %s, this is %s", ticket.Incarnation, e.incarnation)
	}
	if e.tombstones[ticket.Attempt] {
		return result.New(result.TicketRefused, "attempt %s was cancelled before it arrived", ticket.Attempt)
	}
	if _, twice := e.accepted[ticket.Attempt]; twice {
		// This only proves that another copy of the request was accepted: the attempt may run.
		return result.New(result.OutcomeUnknown, "attempt %s was accepted before", ticket.Attempt)
	}
	if e.draining || e.changing != nil {
		return result.New(result.TicketRefused, "the engine takes no new work now")
	}
	wanted := engine.Deployment{Model: ticket.Model, Version: ticket.Version, Role: ticket.Role}
	if !e.deployment.Serves(wanted) || !e.deployment.HasAdapter(ticket.Adapter) {
		return result.New(result.TicketRefused, "the engine serves %s/%s as %s, not %s/%s as %s",
			e.deployment.Model, e.deployment.Version, e.deployment.Role, ticket.Model, ticket.Version, ticket.Role)
	}
	return nil
}

func (e *Engine) findStream(r *http.Request) (*stream, error) {
	attempt := engine.Identifier(chi.URLParam(r, "attempt"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if asked := r.URL.Query().Get("incarnation"); engine.Identifier(asked) != e.incarnation {
		return nil, result.New(result.IncarnationMismatch, "the message is for incarnation %s, this is %s", asked, e.incarnation)
	}
	s := e.streams[attempt]
	if s == nil {
		return nil, result.New(result.StreamUnknown, "this incarnation has no stream %s", attempt)
	}
	return s, nil
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 1 {
		writeError(w, result.New(result.InvalidRequest, "from must be a positive number"))
		return
	}
	s, err := e.findStream(r)
	if err != nil {
		writeError(w, err)
		return
	}
	e.sendStream(w, r, s, from)
}

// sendStream sends the events from number first on, each as soon as it is generated.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, s *stream, first int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	chunks := openai.NewChunkWriter(s.endpoint, engine.CompletionID(s.attempt), s.model, s.created)
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	var buffer, text, data []byte
	next := first
	for {
		written, done, aborted, changed := s.snapshot()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		buffer = buffer[:0]
		for ; next <= written; next++ {
			text = AppendToken(text[:0], s.seed, next)
			data = chunks.Append(data[:0], text, next == s.sequence.outputTokens)
			buffer = appendWithFaults(buffer, faults, s.attempt, next, data)
			if faults.BreakAfter > 0 && next >= faults.BreakAfter && s.breakOnce() {
				panic(http.ErrAbortHandler)
			}
		}
		if done {
			buffer = engine.AppendEnd(buffer, s.usage())
		}
		if _, err := w.Write(buffer); err != nil || controller.Flush() != nil {
			return
		}
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func appendWithFaults(buffer []byte, faults Faults, attempt engine.Identifier, number int, data []byte) []byte {
	if faults.CrossEvents > 0 && number%faults.CrossEvents == 0 {
		other := engine.NewIdentifier()
		buffer = engine.AppendEvent(buffer, other, number, []byte(`{"choices":[{"index":0,"text":"CROSSED","delta":{"content":"CROSSED"}}]}`))
	}
	buffer = engine.AppendEvent(buffer, attempt, number, data)
	if faults.RepeatEvents > 0 && number%faults.RepeatEvents == 0 {
		buffer = engine.AppendEvent(buffer, attempt, number, data)
	}
	return buffer
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	attempt := engine.Identifier(chi.URLParam(r, "attempt"))
	asked := engine.Identifier(r.URL.Query().Get("incarnation"))
	onlyUnseen := r.URL.Query().Get("only_unseen") == "true"
	e.mu.Lock()
	defer e.mu.Unlock()
	if asked != e.incarnation {
		writeError(w, result.New(result.IncarnationMismatch, "the message is for incarnation %s, this is %s", asked, e.incarnation))
		return
	}
	_, seen := e.accepted[attempt]
	if !seen || !onlyUnseen {
		e.cancelLocked(attempt)
	}
	writeReply(w, engine.CancelReply{Incarnation: e.incarnation, Seen: seen})
}

// cancel cancels an attempt.
func (e *Engine) cancel(attempt engine.Identifier) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelLocked(attempt)
}

// cancelLocked cancels an attempt. It leaves a tombstone, so that an attempt that arrives only
// later is refused.
func (e *Engine) cancelLocked(attempt engine.Identifier) {
	e.tombstones[attempt] = true
	s := e.streams[attempt]
	if s == nil || s.finished() {
		return
	}
	e.counters.Cancelled++
	s.finishedAt = time.Now()
	e.batch.remove(attempt)
	s.abort()
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, result.New(result.InvalidRequest, "from must be a number"))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events, next := e.events.page(from)
	writeReply(w, engine.CacheEvents{Incarnation: e.incarnation, Events: events, Next: next})
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	s, err := e.findStream(r)
	if err != nil {
		writeError(w, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeReply(w, s.export(e.incarnation, e.options.Model.BytesPerCachedToken))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var export engine.KVExport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&export); err != nil {
		writeError(w, result.New(result.InvalidRequest, "the KV export can't be read: %v", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cache.store(export.Blocks)
	writeReply(w, struct{}{})
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeError(w, result.New(result.InvalidRequest, "the faults can't be read: %v", err))
		return
	}
	e.SetFaults(faults)
	writeReply(w, struct{}{})
}

func (e *Engine) postCrash(w http.ResponseWriter, r *http.Request) {
	millis, _ := strconv.Atoi(r.URL.Query().Get("down_ms"))
	e.Crash(time.Duration(millis) * time.Millisecond)
	writeReply(w, struct{}{})
}
