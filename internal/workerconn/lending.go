package workerconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/tunnel"
)

// lentIdle is how long an idle connection that another node has lent is kept. As long as it is, that
// node has one connection less for its own callers.
const lentIdle = 100 * time.Millisecond

// borrow opens a connection that counts as another node's, since all of this node's are in use.
func (p *Pool) borrow(ctx context.Context, key string, request *Request) (*conn, error) {
	if p.tunnels == nil || !request.Borrow {
		return nil, ErrFull
	}
	inner, err := p.tunnels.Borrow(ctx, key, request.ID)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	default:
		return nil, ErrFull
	}
	c := newConn(inner)
	c.lent, c.idleSince, c.idleLimit = true, time.Now(), lentIdle
	return c, nil
}

const (
	// keptShare is the part of a limit that a node with callers doesn't lend, for their next requests.
	keptShare = 8
	// callersFor is how long after a caller's request a node counts as one with callers.
	callersFor = time.Second
)

// hasSpare reports whether a connection may be lent within a limit.
func (p *Pool) hasSpare(key string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.open[key]
	for _, c := range p.idle[key] {
		if !c.lent {
			used--
		}
	}
	kept := 0
	if time.Since(p.usedAt) < callersFor {
		kept = max(limit/keptShare, 1)
	}
	return limit == 0 || used < limit-kept
}

// Lend opens a connection to a worker for another node, or takes an idle one that has carried nothing: what it
// carried would have to be known to the other node. It counts as this node's until it is closed. The error is
// tunnel.ErrFull if none of limit connections is spare.
func (p *Pool) Lend(ctx context.Context, key, address string, limit int) (net.Conn, error) {
	for p.hasSpare(key, limit) {
		c, err := p.takeIdle(key, limit, (*conn).mayBeLent)
		switch {
		case err != nil:
			return nil, tunnel.ErrFull
		case c == nil:
			return p.lendNew(ctx, key, address)
		case c.quiet():
			return p.lent(key, c.Conn), nil
		}
		p.discard(key, c)
	}
	return nil, tunnel.ErrFull
}

func (p *Pool) lendNew(ctx context.Context, key, address string) (net.Conn, error) {
	inner, err := p.dial(ctx, address)
	if err != nil {
		p.releaseSlot(key)
		return nil, err
	}
	return p.lent(key, inner), nil
}

func (p *Pool) lent(key string, inner net.Conn) net.Conn {
	return &lentConn{Conn: inner, release: sync.OnceFunc(func() { p.releaseSlot(key) })}
}

// lentConn is a connection that was lent to another node.
type lentConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *lentConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// SetLinger sets the linger time of the connection, so that it can be reset.
func (c *lentConn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *lentConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("%T is no socket", c.Conn)
	}
	return inner.SyscallConn()
}

// mayBeLent reports whether a connection can be handed over to another node.
func (c *conn) mayBeLent() bool { return c.sends.unused() && c.through() == "" && !c.lent }

// returnLent closes a lent connection that has been idle since a time.
func (p *Pool) returnLent(key string, c *conn, since time.Time) {
	p.mu.Lock()
	at := slices.Index(p.idle[key], c)
	idle := at >= 0 && c.idleSince.Equal(since)
	if idle {
		p.idle[key] = slices.Delete(p.idle[key], at, at+1)
	}
	p.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
