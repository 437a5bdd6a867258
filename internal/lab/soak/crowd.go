package soak

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Durations of crowds.
const (
	minCrowd  = 3 * time.Second
	maxCrowd  = 6 * time.Second
	meanSpare = 2 * time.Second
)

// crowdConnections is the limit of connections to a worker in runs with crowds: more than all callers
// need together, and a node's share of it is less.
const crowdConnections = callerCount

// crowd is the node that callers come to, counted from one; zero if they come to all.
type crowd struct{ node atomic.Int64 }

// address returns the address of the node that a caller comes to.
func (s *site) address(random *rand.Rand) string {
	chosen := random.IntN(len(s.callers))
	if node := int(s.crowd.node.Load()); node > 0 {
		chosen = node - 1
	}
	return s.callers[chosen]
}

// crowdRepeatedly lets all callers come to one node, then to all, then to another one, until ctx
// is done.
func (s *site) crowdRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, callerCount+4))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(2*meanSpare))))
		s.crowd.node.Store(1 + int64(random.IntN(len(s.callers))))
		sleep(ctx, minCrowd+time.Duration(random.Int64N(int64(maxCrowd-minCrowd))))
		s.crowd.node.Store(0)
	}
}

// maxConnections is the limit of connections to a worker.
func (o Options) maxConnections() int {
	if o.Crowds {
		return crowdConnections
	}
	return 200
}
