package serving

import (
	"context"
	"sync"
	"time"
)

const (
	// sharedCallInterval is the shortest time between two calls of a kind that requests cause, and
	// sharedCallTimeout bounds each.
	sharedCallInterval = 100 * time.Millisecond
	sharedCallTimeout  = 400 * time.Millisecond
)

// sharedCall makes a call to the store for requests. Requests that wait at the same time share one.
type sharedCall[T any] struct {
	call func(ctx context.Context) (T, error)
	log  func(err error)

	mu sync.Mutex
	// begun is when the last call began, and result and err are how it ended.
	begun  time.Time
	result T
	err    error
}

// after returns the result of a call that began after a time, and false if it failed.
func (c *sharedCall[T]) after(ctx context.Context, since time.Time) (T, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun.After(since) {
		sleepFor(ctx, sharedCallInterval-time.Since(c.begun))
		// The call is made for others too, who stay if this request's caller leaves.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sharedCallTimeout)
		defer cancel()
		c.begun = time.Now()
		c.result, c.err = c.call(callCtx)
		if c.err != nil {
			c.log(c.err)
		}
	}
	return c.result, c.err == nil
}
