package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the engines.
const (
	engineSlots  = 48
	longStream   = 15
	shortStream  = 2
	eventPause   = 100 * time.Millisecond
	reportTime   = 8 * time.Millisecond
	keepAliveFor = time.Second
)

// engineRun is a request that an engine worked on, from its first step until it was done or its
// connection was closed.
type engineRun struct {
	id       string
	machine  netip.Addr
	from, to time.Time
	// whole tells that the engine made all of the stream.
	whole bool
}

// handles are the prompts that prefill engines keep, over all engines.
type handles struct {
	mu   sync.Mutex
	kept map[string]bool
	next int
}

func (h *handles) keep() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	id := fmt.Sprintf("h%08x", h.next)
	h.kept[id] = true
	return id
}

// take removes a handle and reports whether it was there.
func (h *handles) take(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.kept[id]
	delete(h.kept, id)
	return known
}

// engine is a model worker. It speaks HTTP over its connections itself, so that it can send one
// answer more than expected, late, in the spot where the next answer is due.
type engine struct {
	id, zone string
	born     int64
	listener net.Listener
	record   *record
	handles  *handles
	// extraShare is the share of its answers to clients' requests after which an extra one comes.
	extraShare float64

	mu    sync.Mutex
	stage string
	seq   int
	extra int
	runs  []engineRun
}

func startEngine(id, zone, stage string, record *record, kept *handles, extraShare float64) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, born: time.Now().UnixMilli(), listener: listener, record: record, handles: kept, extraShare: extraShare, stage: stage}
	go e.accept()
	return e, nil
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) currentStage() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

func (e *engine) entry(service string) map[string]any {
	return map[string]any{
		"Service": service, "Address": e.listener.Addr().String(), "Zone": e.zone, "Version": "v1", "Slots": engineSlots,
		"State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": e.born, "Stage": e.currentStage(),
		"Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
	}
}

// answer is one answer as bytes.
type answer struct {
	status int
	header http.Header
	body   string
}

// bytes returns the answer as sent, in one chunk after the other for streams.
func (a answer) bytes(stream bool) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if stream {
		a.header.Set("Transfer-Encoding", "chunked")
	} else {
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	_ = a.header.Write(&out)
	out.WriteString("\r\n")
	switch {
	case stream && a.body != "":
		fmt.Fprintf(&out, "%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
	case stream:
		out.WriteString("0\r\n\r\n")
	default:
		out.WriteString(a.body)
	}
	return out.Bytes()
}

// serve answers the requests of one connection, one after the other.
func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := bufio.NewReader(c)
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(keepAliveFor))
		request, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if late != nil {
			e.record.add(time.Now(), "%s: an extra answer comes late, where the one to %s %s %s is due", e.id, request.Method, request.RequestURI, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		header := http.Header{"X-Instance-Id": {e.id}}
		if id != "" {
			header.Set("X-Request-Id", id)
		}
		header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(keepAliveFor.Seconds())))
		given, stream := e.handle(c, from, request, body, id, header)
		if given.status != 0 {
			if _, err := c.Write(given.bytes(stream)); err != nil {
				return
			}
		}
		if stream && id != "" && rand.Float64() < e.extraShare {
			given.header = given.header.Clone()
			given.header.Del("Transfer-Encoding")
			if given.status == 0 {
				given.status, given.body = http.StatusOK, streamBody(id, eventsOf(request.RequestURI), 0)
			}
			late = given.bytes(true)
			e.mu.Lock()
			e.extra++
			e.mu.Unlock()
		}
	}
}

// eventsOf is how many events the stream for a target has.
func eventsOf(target string) int {
	if strings.HasPrefix(target, amenityPrefix) {
		return longStream
	}
	return shortStream
}

// streamBody is a whole stream, from the event behind number after.
func streamBody(id string, events, after int) string {
	var out strings.Builder
	for number := after + 1; number <= events; number++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s.%d\n\n", number, id, number)
	}
	return out.String()
}

