package workerconn

import (
	"context"
	"errors"
	"syscall"
)

// Liveness is what a new connection tells of a worker.
type Liveness string

// The states of a worker whose connections broke off.
const (
	// Alive workers take connections.
	Alive Liveness = "alive"
	// Dead workers have left nobody at their address.
	Dead Liveness = "dead"
	// Unheard workers give no answer: they, their machine or the way to them may be down.
	Unheard Liveness = "unheard"
)

// Probe opens a connection to a worker and closes it at once, to tell a worker that has
// ended from one that only broke an answer off.
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
