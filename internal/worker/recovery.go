package worker

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRecoveryWindow is how many requests a node may have at a worker until it counts as
	// recovered.
	maxRecoveryWindow = 16
	// recoveryRetryAfter is when a request is worth another try that a recovering worker doesn't take.
	recoveryRetryAfter = 50 * time.Millisecond
)

// recovery has the load of a worker that has asked for a pause come back step by step: one
// request, then twice as many with each that it served. The zero value is a worker that has
// recovered.
type recovery struct {
	// window is how many requests this node may have there, zero for any number.
	window int
}

// admits reports whether a worker may get a further request, with so many there.
func (r recovery) admits(requests int) bool { return r.window == 0 || requests < r.window }

// served records a request that was served.
func (r *recovery) served() {
	r.window *= 2
	if r.window > maxRecoveryWindow {
		r.window = 0
	}
}

// backoffJitter is the part of a pause by which a node extends it at most, by chance: nodes that
// were told at one moment don't come back at one moment.
const backoffJitter = 0.1

// addJitter extends a pause.
func addJitter(pause time.Duration) time.Duration {
	return pause + time.Duration(backoffJitter*rand.Float64()*float64(pause))
}
