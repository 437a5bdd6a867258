// Package httpguard serves HTTP to clients that may misbehave. One budget of memory covers all that
// the clients of a port make the process hold: connections, heads, bodies, and requests under way. Each
// part is reserved by what it costs before it is allocated. When the budget or the connections run
// short, the connections are closed that have held most for longest without progress, so that new
// clients are still served.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
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
	// waits for it to send a body, and AnswerTimeout the same while it waits for it to read an answer.
	StallTimeout, AnswerTimeout time.Duration
	LeastRate                   int
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
	// searched is when no connection was last found that could be evicted, and searchedGrace with which grace.
	searched      time.Time
	searchedGrace time.Duration
	// searchedReaders is when EvictReaders last searched, and searchedSilent when evictSilent last found nobody.
	searchedReaders, searchedSilent time.Time
	ended                           map[Cause]uint64
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

// admit returns the guarded connection, nil if there is no room for it.
func (g *Guard) admit(accepted net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: accepted, guard: g, since: now, credit: newCredit(now)}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.options.Connections {
		g.evict(c, g.options.Grace, max(g.options.Connections/evictionParts, 1), 0, now)
	}
	if g.open >= g.options.Connections {
		g.evictSilent(c, max(g.options.Connections/evictionParts, 1), 0, now)
	}
	if g.open >= g.options.Connections || !g.reserve(c, connectionCost, 0, now) {
		g.count(NoRoomToAccept, accepted, now)
		return nil
	}
	g.conns[c] = struct{}{}
	g.open++
	return c
}

// reserve reserves memory for a connection, which will hold that much more later, and evicts others if it is
// short. The caller holds the lock.
func (g *Guard) reserve(c *conn, bytes, later int64, now time.Time) bool {
	if c.dropped {
		return false
	}
	limit, grace := g.limitFor(c.held+bytes+later), g.options.Grace
	if limit < g.options.Memory {
		grace = largeGrace
	}
	if g.used+bytes > limit {
		g.evict(c, grace, 0, g.used+bytes-limit, now)
	}
	if g.used+bytes > limit && grace < largeGrace {
		g.evictSilent(c, 0, g.used+bytes-limit, now)
		g.closeLingering(max(int((g.used+bytes-limit+lingerCost-1)/lingerCost), 0), now)
	}
	if g.used+bytes > limit {
		return false
	}
	g.used += bytes
	c.held += bytes
	return true
}

// limitFor returns how much of the budget may be used once a connection holds that much. What is kept for those
// that hold less is kept beside what lingers. The caller holds the lock.
func (g *Guard) limitFor(holding int64) int64 {
	kept := int64(0)
	for size := int64(smallHolding); size < holding && kept < mostKept; size *= 2 {
		kept++
	}
	if kept == 0 {
		return g.options.Memory
	}
	return g.options.Memory - g.options.Memory/keptParts*kept - int64(len(g.lingering))*lingerCost
}

// release gives back memory of a connection. The caller holds the lock.
func (g *Guard) release(c *conn, bytes int64) {
	if c.dropped {
		return
	}
	g.used -= bytes
	c.held -= bytes
}

// forget removes a connection that net/http has closed or handed over.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c, c.held)
	if !c.dropped && c.phase != ended {
		g.open--
	}
	c.phase = ended
	delete(g.conns, c)
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
