package workerconn

import (
	"context"
	"errors"
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
	probe, err := dial(ctx, address)
	switch {
	case err == nil:
		_ = probe.Close()
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Dead
	}
	return Unheard
}
