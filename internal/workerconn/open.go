package workerconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/tunnel"
)

const (
	// tunnelDelay is how long this node's own attempt to connect is waited for before another node
	// is asked too: longer than two round trips to another region.
	tunnelDelay = 100 * time.Millisecond
	// heardInterval is the shortest time between two records of a worker that sends on one
	// connection.
	heardInterval = 100 * time.Millisecond
	// checkTimeout bounds the check of a lost link.
	checkTimeout = 200 * time.Millisecond
)

// Tunnels opens connections to workers through other nodes, as implemented by tunnel.Client.
type Tunnels interface {
	// Open opens a connection to a worker for a request.
	Open(ctx context.Context, worker, request string) (*tunnel.Conn, error)
	// Borrow opens a connection to a worker for a request that counts as one of another node.
	Borrow(ctx context.Context, worker, request string) (*tunnel.Conn, error)
	// Usable reports whether an idle connection may carry another request.
	Usable(opened *tunnel.Conn) bool
}

// SetTunnels sets how connections are opened to workers whose links are lost. SetLinks must have
// been called before.
func (p *Pool) SetTunnels(tunnels Tunnels) { p.tunnels = tunnels }

// errLinkLost is the cause where a lost link is known and no other node can be used.
var errLinkLost = eris.New("this node's link to the worker is lost")

// openError means that no connection to a worker was had, neither by this node's own link nor
// through another node.
type openError struct {
	cause error
	// tunnel is why there was none through another node.
	tunnel error
}

// Error implements error.
func (e *openError) Error() string { return e.cause.Error() + "; " + e.tunnel.Error() }

// Unwrap returns the cause.
func (e *openError) Unwrap() error { return e.cause }

// ownLink reports whether no other node has confirmed that the worker isn't reached.
func (e *openError) ownLink() bool {
	return !errors.Is(e.tunnel, tunnel.ErrRefused) && !errors.Is(e.tunnel, tunnel.ErrUnheard)
}

// unsent returns the error of a request of which nothing was sent.
func unsent(err error) *SendError {
	failure := &SendError{Unsent: true, Cause: err}
	var failed *openError
	if errors.As(err, &failed) {
		failure.Unreached, failure.OwnLink = true, failed.ownLink()
	}
	return failure
}

// openConn opens a connection to a worker: over this node's own link, or through another node if that
// is lost or turns out to be.
func (p *Pool) openConn(ctx context.Context, key, address string, request *Request) (net.Conn, error) {
	switch {
	case p.links == nil:
		return p.dial(ctx, address)
	case p.tunnels == nil || request.DirectOnly:
		return p.openDirect(ctx, key, address)
	case p.links.IsLost(key):
		return p.openThrough(ctx, key, address, request)
	}
	return p.openEither(ctx, key, address, request)
}

// openDirect opens a connection over this node's own link.
func (p *Pool) openDirect(ctx context.Context, key, address string) (net.Conn, error) {
	begun := time.Now()
	opened, err := p.dial(ctx, address)
	if err == nil {
		p.links.Accepted(key, time.Now())
	} else if ctx.Err() == nil {
		p.links.Failed(key, begun, time.Now(), err)
	}
	return opened, err
}

// openThrough opens a connection through another node. If no node can be asked, a link that has
// passed a check is used at once.
func (p *Pool) openThrough(ctx context.Context, key, address string, request *Request) (net.Conn, error) {
	go p.CheckLink(key, address)
	opened, err := p.tunnels.Open(ctx, key, request.ID)
	switch {
	case err == nil:
		return opened, nil
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	case errors.Is(err, tunnel.ErrNoNode) && p.links.HasPassed(key):
		return p.openDirect(ctx, key, address)
	}
	return nil, &openError{cause: errLinkLost, tunnel: err}
}

// attempt is the result of one of two ways to open a connection.
type attempt struct {
	opened net.Conn
	err    error
}

