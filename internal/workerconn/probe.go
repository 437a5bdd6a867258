package workerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/tunnel"
)

// Liveness is what an attempt to connect tells about a worker.
type Liveness string

// These are the results of a probe.
const (
	// Alive workers accept connections.
	Alive Liveness = "alive"
	// Dead workers have ended: nothing listens at their address.
	Dead Liveness = "dead"
	// Unheard workers don't answer: the worker, its machine or the network may be down.
	Unheard Liveness = "unheard"
	// UnreachedByAll workers don't answer other nodes either.
	UnreachedByAll Liveness = "unreached"
)

const (
	// listenerDelay is how long the listener of a process that has ended may still accept
	// connections after the first of its connections was closed. The kernel closes what was
	// opened last first, and takes some microseconds a connection.
	listenerDelay = 20 * time.Millisecond
	// connectTimeout is twice the round trip to another region. The kernel drops a connection
	// that is being opened while its listener closes, and the next one is refused.
	connectTimeout = 50 * time.Millisecond
	// maxConnects bounds the connections of a probe. A worker that closes so many of them at
	// once lives, and takes no more connections.
	maxConnects = 3
)

// Look opens a connection to a worker and closes it at once. It tells whether a worker whose
// answer was cut off has ended.
func (p *Pool) Look(ctx context.Context, key, address string) Liveness {
	c, state := p.probeEither(ctx, key, address)
	if c != nil {
		_ = c.Close()
	}
	return state
}

// Probe tells whether a worker still accepts connections. The connection is kept for the next
// request, unless another one is idle or the limit is reached.
func (p *Pool) Probe(ctx context.Context, key, address string, limit int) Liveness {
	inner, state := p.probeEither(ctx, key, address)
	if inner == nil {
		return state
	}
	c := newConn(inner)
	c.idleSince, c.idleLimit = time.Now(), defaultIdle-idleMargin
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) > 0 || limit > 0 && p.open[key] >= limit {
		_ = inner.Close()
		return state
	}
	p.open[key]++
	p.opened++
	p.idle[key] = append(p.idle[key], c)
	return state
}

// probeEither probes a worker over this node's own link, and through another node if that link is
// lost or shows no worker that takes connections: the link may be what has failed.
func (p *Pool) probeEither(ctx context.Context, key, address string) (net.Conn, Liveness) {
	if p.links == nil || p.tunnels == nil {
		return p.probe(ctx, address)
	}
	begun, state := time.Now(), Unheard
	if !p.links.IsLost(key) {
		var c net.Conn
		if c, state = p.probe(ctx, address); c != nil {
			p.links.Accepted(key, time.Now())
			return c, state
		}
	}
	through, err := p.tunnels.Open(ctx, key, "")
	switch {
	case err == nil && staysOpen(ctx, through):
		p.links.Lose(key, through.Node().String(), begun, time.Now())
		return through, Alive
	case err == nil:
		_ = through.Close()
		return nil, Alive
	case errors.Is(err, tunnel.ErrRefused):
		return nil, Dead
	case state == Unheard && errors.Is(err, tunnel.ErrUnheard):
		return nil, UnreachedByAll
	case state == Dead && p.links.Lost() != nil:
		return nil, Unheard // what refuses connections may be the network
	}
	return nil, state
}

// probe opens a connection to a worker that may just have ended. It returns the connection if
// that is still open after listenerDelay.
func (p *Pool) probe(ctx context.Context, address string) (net.Conn, Liveness) {
	state := Unheard
	for range maxConnects {
		c, err := p.dialFor(ctx, connectTimeout, address)
		switch {
		case err == nil && staysOpen(ctx, c):
			return c, Alive
		case err == nil:
			_ = c.Close()
			state = Alive
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil, Dead
		case errors.Is(err, syscall.ECONNRESET):
			state = Alive
		}
	}
	return nil, state
}

func (p *Pool) dialFor(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.dial(ctx, address)
}

// staysOpen reports whether a new connection, on which nothing was sent, isn't closed by its peer
// within listenerDelay.
func staysOpen(ctx context.Context, c net.Conn) bool {
	until := time.Now().Add(listenerDelay)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
		until = deadline
	}
	_ = c.SetReadDeadline(until)
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}
