package workerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/httphead"
	"github.com/tinarch/tinarch/internal/links"
	"github.com/tinarch/tinarch/internal/tcpstate"
	"github.com/tinarch/tinarch/internal/tunnel"
)

// ErrFull is returned if the limit of connections from this node to a worker is reached.
var ErrFull = eris.New("all connections to the worker are in use")

const (
	// DialTimeout limits how long opening a connection may take.
	DialTimeout = 400 * time.Millisecond
	// userTimeout closes a connection whose peer has acknowledged nothing for this long
	// (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the worker doesn't tell when it
	// closes it.
	defaultIdle = 60 * time.Second
	// idleMargin is subtracted from the time after which the worker closes an idle connection,
	// so that no request is sent while it does.
	idleMargin = 400 * time.Millisecond
	// bodyWait is how long a connection whose answer has ended waits for the rest of the request
	// body to be sent. After that it isn't used again, and an unframed answer has broken off.
	bodyWait = 50 * time.Millisecond
)

// Monitor is notified of all requests sent to workers, and can reject them.
type Monitor interface {
	// Admit is called before a connection is opened for a request, and again just before its
	// first byte is sent. If it returns an error, the request isn't sent.
	Admit(key string, request *Request) error
	// Sending is called just before the first byte of a request is sent.
	Sending(key string, request *Request)
	// Answered is called with the status and header of each answer.
	Answered(key string, request *Request, status int, header http.Header)
}

// Pool keeps the connections to all workers. It is safe for concurrent use.
type Pool struct {
	// monitor is nil if there is none.
	monitor Monitor
	// links is nil if links aren't tracked.
	links *links.Table
	// tunnels is nil if there are no other nodes.
	tunnels Tunnels
	// verifier is nil if incarnations of workers aren't verified.
	verifier Verifier
	// short is called with mu held when nearly all connections to a worker are in use. It may be nil.
	short func()
	// source is the address that connections are made from, nil if the system chooses it.
	source net.Addr
	// dropped is called with each answer that isn't taken for a request's. It may be nil.
	dropped func(key string, request *Request, found []string)

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	opened uint64
	// usedAt is when the last request of a caller came.
	usedAt time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
}

// SetMonitor sets the monitor. It must be called before any request is sent.
func (p *Pool) SetMonitor(monitor Monitor) { p.monitor = monitor }

// SetLinks sets where the pool records which workers it reaches. It must be called before any
// request is sent.
func (p *Pool) SetLinks(table *links.Table) { p.links = table }

// SetShort sets what is called when a request finds nearly all connections to a worker in use. It must not call the
// pool. It must be set before any request is sent.
func (p *Pool) SetShort(short func()) { p.short = short }

// SetDropped sets what is called with each answer of a worker that isn't taken for a request's, and with the ids
// that it bears. It must be set before any request is sent.
func (p *Pool) SetDropped(dropped func(key string, request *Request, found []string)) {
	p.dropped = dropped
}

func (p *Pool) answerDropped(key string, request *Request, found []string) {
	if p.dropped != nil {
		p.dropped(key, request, found)
	}
}

// SetSource sets the IP address that connections are made from. It must be called before any
// request is sent.
func (p *Pool) SetSource(ip net.IP) { p.source = &net.TCPAddr{IP: ip} }

// Opened returns the number of connections that were opened or attempted.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends a request to a worker and returns its answer, whose body is still to be read. key is
// the id of the worker's incarnation: a connection isn't used for another worker that later has
// the same address. limit is the number of connections that may be open to the worker, zero for
// no limit; beyond it, a request with Borrow gets a connection of another node's.
func (p *Pool) Do(ctx context.Context, key, address string, limit int, request *Request) (*Answer, error) {
	if err := p.checkAdmitted(key, request); err != nil {
		return nil, err
	}
	c, err := p.getConn(ctx, key, address, limit, request)
	if err != nil {
		return nil, unsent(err)
	}
	c.dropped = func(request *Request, found []string) { p.answerDropped(key, request, found) }
	if err := p.verify(ctx, key, address, c, request); err != nil {
		p.discard(key, c)
		return nil, &SendError{Unsent: true, Cause: err}
	}
	if err := prepare(ctx, c, request); err != nil {
		p.discard(key, c)
		return nil, &SendError{Unsent: true, Cause: err}
	}
	if err := p.checkAdmitted(key, request); err != nil {
		p.addIdle(key, c)
		return nil, err
	}
	if p.monitor != nil {
		p.monitor.Sending(key, request)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent := time.Now()
	response, written, err := c.roundTrip(ctx, request)
	if err != nil {
		stop()
		p.discard(key, c)
		p.failedAfter(key, c, sent, err)
		return nil, throughOther(c, err)
	}
	p.heardOn(key, c)
	if p.monitor != nil {
		p.monitor.Answered(key, request, response.StatusCode, response.Header)
	}
	framing := framingOf(request.Method, response)
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		Framing: framing,
		Body: &body{
			pool: p, key: key, conn: c, response: response, written: written,
			ctx: ctx, stop: stop, framing: framing,
		},
		Through: c.through(),
	}, nil
}