// openEither opens a connection over this node's own link. If that fails or takes too long it
// tries another node too, and takes the first connection that it gets. The link is lost if that is
// the other node's.
func (p *Pool) openEither(ctx context.Context, key, address string, request *Request) (net.Conn, error) {
	begun := time.Now()
	if err := p.links.KnownFailure(key, begun); err != nil {
		return nil, knownFailure(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan attempt, 1)
	go func() {
		opened, err := p.dial(ctx, address)
		direct <- attempt{opened, err}
	}()
	first, got := p.awaitFirst(ctx, direct)
	if got && first.err == nil {
		p.links.Accepted(key, time.Now())
		return first.opened, nil
	}
	through := make(chan attempt, 1)
	go func() {
		opened, err := p.tunnels.Open(ctx, key, request.ID)
		if err != nil {
			through <- attempt{err: err}
			return
		}
		through <- attempt{opened: opened}
	}()
	if got {
		direct <- first
	}
	return p.firstOf(ctx, key, begun, direct, through)
}

// errUnasked is why there was no connection through another node where none was asked.
var errUnasked = eris.New("no other node was asked")

// knownFailure returns the error of a request for which no connection is opened, since the last attempts
// failed. Where they were requests that timed out, no other node has confirmed that the worker isn't reached.
func knownFailure(cause error) error {
	var failed *openError
	if errors.As(cause, &failed) {
		return cause
	}
	return &openError{cause: cause, tunnel: errUnasked}
}

// awaitFirst waits for this node's own attempt for tunnelDelay.
func (p *Pool) awaitFirst(ctx context.Context, direct <-chan attempt) (first attempt, got bool) {
	timer := time.NewTimer(tunnelDelay)
	defer timer.Stop()
	select {
	case first = <-direct:
		return first, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return attempt{}, false
}

// firstOf returns the first connection of two attempts, and closes a later one.
func (p *Pool) firstOf(ctx context.Context, key string, begun time.Time, direct, through <-chan attempt) (net.Conn, error) {
	var directErr, tunnelErr error
	for directErr == nil || tunnelErr == nil {
		select {
		case got := <-direct:
			if got.err == nil {
				p.links.Accepted(key, time.Now())
				if tunnelErr == nil {
					go closeLate(through)
				}
				return got.opened, nil
			}
			directErr = got.err
		case got := <-through:
			if got.err == nil {
				p.links.Lose(key, got.opened.(*tunnel.Conn).Node().String(), begun, time.Now())
				if directErr == nil {
					go closeLate(direct)
				}
				return got.opened, nil
			}
			tunnelErr = got.err
		}
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx) // the attempt through another node was broken off and tells nothing
	}
	failure := &openError{cause: directErr, tunnel: tunnelErr}
	p.links.Failed(key, begun, time.Now(), failure)
	return nil, failure
}

func closeLate(late <-chan attempt) {
	if got := <-late; got.opened != nil {
		_ = got.opened.Close()
	}
}

// throughOther marks the failure of a request that was sent through another node: the way there may
// be its cause.
func throughOther(c *conn, err error) error {
	var failure *SendError
	if c.through() != "" && errors.As(err, &failure) {
		failure.OwnLink = true
	}
	return err
}

// LinkLost reports whether this node's own link to a worker is lost.
func (p *Pool) LinkLost(key string) bool { return p.links != nil && p.links.IsLost(key) }

// CheckLink checks a lost link if that is due.
func (p *Pool) CheckLink(key, address string) {
	if !p.links.BeginCheck(key, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	opened, err := p.dial(ctx, address)
	reached := err == nil && staysOpen(ctx, opened)
	if err == nil {
		_ = opened.Close()
	}
	p.links.Checked(key, reached, time.Now())
}

// heardOn records that a worker sent something on a connection.
func (p *Pool) heardOn(key string, c *conn) {
	now := time.Now()
	if p.links == nil || c.through() != "" || now.Sub(c.heard) < heardInterval {
		return
	}
	c.heard = now
	p.links.Heard(key, now)
}

// failedAfter records that nothing was heard of a worker any more after a request was sent.
func (p *Pool) failedAfter(key string, c *conn, sent time.Time, err error) {
	if p.links != nil && c.through() == "" && errors.Is(err, syscall.ETIMEDOUT) {
		p.links.Failed(key, sent, time.Now(), err)
	}
}
