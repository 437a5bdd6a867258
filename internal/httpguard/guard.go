// Package httpguard serves HTTP to clients that may misbehave. One budget of memory covers all that
// the clients of a port make the process hold: connections, heads, bodies, and requests under way. Each
// part is reserved by what it costs before it is allocated. When the budget or the connections run
// short, the connections are closed that have held most for longest without progress, so that new
// clients are still served.
package httpguard

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Costs in bytes of memory.
const (
	// connectionCost is what net/http and the runtime hold for an open connection: two buffers of
	// 4 KiB and the stack of a goroutine.
	connectionCost = 20 << 10
	// requestCost is what a request under way takes beside its head and body.
	requestCost = 32 << 10
	// fieldCost is what a line of a head takes: the entry of the map of header fields, its slice and
	// strings, once as received and once as forwarded.
	fieldCost = 256
	// headByteCost is how often a byte of a head is held.
	headByteCost = 3
)

const (
	// smallHolding is what an ordinary request takes. With each doubling beyond it a connection may use
	// one of keptParts less of the budget, up to mostKept: what is left is for those that hold less.
	smallHolding = 64 << 10
	keptParts    = 8
	mostKept     = 4
	// largeGrace is how long a connection may go without progress before it can be evicted to make room for
	// a large holding.
	largeGrace = time.Second
	// evictionParts is the part of the budget, or of the connections, that is made free at a time.
	evictionParts = 64
)

// ErrNoRoom means that the clients of a port hold all memory that they may.
var ErrNoRoom = eris.New("the clients of this node hold all the memory that they may")

// Limits bound what one client may do. Zero values mean no bound.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout is how long a head may take from its first byte on, and IdleTimeout how long a
	// connection may stay open without a request.
	HeadTimeout, IdleTimeout time.Duration
	// StallTimeout is how far a client may fall behind LeastRate, in bytes a second, while the node
	// waits for it to send a body or to read an answer.
	StallTimeout time.Duration
	LeastRate    int
}

// Options configure a Guard.
type Options struct {
	// Port names the port in logs and metrics.
	Port string
	// Memory is the budget of all clients in bytes.
	Memory int64
	// Connections is the most that may be open.
	Connections int
	// Limits returns the limits in force. They may change.
	Limits func() Limits
	// Grace is how long a connection may go without progress before it can be evicted.
	Grace time.Duration
	// Brief tells that requests are answered at once, so that one under way counts as without progress.
	Brief bool
	// Turns are shared by the ports of a process. If it is nil, the port has its own.
	Turns *Turns
	Log   logrus.FieldLogger
}

// Guard bounds the clients of one port. It is safe for concurrent use.
type Guard struct {
	options Options
	done    chan struct{}
	once    sync.Once
	// limits are those in force, nil before Serve.
	limits atomic.Pointer[Limits]

	mu   sync.Mutex
	used int64
	// conns holds all connections that net/http knows, and open counts those that weren't closed here.
	conns map[*conn]struct{}
	open  int
	// lingering holds the connections of refused clients, the oldest first, and stopped tells that no more
	// are kept.
	lingering []lingering
	stopped   bool
	ended     map[Cause]uint64
	// logged is when a cause was logged last.
	logged map[Cause]time.Time
}

// New returns a guard of a port.
func New(options Options) *Guard {
	if options.Turns == nil {
		options.Turns = NewTurns()
	}
	return &Guard{
		options: options, done: make(chan struct{}),
		conns: make(map[*conn]struct{}), ended: make(map[Cause]uint64), logged: make(map[Cause]time.Time),
	}
}

// Serve serves the connections of a listener until the server is closed. It sets the server's hooks;
// the server's own timeouts should be zero.
func (g *Guard) Serve(server *http.Server, inner net.Listener) error {
	server.ConnState = g.connState
	server.ConnContext = withConn
	server.Handler = g.handler(server.Handler)
	boundBuffers(inner)
	go g.patrol()
	defer g.stop()
	return server.Serve(&listener{Listener: inner, guard: g})
}

type listener struct {
	net.Listener
	guard    *Guard
	accepted int
}

// acceptedAtOnce is how many connections are accepted before others may run.
const acceptedAtOnce = 16

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.accepted++; l.accepted%acceptedAtOnce == 0 {
			runtime.Gosched() // what has been accepted is served before more is accepted
		}
		if c := l.guard.admit(accepted); c != nil {
			return c, nil
		}
		reset(transport(accepted))
	}
}

func reset(c net.Conn) {
	if lingering, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = c.Close()
}

// admit returns the guarded connection, nil if there is no room for it.
func (g *Guard) admit(accepted net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: accepted, guard: g, since: now, credit: newCredit(now)}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.options.Connections {
		g.evict(c, g.options.Grace, max(g.options.Connections/evictionParts, 1), 0, now)
	}
	if g.open >= g.options.Connections || !g.reserve(c, connectionCost, now) {
		g.count(NoRoomToAccept, accepted, now)
		return nil
	}
	g.conns[c] = struct{}{}
	g.open++
	return c
}