// checkAdmitted returns a SendError if the monitor rejects the request.
func (p *Pool) checkAdmitted(key string, request *Request) error {
	if p.monitor == nil {
		return nil
	}
	if err := p.monitor.Admit(key, request); err != nil {
		return Withhold(err)
	}
	return nil
}

// prepare sets the socket options of a request with DropAfter, and checks its deadline again:
// time may have passed while the process was paused, the machine was suspended or the request
// waited for the connection.
func prepare(ctx context.Context, c *conn, request *Request) error {
	if request.DropAfter == 0 {
		return nil
	}
	if err := setLingerAndUserTimeout(c.Conn, 0, request.DropAfter); err != nil {
		return err
	}
	c.dropsUnsent = true
	if clock.Expired(ctx) {
		return context.DeadlineExceeded
	}
	return nil
}

func (p *Pool) getConn(ctx context.Context, key, address string, limit int, request *Request) (*conn, error) {
	now := time.Now()
	if request.IDHeader != "" { // a caller's, not one of the node's own questions
		p.recordUse(now)
	}
	for {
		c, err := p.takeIdle(key, limit, request.mayUse)
		if err != nil {
			return p.borrow(ctx, key, request)
		}
		if c == nil {
			break
		}
		if p.mayReuse(key, c, request, now) {
			return c, nil
		}
		p.discard(key, c)
	}
	inner, err := p.openConn(ctx, key, address, request)
	if err != nil {
		p.releaseSlot(key)
		return nil, err
	}
	c := newConn(inner)
	c.idleSince, c.idleLimit = now, defaultIdle-idleMargin
	return c, nil
}

// recordUse records that a request of a caller came.
func (p *Pool) recordUse(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
}

// mayReuse reports whether an idle connection can carry another request.
func (p *Pool) mayReuse(key string, c *conn, request *Request, now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleLimit || !c.quiet() {
		return false
	}
	through, isTunnel := c.Conn.(*tunnel.Conn)
	switch {
	case p.links == nil:
		return true
	case c.lent:
		return !request.DirectOnly && p.tunnels.Usable(through)
	case isTunnel:
		return !request.DirectOnly && p.links.IsLost(key) && p.tunnels.Usable(through)
	}
	return !p.links.Doubts(key, c.idleSince)
}

// takeIdle returns the idle connection that was used last among those that are usable, a lent one only
// if there is no other. If there is none it returns nil, and a new connection is already counted in
// open: in place of an idle one if the limit is reached.
func (p *Pool) takeIdle(key string, limit int, usable func(*conn) bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := lastUsable(p.idle[key], usable); at >= 0 {
		last := p.idle[key][at]
		p.idle[key] = slices.Delete(p.idle[key], at, at+1)
		return last, nil
	}
	if limit > 0 && p.open[key] >= limit-limit/spareParts && p.short != nil {
		p.short()
	}
	if limit > 0 && p.open[key] >= limit && !p.closeIdleLocked(key) {
		return nil, ErrFull
	}
	p.open[key]++
	p.opened++
	return nil, nil
}

// lastUsable returns the index of the last usable connection, that of a lent one only if there is no
// other, and -1 if there is none.
func lastUsable(idle []*conn, usable func(*conn) bool) int {
	lent := -1
	for at, c := range slices.Backward(idle) {
		switch {
		case !usable(c):
		case !c.lent:
			return at
		case lent < 0:
			lent = at
		}
	}
	return lent
}

// closeIdleLocked closes the idle connection of this node's own that was used first, and returns false if
// there is none. mu must be held.
func (p *Pool) closeIdleLocked(key string) bool {
	at := slices.IndexFunc(p.idle[key], func(c *conn) bool { return !c.lent })
	if at < 0 {
		return false
	}
	_ = p.idle[key][at].Close()
	p.idle[key] = slices.Delete(p.idle[key], at, at+1)
	p.open[key]--
	return true
}

