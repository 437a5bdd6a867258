package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/result"
)

// handler serves one method.
type handler func(ctx context.Context, from Identity, body json.RawMessage) (any, error)

// Server answers the requests and notices of other nodes.
type Server struct {
	identity Identity
	log      logrus.FieldLogger
	counters *Counters
	handlers map[Method]handler
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(identity Identity, counters *Counters, log logrus.FieldLogger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{identity: identity, counters: counters, log: log, handlers: map[Method]handler{}, ctx: ctx, cancel: cancel}
}

// Handle registers the handler of a method. It must be called before Serve. The handler's
// context ends when the caller gives up or its connection breaks.
func Handle[Request, Response any](s *Server, method Method, serve func(context.Context, Identity, Request) (Response, error)) {
	s.handlers[method] = func(ctx context.Context, from Identity, body json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, result.New(result.PeerProtocol, "the body of %s can't be read: %v", method, err)
		}
		return serve(ctx, from, request)
	}
}

// Serve starts to accept connections, until Close. With a TLS configuration that requires
// client certificates, peers must present one that it accepts.
func (s *Server) Serve(listener net.Listener, security *tls.Config) {
	if security != nil {
		listener = tls.NewListener(listener, security)
	}
	s.listener = listener
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		for {
			network, err := listener.Accept()
			if err != nil {
				return
			}
			s.running.Add(1)
			go func() {
				defer s.running.Done()
				s.serveConn(network)
			}()
		}
	}()
}

// Close stops the server and waits for its handlers.
func (s *Server) Close() {
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.running.Wait()
}

func (s *Server) serveConn(network net.Conn) {
	c := newConn(network, s.counters)
	defer c.close()
	if err := c.greet(s.identity); err != nil {
		s.counters.Malformed.Add(1)
		s.log.WithError(err).WithField("remote", network.RemoteAddr().String()).Warn("peer connection refused")
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer c.closeOnDone(ctx)()
	var handling sync.WaitGroup
	defer handling.Wait()
	defer cancel()
	handling.Add(1)
	go func() {
		defer handling.Done()
		c.writeLoop()
	}()
	s.readLoop(ctx, c, &handling)
}

// readLoop handles frames until the connection breaks. A malformed line ends the connection,
// since the lines after it can't be trusted.
func (s *Server) readLoop(ctx context.Context, c *conn, handling *sync.WaitGroup) {
	calls := &callTable{cancels: map[uint64]context.CancelFunc{}}
	for {
		f, err := c.reader.next()
		if err != nil {
			s.logReadError(c, err)
			c.close()
			return
		}
		s.counters.LinesReceived.Add(1)
		switch f.Type {
		case frameRequest:
			callCtx, finish := calls.begin(ctx, f.ID)
			handling.Add(1)
			go func() {
				defer handling.Done()
				defer finish()
				s.answer(callCtx, c, f)
			}()
		case frameNotice:
			s.notice(ctx, c, f)
		case frameCancel:
			calls.cancel(f.ID)
		}
	}
}

func (s *Server) logReadError(c *conn, err error) {
	if result.CodeOf(err) == result.PeerProtocol {
		s.counters.Malformed.Add(1)
		s.log.WithError(err).WithField("peer", c.remote.Node).Warn("peer connection closed after a malformed line")
	}
}

func (s *Server) answer(ctx context.Context, c *conn, f frame) {
	response := frame{Type: frameResponse, ID: f.ID}
	value, err := s.dispatch(ctx, c, f)
	if err == nil {
		response.Body, err = json.Marshal(value)
	}
	if err != nil {
		response.Error = result.From(err)
	}
	_ = c.send(response) // a caller that is gone gets no answer
}

// notice calls the handler of a notice. Notices of a connection are handled one after the
// other, in the order in which they arrive.
func (s *Server) notice(ctx context.Context, c *conn, f frame) {
	if _, err := s.dispatch(ctx, c, f); err != nil {
		s.log.WithError(err).WithField("peer", c.remote.Node).Debug("notice failed")
	}
}

func (s *Server) dispatch(ctx context.Context, c *conn, f frame) (any, error) {
	serve := s.handlers[f.Method]
	if serve == nil {
		return nil, result.New(result.PeerProtocol, "unknown method %q; the peer may be of a newer version", f.Method)
	}
	return serve(ctx, c.remote, f.Body)
}

// callTable holds the running calls of one connection, so that the caller can cancel them.
type callTable struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (t *callTable) begin(ctx context.Context, id uint64) (context.Context, func()) {
	callCtx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[id] = cancel
	return callCtx, func() {
		cancel()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancels, id)
	}
}

func (t *callTable) cancel(id uint64) {
	t.mu.Lock()
	cancel := t.cancels[id]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
