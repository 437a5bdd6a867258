package serving

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/resumption"
)

// pastTable holds one row: the resumption.Past. The designated node writes it when it changes: in a
// fleet of one software version whose routes don't move, once.
const (
	pastTable = "streams"
	pastKey   = "past"
)

const (
	// keepPastInterval is the time between two looks of the designated node at what there is to
	// write.
	keepPastInterval = 250 * time.Millisecond
	// keepPastBackoff is the time until the next one after the store failed.
	keepPastBackoff = time.Second
	// sharedCallInterval is the shortest time between two calls of a kind that requests cause, and
	// sharedCallTimeout bounds each.
	sharedCallInterval = 100 * time.Millisecond
	sharedCallTimeout  = 400 * time.Millisecond
)

// keepPast writes the past to the store while this node is designated, until ctx ends.
func (n *Node) keepPast(ctx context.Context) {
	writer := &pastWriter{node: n, keeper: resumption.NewPastKeeper()}
	wait := keepPastInterval
	for sleepFor(ctx, wait) {
		wait = keepPastInterval
		if !n.Designated() {
			writer.known = false
			continue
		}
		if !writer.update(ctx) {
			wait = keepPastBackoff
		}
	}
}

// pastWriter keeps the row of the past up to date.
type pastWriter struct {
	node   *Node
	keeper *resumption.PastKeeper
	// known tells that written is what the row held in the era.
	known   bool
	era     uint64
	written string
}

// update writes the row if it lacks something or holds something that is over. It returns false if
// the store failed. A store that was restored may have an older row.
func (w *pastWriter) update(ctx context.Context) bool {
	if w.known {
		w.observe(keepPastBackoff + 2*keepPastInterval)
	}
	if era := w.node.platform.Era(); !w.known || w.era != era {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		past, err := w.node.readPast(readCtx)
		cancel()
		if err != nil {
			w.node.log.WithField("cause", err.Error()).Warn("what streams may have begun at lately can't be read")
			return false
		}
		w.keeper.Observe(past, time.Now())
		w.known, w.era, w.written = true, era, encodePast(past)
		w.observe(resumption.Life) // what nobody has written while no node was designated
	}
	past := w.keeper.Past(time.Now())
	encoded := encodePast(past)
	if encoded == w.written {
		return true
	}
	put := func(ctx context.Context) error {
		return w.node.platform.Put(ctx, pastTable, pastKey, []byte(encoded))
	}
	if !w.node.tryCall(ctx, "write what streams may have begun at lately", put) {
		return false
	}
	w.written = encoded
	w.node.log.WithFields(logrus.Fields{"versions": past.Versions, "moved": len(past.Moved), "any_moved": past.AnyMoved}).
		Info("what streams may have begun at lately was written")
	return true
}

// observe adds what this node has seen lately.
func (w *pastWriter) observe(lookBack time.Duration) {
	now := time.Now()
	w.keeper.Observe(w.node.seenSince(now.Add(-lookBack)), now)
}

func encodePast(past resumption.Past) string {
	encoded, _ := json.Marshal(past) // strings and a flag can always be encoded
	return string(encoded)
}

// seenSince returns the versions and moved routes that this node has seen since a time.
func (n *Node) seenSince(since time.Time) resumption.Past {
	seen := resumption.Past{Versions: make(map[string][]string), Moved: n.routes.movedSince(since), RoutesDigest: n.routes.currentDigest()}
	for _, service := range n.servicesByName() {
		seen.Versions[service.Name] = n.registry.SoftwareSince(service.Name, since)
	}
	return seen
}

// readPast reads the past from the store, empty if nothing was written.
func (n *Node) readPast(ctx context.Context) (resumption.Past, error) {
	rows, _, err := n.platform.ReadSome(ctx, pastTable, 1)
	if err != nil || len(rows) == 0 {
		return resumption.Past{}, err
	}
	var past resumption.Past
	err = json.Unmarshal(rows[0].Value, &past)
	return past, err
}

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
