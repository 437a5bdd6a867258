package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/tcpstate"
)

const (
	// MaxTunnels bounds the tunnels through one node. Each takes two buffers of frameBytes, those of
	// the HTTP server and two goroutines.
	MaxTunnels = 200
	// maxLent bounds those of them that are lent, so that some are left for nodes that have lost
	// their links.
	maxLent = 150
	// dialTimeout bounds opening the connection to the worker.
	dialTimeout = 200 * time.Millisecond
	// quietTime is how long a tunnel must have carried nothing to count as idle when the node
	// stops: longer than the pauses between the events of a stream.
	quietTime = 2 * time.Second
	quietPoll = 50 * time.Millisecond
	// endWait is how long a write to a worker that has closed its connection may still take.
	endWait = 50 * time.Millisecond
)

// Causes for which no tunnel is opened, as headerCause names them.
const (
	causeRefused = "refused"
	causeUnheard = "unheard"
	// causeLost means that this node has lost its own link, which says nothing of the worker.
	causeLost = "lost"
	// causeUnknown tells a worker that isn't listed from an earlier build, which has no tunnels.
	causeUnknown = "unknown"
	// causeFull tells that this node's share of the worker's connections is in use.
	causeFull = "full"
)

// ErrFull is returned by Workers.Lend if this node has no connection to lend.
var ErrFull = eris.New("the node's share of the connections to the worker is in use")

// Workers finds the addresses of workers, and opens connections to them.
type Workers interface {
	// Address returns the address of a worker that is listed, or was a moment ago.
	Address(worker string) (string, bool)
	// LinkLost reports whether this node has lost its own link to a worker.
	LinkLost(worker string) bool
	// Dial opens a connection of this node's own.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Lend opens a connection to a worker that counts as this node's own until it is closed. The
	// error is ErrFull if this node's share of the worker's connections is in use.
	Lend(ctx context.Context, worker, address string) (net.Conn, error)
}

// Server opens connections to workers for other nodes. It is safe for concurrent use.
type Server struct {
	workers Workers
	// isNode reports whether an IP address is another node's.
	isNode func(ip netip.Addr) bool
	log    *logrus.Logger

	mu       sync.Mutex
	stopping bool
	open     map[*served]struct{}
	lent     int
	opened   uint64
}

// served is one tunnel through this node.
type served struct {
	caller, worker net.Conn
	// lent tells that the connection to the worker counts as this node's.
	lent bool
	// writing is held during a write to the worker. It guards passed, the count of the bytes of the caller that were
	// written to the worker, and cut, which is set once a write has failed.
	writing sync.Mutex
	passed  uint64
	cut     bool

	mu     sync.Mutex
	active time.Time
}

// NewServer returns a server that takes tunnels from nodes only.
func NewServer(workers Workers, isNode func(ip netip.Addr) bool, log *logrus.Logger) *Server {
	return &Server{workers: workers, isNode: isNode, log: log, open: make(map[*served]struct{})}
}

// Register adds the server to the router for other nodes.
func (s *Server) Register(router chi.Router) {
	router.Get(pathTunnel, func(writer http.ResponseWriter, request *http.Request) { s.serve(writer, request, false) })
	router.Get(pathLent, func(writer http.ResponseWriter, request *http.Request) { s.serve(writer, request, true) })
}

// Open returns the number of tunnels, and Opened how many there have been.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Opened returns the number of tunnels since the start.
func (s *Server) Opened() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// serve opens a connection to a worker and passes bytes on until either side ends. It answers 403
// to others than nodes, 404 where the worker isn't known, 502 with a cause where the worker isn't
// reached, and 503 where the node takes no further tunnel or has no connection to lend.
func (s *Server) serve(writer http.ResponseWriter, request *http.Request, lent bool) {
	id, err := url.PathUnescape(chi.URLParam(request, "worker"))
	fields := logrus.Fields{"worker": id, "node": request.Header.Get(headerNode), "from": request.RemoteAddr, "id": request.Header.Get(headerRequest), "lent": lent}
	from, parseErr := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil || parseErr != nil || !s.isNode(from.Addr().Unmap()) {
		s.log.WithFields(fields).Warn("a connection through this node was refused: the address isn't known as a node's")
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	address, listed := s.workers.Address(id)
	if !listed {
		writer.Header().Set(headerCause, causeUnknown)
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if !s.admits(lent) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.workers.LinkLost(id) {
		writer.Header().Set(headerCause, causeLost)
		writer.WriteHeader(http.StatusBadGateway)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), dialTimeout)
	defer cancel()
	worker, err := s.connect(ctx, id, address, lent)
	if errors.Is(err, ErrFull) {
		writer.Header().Set(headerCause, causeFull)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		if request.Context().Err() == nil {
			s.log.WithFields(fields).WithField("cause", err.Error()).Warn("a worker isn't reached for another node")
		}
		writer.Header().Set(headerCause, causeOf(err))
		writer.WriteHeader(http.StatusBadGateway)
		return
	}
	s.upgrade(writer, worker, lent, fields)
}

func (s *Server) connect(ctx context.Context, worker, address string, lent bool) (net.Conn, error) {
	if lent {
		return s.workers.Lend(ctx, worker, address)
	}
	return s.workers.Dial(ctx, address)
}

func causeOf(err error) string {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return causeRefused
	}
	return causeUnheard
}