// handle answers a request. Streams that run are written by itself; their status is zero.
func (e *engine) handle(c net.Conn, from *bufio.Reader, request *http.Request, body []byte, id string, header http.Header) (given answer, stream bool) {
	reply := func(status int, value any) (answer, bool) {
		header.Set("Content-Type", "application/json")
		content, _ := json.Marshal(value)
		return answer{status, header, string(content)}, false
	}
	path, _, _ := strings.Cut(request.RequestURI, "?")
	expected := request.Header.Get("X-Expect-Instance")
	switch {
	case path == "/v1/report":
		time.Sleep(reportTime)
		e.record.add(time.Now(), "%s: told its state", e.id)
		return reply(http.StatusOK, map[string]any{
			"Stage": e.currentStage(), "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Busy": false,
			"Seq": e.seq, "Waiting": 0, "Running": 1, "KvUsed": 1000, "KvTotal": 305_000, "KvHandles": 0, "born": e.born,
		})
	case path == "/health":
		header.Set("X-Server-Load", fmt.Sprintf("1,0,%d", engineSlots))
		return answer{http.StatusOK, header, ""}, false
	case path == "/v1/kv-list":
		return reply(http.StatusOK, map[string]any{"epoch": 1, "NextPageToken": 1, "held": []any{}, "born": e.born})
	case strings.HasPrefix(path, "/v1/kv-handle/"):
		e.handles.take(strings.TrimPrefix(path, "/v1/kv-handle/"))
		return answer{http.StatusOK, header, ""}, false
	case expected != "" && expected != e.id:
		return answer{http.StatusMisdirectedRequest, header, ""}, false
	case path == "/v1/order":
		return e.order(body, reply)
	case request.Header.Get("X-Stage") == "prefill":
		if e.currentStage() != "prefill" {
			return answer{http.StatusMisdirectedRequest, header, ""}, false
		}
		time.Sleep(10 * time.Millisecond)
		return reply(http.StatusOK, map[string]any{"KvHandle": e.handles.keep(), "Tokens": 1460, "Version": 1})
	case e.currentStage() == "prefill":
		return answer{http.StatusMisdirectedRequest, header, ""}, false
	}
	if source := request.Header.Get("X-Kv-Source"); source != "" {
		if _, handle, _ := strings.Cut(source, "/"); !e.handles.take(handle) {
			header.Set("X-Not-Executed", "1")
			return answer{http.StatusServiceUnavailable, header, ""}, false
		}
	}
	return e.stream(c, from, request, id, header), true
}

// order changes the engine's stage at once.
func (e *engine) order(body []byte, reply func(int, any) (answer, bool)) (answer, bool) {
	var order struct{ Op, Stage string }
	if err := json.Unmarshal(body, &order); err != nil || order.Op != "Stage" {
		return reply(http.StatusBadRequest, map[string]any{})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage == order.Stage {
		return reply(http.StatusOK, map[string]any{})
	}
	e.stage = order.Stage
	e.seq++
	return reply(http.StatusAccepted, map[string]any{})
}

// signature is that of the engine's answer to a request.
func (e *engine) signature(id string) string {
	sum := sha256.Sum256([]byte(e.id + " " + id))
	return hex.EncodeToString(sum[:8])
}

// stream runs a request and writes its events as they are made. It drops the request when its
// connection closes.
func (e *engine) stream(c net.Conn, from *bufio.Reader, request *http.Request, id string, header http.Header) answer {
	peer, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	run := engineRun{id: id, machine: peer.Addr().Unmap(), from: time.Now()}
	e.record.add(run.from, "%s: %s from %s runs", e.id, id, peer.Addr())
	closed, watched := make(chan struct{}), make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(watched)
		if _, err := from.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(closed)
		}
	}()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Response-Signature", e.signature(id))
	header.Set("X-Server-Load", fmt.Sprintf("2,0,%d", engineSlots))
	header.Set("Transfer-Encoding", "chunked")
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&head)
	head.WriteString("\r\n")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := eventsOf(request.RequestURI)
	_, err := c.Write(head.Bytes())
	for number := after + 1; err == nil && number <= events; number++ {
		select {
		case <-closed:
			err = net.ErrClosed
		case <-time.After(eventPause):
			text := streamBody(id, number, number-1)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
	}
	run.to, run.whole = time.Now(), err == nil
	if run.whole {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-watched
	e.record.add(run.to, "%s: %s ends, whole %v", e.id, id, run.whole)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	return answer{header: header}
}
