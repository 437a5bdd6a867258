// Package connlimit bounds the connections of an HTTP server. Beyond the bound, new ones are reset
// at once with nothing read, so that their clients connect to another node, and the process keeps
// descriptors and memory for what it has accepted.
package connlimit

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Limit counts the connections of one server. It is safe for concurrent use.
type Limit struct {
	most    int64
	open    atomic.Int64
	refused atomic.Uint64
}

// New returns a limit of that many open connections.
func New(most int) *Limit { return &Limit{most: int64(most)} }

// Open returns the number of open connections.
func (l *Limit) Open() int64 { return l.open.Load() }

// Refused returns the number of connections that were reset at the limit.
func (l *Limit) Refused() uint64 { return l.refused.Load() }

// ConnState must be the server's ConnState. The server calls it with each connection before it
// accepts the next one.
func (l *Limit) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// Listener returns a listener whose connections are counted by ConnState.
func (l *Limit) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limit *Limit
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil || l.limit.open.Load() < l.limit.most {
			return accepted, err
		}
		l.limit.refused.Add(1)
		reset(accepted)
	}
}

func reset(c net.Conn) {
	if linger, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = linger.SetLinger(0)
	}
	_ = c.Close()
}