// mayUse reports whether a connection can carry the request.
func (r *Request) mayUse(c *conn) bool {
	return c.sends.admits(r) && (!r.Verify || c.verified || !c.sends.anonymous)
}

// spareParts is the part of the connections to a worker that are spare where they aren't short.
const spareParts = 8

// Dial opens a connection that isn't pooled, with the socket options of those to workers.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	return p.dial(ctx, address)
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: setUserTimeout, LocalAddr: p.source}
	return dialer.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func (p *Pool) discard(key string, c *conn) {
	_ = c.Close()
	if !c.lent {
		p.releaseSlot(key)
	}
}

func (p *Pool) releaseSlot(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[key]--
	if p.open[key] <= 0 {
		delete(p.open, key)
	}
}

func (p *Pool) recycle(key string, c *conn, limit time.Duration) {
	if c.dropsUnsent {
		if err := setLingerAndUserTimeout(c.Conn, lingerDefault, userTimeout); err != nil {
			p.discard(key, c)
			return
		}
		c.dropsUnsent = false
	}
	c.idleSince = time.Now()
	c.idleLimit = limit - idleMargin
	if c.lent {
		c.idleLimit = min(c.idleLimit, lentIdle)
	}
	_ = c.SetDeadline(time.Time{})
	p.addIdle(key, c)
}

// addIdle makes a connection available for other requests.
func (p *Pool) addIdle(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
	if c.lent {
		since := c.idleSince
		time.AfterFunc(lentIdle, func() { p.returnLent(key, c, since) })
	}
}

// CloseIdle closes the idle connections to a worker, for example when it is gone.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	idle := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(key, c)
	}
	if p.links != nil {
		p.links.Forget(key)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	keys := make([]string, 0, len(p.idle))
	for key := range p.idle {
		keys = append(keys, key)
	}
	p.mu.Unlock()
	for _, key := range keys {
		p.CloseIdle(key)
	}
}

// body is the body of an answer. Its connection is used again if the body was read to its end,
// the request was sent completely and no bytes follow.
type body struct {
	pool     *Pool
	key      string
	conn     *conn
	response *http.Response
	written  <-chan error
	ctx      context.Context
	stop     func() bool
	framing  Framing
	complete bool
	closed   bool
	// sentKnown tells that sent holds whether the request was sent completely.
	sentKnown, sent bool
}

// Read implements io.Reader. io.EOF proves that the body is complete, and ErrUnproved leaves it
// open. Any other error means that the body is incomplete, or can't be told from one that is.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.response.Body.Read(buffer)
	if count > 0 {
		b.pool.heardOn(b.key, b.conn)
	}
	switch {
	case err == nil:
		return count, nil
	case err != io.EOF:
		return count, cause(b.ctx, err)
	case b.framing == Unframed && !b.requestReceived():
		return count, errRequestCut
	case b.framing == Unframed:
		return count, ErrUnproved
	}
	if err := httphead.CheckTrailer(b.response); err != nil {
		return count, err
	}
	b.complete = true
	return count, io.EOF
}

// requestReceived reports whether the worker's machine has received the whole request. If it hasn't when the
// connection ends, the worker has broken off: a reset that meets the write of the request is reported to that
// write alone, and the read that follows it returns io.EOF.
func (b *body) requestReceived() bool {
	return b.requestSent() && tcpstate.Unacknowledged(b.conn.Conn) == 0
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	stopped := b.stop()
	if stopped && b.reusable() {
		b.pool.recycle(b.key, b.conn, keepAlive(b.response.Header))
		return nil
	}
	b.pool.discard(b.key, b.conn)
	return nil
}

func (b *body) reusable() bool {
	if !b.complete || b.response.Close || !b.conn.sends.mayCarryMore() {
		return false
	}
	if !b.requestSent() {
		return false
	}
	return b.conn.buffered() == 0
}

// requestSent reports whether the request body was sent completely.
func (b *body) requestSent() bool {
	if !b.sentKnown {
		b.sentKnown, b.sent = true, b.awaitSent()
	}
	return b.sent
}

// awaitSent waits for the end of sending the request body, for bodyWait at most.
func (b *body) awaitSent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
	}
	timer := time.NewTimer(bodyWait)
	defer timer.Stop()
	select {
	case err := <-b.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
