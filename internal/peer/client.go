package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

const (
	dialTimeout = 500 * time.Millisecond
	// redialPause is the minimum time between a failed dial and the next. Without it a node
	// would dial a dead peer for each message.
	redialPause = 250 * time.Millisecond
	// idleAfter is how long an unused connection is kept. Since nodes probe each other at
	// random, every node would otherwise end up with a connection to every other.
	idleAfter = 5 * time.Second
)

// Client calls other nodes, using one connection for each address.
type Client struct {
	identity Identity
	security *tls.Config
	counters *Counters
	// Dial opens a network connection. Tests replace it to delay or cut connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// NewClient returns a client. A nil TLS configuration means plain TCP.
func NewClient(identity Identity, counters *Counters, security *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		identity: identity,
		security: security,
		counters: counters,
		links:    map[string]*link{},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// link holds the connection to one address, which is opened when it is needed, and the calls
// that wait for answers.
type link struct {
	client  *Client
	address string

	mu       sync.Mutex
	current  *conn
	failedAt time.Time
	usedAt   time.Time
	nextID   uint64
	pending  map[uint64]chan frame
}

// Call sends a request and waits for its answer. An error of the remote handler is returned
// with its code. PeerUnavailable means that no answer came; the request may have taken effect
// nevertheless.
func (c *Client) Call(ctx context.Context, address string, method Method, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding %s", method)
	}
	l, err := c.link(address)
	if err != nil {
		return err
	}
	answer, err := l.call(ctx, frame{Type: frameRequest, Method: method, Body: body})
	if err != nil {
		return err
	}
	if answer.Error != nil {
		return answer.Error
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Body, response); err != nil {
		return result.New(result.PeerProtocol, "the answer to %s can't be read: %v", method, err)
	}
	return nil
}

// Notify sends a notice, which gets no answer.
func (c *Client) Notify(ctx context.Context, address string, method Method, notice any) error {
	body, err := json.Marshal(notice)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding %s", method)
	}
	l, err := c.link(address)
	if err != nil {
		return err
	}
	connection, err := l.connect(ctx)
	if err != nil {
		return err
	}
	return connection.send(frame{Type: frameNotice, Method: method, Body: body})
}

// Connected reports whether a connection to an address is open, so that a notice can be sent
// without dialling.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		l.close()
	}
}

// Disconnect closes the connection to an address that is no longer needed.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		l.close()
		delete(c.links, address)
	}
}

func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.New(result.Stopping, "the node is stopping")
	}
	l := c.links[address]
	if l == nil {
		l = &link{client: c, address: address, pending: map[uint64]chan frame{}}
		c.links[address] = l
	}
	return l, nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.close()
	}
}

// connect returns the open connection, or opens one.
func (l *link) connect(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedAt = time.Now()
	if l.current != nil {
		return l.current, nil
	}
	if time.Since(l.failedAt) < redialPause {
		return nil, result.New(result.PeerUnavailable, "peer %s could not be reached a moment ago", l.address)
	}
	connection, err := l.dial(ctx)
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	l.current = connection
	go connection.writeLoop()
	go l.readLoop(connection)
	time.AfterFunc(idleAfter, func() { l.closeIdle(connection) })
	return connection, nil
}

// closeIdle closes the connection if it has not been used for idleAfter and no call waits on
// it. Otherwise it checks again later.
func (l *link) closeIdle(connection *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != connection {
		return
	}
	idle := time.Since(l.usedAt)
	if idle >= idleAfter && len(l.pending) == 0 {
		l.current = nil
		connection.close()
		return
	}
	time.AfterFunc(max(idleAfter-idle, time.Second), func() { l.closeIdle(connection) })
}

func (l *link) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	network, err := l.client.Dial(dialCtx, l.address)
	if err != nil {
		return nil, result.New(result.PeerUnavailable, "peer %s can't be reached: %v", l.address, err)
	}
	if l.client.security != nil {
		security := l.client.security.Clone()
		security.ServerName, _, _ = net.SplitHostPort(l.address)
		network = tls.Client(network, security)
	}
	connection := newConn(network, l.client.counters)
	if err := connection.greet(l.client.identity); err != nil {
		// Despite the message, the peer need not have refused anything: the TLS handshake may
		// have failed, the peer may have closed the connection or not answered in time, or this
		// node may have refused the peer's greeting.
		connection.close()
		return nil, result.New(result.PeerUnavailable, "peer %s refused the greeting: %v", l.address, err)
	}
	return connection, nil
}

func (l *link) readLoop(connection *conn) {
	for {
		f, err := connection.reader.next()
		if err != nil {
			break
		}
		l.client.counters.LinesReceived.Add(1)
		if f.Type == frameResponse {
			l.deliver(f)
		}
	}
	connection.close()
	l.failPending(connection)
}

func (l *link) deliver(f frame) {
	l.mu.Lock()
	waiter := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mu.Unlock()
	if waiter != nil {
		waiter <- f
	}
}

// failPending fails every call that waits for an answer on a broken connection.
func (l *link) failPending(connection *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != connection {
		return
	}
	l.current = nil
	for id, waiter := range l.pending {
		waiter <- frame{Type: frameResponse, ID: id, Error: result.New(result.PeerUnavailable, "the connection to %s broke", l.address)}
	}
	clear(l.pending)
}

func (l *link) call(ctx context.Context, request frame) (frame, error) {
	connection, err := l.connect(ctx)
	if err != nil {
		return frame{}, err
	}
	waiter := make(chan frame, 1)
	l.mu.Lock()
	if l.current != connection {
		l.mu.Unlock()
		return frame{}, result.New(result.PeerUnavailable, "the connection to %s broke", l.address)
	}
	l.nextID++
	request.ID = l.nextID
	l.pending[request.ID] = waiter
	l.mu.Unlock()
	if err := connection.send(request); err != nil {
		l.forget(request.ID)
		return frame{}, err
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		l.forget(request.ID)
		_ = connection.send(frame{Type: frameCancel, ID: request.ID})
		return frame{}, result.New(result.PeerUnavailable, "peer %s did not answer %s in time", l.address, request.Method)
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}