// admits reports whether there is room for another tunnel.
func (s *Server) admits(lent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && len(s.open) < MaxTunnels && !(lent && s.lent >= maxLent)
}

// upgraded is the head of the answer to a node that gets a tunnel.
const upgraded = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n" + headerCounts + ": 1\r\n\r\n"

func (s *Server) upgrade(writer http.ResponseWriter, worker net.Conn, lent bool, fields logrus.Fields) {
	caller, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		_ = worker.Close()
		s.log.WithError(err).Error("a connection of another node can't be taken over")
		return
	}
	_ = caller.SetDeadline(time.Time{})
	t := &served{caller: caller, worker: worker, lent: lent, active: time.Now()}
	s.add(t)
	s.log.WithFields(fields).Info("connection opened for another node")
	if _, err := io.WriteString(caller, upgraded); err == nil {
		t.run()
	}
	_ = caller.Close()
	_ = worker.Close()
	s.remove(t)
}

func (s *Server) add(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[t] = struct{}{}
	s.opened++
	if t.lent {
		s.lent++
	}
}

func (s *Server) remove(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
	if t.lent {
		s.lent--
	}
}

// run passes bytes on until either connection ends. The worker loses its connection as soon as the
// caller's has ended, since what it works on is for nobody then.
func (t *served) run() {
	go func() {
		// Without the connection's own ReadFrom, which takes a larger buffer.
		_, _ = io.CopyBuffer(workerWriter{t}, t.reader(t.caller), make([]byte, frameBytes))
		abort(t.worker)
	}()
	if !t.passFrames() {
		abort(t.caller)
	}
}

// abort resets a connection, so that its end isn't taken for one in order.
func abort(c net.Conn) {
	if linger, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = linger.SetLinger(0)
	}
	_ = c.Close()
}

// passFrames passes on what the worker sends, and reports whether it closed its connection in order.
func (t *served) passFrames() bool {
	from := t.reader(t.worker)
	frame := make([]byte, lengthBytes+frameBytes)
	for {
		count, err := from.Read(frame[lengthBytes:])
		if count > 0 {
			binary.BigEndian.PutUint16(frame, uint16(count))
			if _, err := t.caller.Write(frame[:lengthBytes+count]); err != nil {
				return false
			}
		}
		if err == io.EOF {
			return t.passEnd()
		}
		if err != nil {
			return false
		}
	}
}

// passEnd passes on that the worker has closed its connection, and reports whether it did so in order. A reset
// that meets a write to the worker is reported to that write alone, and the read returns io.EOF.
func (t *served) passEnd() bool {
	_ = t.worker.SetWriteDeadline(time.Now().Add(endWait))
	t.writing.Lock()
	defer t.writing.Unlock()
	if t.cut || tcpstate.Unacknowledged(t.worker) > 0 {
		return false
	}
	end := binary.BigEndian.AppendUint64(make([]byte, lengthBytes), t.passed)
	_, err := t.caller.Write(end)
	return err == nil
}

// workerWriter writes to the worker of a tunnel.
type workerWriter struct{ tunnel *served }

// Write implements io.Writer.
func (w workerWriter) Write(content []byte) (int, error) {
	t := w.tunnel
	t.writing.Lock()
	defer t.writing.Unlock()
	count, err := t.worker.Write(content)
	t.passed += uint64(count)
	t.cut = t.cut || err != nil
	return count, err
}

// reader returns a reader that records when something came.
func (t *served) reader(from io.Reader) io.Reader { return &activeReader{from: from, tunnel: t} }

type activeReader struct {
	from   io.Reader
	tunnel *served
}

// Read implements io.Reader.
func (r *activeReader) Read(buffer []byte) (int, error) {
	count, err := r.from.Read(buffer)
	r.tunnel.mu.Lock()
	r.tunnel.active = time.Now()
	r.tunnel.mu.Unlock()
	return count, err
}

func (t *served) isQuiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.active) > quietTime
}

// Stop refuses further tunnels.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain waits, after Stop, until no tunnel carries anything any more.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for !s.isQuiet(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) isQuiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if !t.isQuiet(now) {
			return false
		}
	}
	return true
}

// Close ends all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for t := range s.open {
		abort(t.caller)
		abort(t.worker)
	}
}
