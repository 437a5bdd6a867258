package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// reportWait is how long to wait for the report of a usage window: some windows and the longest
// time for which the reporter waits for other nodes.
const reportWait = 3*usageWindow + 3*time.Second

// replaceAllAndRestore backs up the store, waits until another usage window has been reported,
// restarts all nodes one after the other, and restores the store from the backup. What was
// recorded since the backup is then known only to nodes that learned it from those before them.
func (s *site) replaceAllAndRestore(ctx context.Context, _ time.Duration) string {
	taken := s.backUp()
	reported := s.awaitReport(ctx)
	for _, number := range s.random.Perm(len(s.nodes)) {
		node := s.nodes[number]
		if s.random.IntN(2) == 0 {
			s.restart(ctx, node)
		} else {
			begun := time.Now()
			node.Kill()
			_ = node.Start()
			s.limits.recordFault(node.Name, begun, time.Now())
		}
		readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
		for !node.Ready(readyCtx) && readyCtx.Err() == nil {
			sleep(readyCtx, pollInterval)
		}
		cancel()
	}
	restored := s.restoreOnce(rand.New(rand.NewPCG(s.random.Uint64(), s.options.Seed)), taken)
	return fmt.Sprintf("restarted all nodes one after the other (a window was reported before: %v; the store was restored after: %v)", reported, restored)
}

// awaitReport waits until a usage window that wasn't reported before has been reported, and
// reports whether one has.
func (s *site) awaitReport(ctx context.Context) bool {
	before := len(s.api.Reports())
	for end := time.Now().Add(reportWait); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		if len(s.api.Reports()) > before {
			return true
		}
	}
	return false
}