// socketBuffer bounds each of the system's two buffers of a connection, which otherwise grow to megabytes
// for a client that doesn't read, or that sends faster than the node reads.
const socketBuffer = 128 << 10

// boundBuffers bounds the buffers of all connections that a listener accepts: they inherit its options.
func boundBuffers(inner net.Listener) {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed listener
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	})
}

// reserve reserves memory for a connection and evicts others if it is short. The caller holds the lock.
func (g *Guard) reserve(c *conn, bytes int64, now time.Time) bool {
	if c.evicted {
		return false
	}
	limit, grace := g.limitFor(c.held+bytes), g.options.Grace
	if limit < g.options.Memory {
		grace = largeGrace
	}
	if g.used+bytes > limit {
		g.evict(c, grace, 0, g.used+bytes-limit, now)
	}
	if g.used+bytes > limit {
		return false
	}
	g.used += bytes
	c.held += bytes
	return true
}

// limitFor returns how much of the budget may be used once a connection holds that much.
func (g *Guard) limitFor(holding int64) int64 {
	kept := int64(0)
	for size := int64(smallHolding); size < holding && kept < mostKept; size *= 2 {
		kept++
	}
	return g.options.Memory - g.options.Memory/keptParts*kept
}

// release gives back memory of a connection. The caller holds the lock.
func (g *Guard) release(c *conn, bytes int64) {
	if c.evicted {
		return
	}
	g.used -= bytes
	c.held -= bytes
}

// victim is a connection that could be evicted.
type victim struct {
	conn *conn
	// score is what it holds times how long it has made no progress.
	score float64
}

// evict closes the connections that have held most for longest without progress, until that many
// connections and bytes are free, or none is left that has been without progress for longer than grace. The
// caller holds the lock.
func (g *Guard) evict(except *conn, grace time.Duration, connections int, bytes int64, now time.Time) {
	if bytes > 0 {
		bytes = max(bytes, g.options.Memory/evictionParts)
	}
	closed := g.closeLingering(max(connections, int(bytes/lingerCost)), now)
	connections -= closed
	bytes -= int64(closed) * lingerCost
	for _, each := range g.victims(except, grace, now) {
		if connections <= 0 && bytes <= 0 {
			return
		}
		connections--
		bytes -= each.conn.held
		g.close(each.conn, Evicted, now)
	}
}

// victims returns the connections that could be evicted, those with the highest score first.
func (g *Guard) victims(except *conn, grace time.Duration, now time.Time) []victim {
	var found []victim
	for c := range g.conns {
		stalled := c.stalled(now)
		if c == except || c.evicted || stalled < grace {
			continue
		}
		found = append(found, victim{c, float64(c.held) * stalled.Seconds()})
	}
	slices.SortFunc(found, func(a, b victim) int { return cmp.Compare(b.score, a.score) })
	return found
}

// close closes a connection and gives back what it holds; its goroutines end at their next call. The
// caller holds the lock.
func (g *Guard) close(c *conn, cause Cause, now time.Time) {
	if c.evicted {
		return
	}
	g.count(cause, c.Conn, now)
	g.used -= c.held
	g.open--
	c.held, c.evicted = 0, true
	if inner := transport(c.Conn); c.phase == idle {
		_ = inner.Close()
	} else {
		reset(inner)
	}
}

// transport returns the connection below TLS, whose Close may wait for the client.
func transport(c net.Conn) net.Conn {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return c
}

// forget removes a connection that net/http has closed or handed over.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c, c.held)
	if !c.evicted && c.phase != ended {
		g.open--
	}
	c.phase = ended
	delete(g.conns, c)
}

// patrolInterval is the interval at which the time limits are checked.
const patrolInterval = 100 * time.Millisecond

// patrol closes the connections of clients that exceed a time limit.
func (g *Guard) patrol() {
	ticker := time.NewTicker(patrolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case now := <-ticker.C:
			g.closeOverdue(*g.refreshLimits(), now)
		}
	}
}

// refreshLimits takes over the limits in force and returns them.
func (g *Guard) refreshLimits() *Limits {
	limits := g.options.Limits()
	g.limits.Store(&limits)
	return &limits
}

// currentLimits returns the limits as of the last patrol.
func (g *Guard) currentLimits() *Limits {
	if limits := g.limits.Load(); limits != nil {
		return limits
	}
	return g.refreshLimits()
}

func (g *Guard) closeOverdue(limits Limits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeLingering(0, now)
	for c := range g.conns {
		if cause := c.overdue(limits, now); cause != "" {
			g.close(c, cause, now)
		}
	}
}

// connState is the http.Server.ConnState of a guarded server.
func (g *Guard) connState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.rest()
	case http.StateClosed, http.StateHijacked:
		g.forget(c)
	}
}

type connKey struct{}

// withConn is the http.Server.ConnContext of a guarded server.
func withConn(ctx context.Context, inner net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, inner)
}

// Conn returns the connection that a request of a guarded server came on, nil for other requests.
func Conn(ctx context.Context) net.Conn {
	inner, _ := ctx.Value(connKey{}).(net.Conn)
	return inner
}
