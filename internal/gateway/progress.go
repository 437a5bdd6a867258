package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/peer"
)

// progressEvery is how long progress reports are collected before they are sent.
const progressEvery = 10 * time.Millisecond

type reportTarget struct {
	address string
	cell    string
}

// reporter sends progress reports on attempts to the nodes that placed them, in batches.
type reporter struct {
	client *peer.Client
	mu     sync.Mutex
	queued map[reportTarget][]cell.Progress
	wake   chan struct{}
}

func newReporter(client *peer.Client) *reporter {
	return &reporter{client: client, queued: map[reportTarget][]cell.Progress{}, wake: make(chan struct{}, 1)}
}

func (r *reporter) report(p placement, step cell.ProgressType) {
	target := reportTarget{address: p.placedBy, cell: p.cell}
	r.mu.Lock()
	r.queued[target] = append(r.queued[target], cell.Progress{Attempt: p.ticket.Attempt, Type: step})
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends reports until ctx ends, and then those that are left.
func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			r.flush()
			return
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(progressEvery):
		}
		r.flush()
	}
}

func (r *reporter) flush() {
	r.mu.Lock()
	queued := r.queued
	r.queued = map[reportTarget][]cell.Progress{}
	r.mu.Unlock()
	for target, reports := range queued {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		// After a lost report, the placing node learns from the engine's status.
		_ = r.client.Notify(ctx, target.address, MethodProgress, cell.ProgressBatch{Cell: target.cell, Reports: reports})
		cancel()
	}
}
