package workerconn

import (
	"context"
	"errors"
	"net"
	"syscall"
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
)

// Probe opens a connection to a worker and closes it at once. It tells whether a worker whose
// answer was cut off has ended.
func Probe(ctx context.Context, address string) Liveness {
	c, state := connect(ctx, address)
	if state == Alive {
		_ = c.Close()
	}
	return state
}

// connect opens a connection to a worker, nil unless the worker is Alive.
func connect(ctx context.Context, address string) (net.Conn, Liveness) {
	c, err := dial(ctx, address)
	switch {
	case err == nil:
		return c, Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Dead
	}
	return nil, Unheard
}
