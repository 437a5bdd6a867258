package worker

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRecoveryWindow is the largest limit; a worker that serves a request at this limit has
	// recovered.
	maxRecoveryWindow = 16
	// recoveryRetryAfter is when a request that a recovering worker doesn't accept should be
	// tried again.
	recoveryRetryAfter = 50 * time.Millisecond
)

// recovery limits the requests under way at a worker after a pause that it asked for, like slow
// start: one request at first, and twice as many after each that it served. The zero value is a
// worker that has recovered.
type recovery struct {
	// window is the number of requests that this node may have under way there, zero for no
	// limit.
	window int
}

// admits reports whether a worker with so many requests under way may get another.
func (r recovery) admits(requests int) bool { return r.window == 0 || requests < r.window }

// served records a successful request.
func (r *recovery) served() {
	r.window *= 2
	if r.window > maxRecoveryWindow {
		r.window = 0
	}
}

// backoffJitter is the largest random extension of a pause, as a fraction of it, so that nodes
// that were told to pause at the same time don't resume at the same time.
const backoffJitter = 0.1

// addJitter extends a pause by a random part.
func addJitter(pause time.Duration) time.Duration {
	return pause + time.Duration(backoffJitter*rand.Float64()*float64(pause))
}
