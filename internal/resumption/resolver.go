package resumption

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// Sole is the only origin that the streams of a route can have had for some time.
type Sole struct {
	Origin
	// Since is from when on it was the only one.
	Since time.Time
}

// Nodes are the other nodes.
type Nodes interface {
	// AskOrigin asks the other nodes for the origin of a stream. It returns once one of them knows
	// the stream, all have answered, or the time for that is over.
	AskOrigin(ctx context.Context, key Key) Answers
}

// Answers are what other nodes answered.
type Answers struct {
	Origin Origin
	// Known tells that a node knows the stream's Origin.
	Known bool
	// Silent counts the nodes that were asked and didn't answer in time.
	Silent int
}

// History is what this node has followed of routes and workers.
type History interface {
	// SoleOrigin returns the sole origin of a route, and false if there are several or none.
	SoleOrigin(route string) (Sole, bool)
	// IsCurrent asks the store whether what this node has followed is complete as of a time after
	// the given one. told is false if the store didn't answer in time.
	IsCurrent(ctx context.Context, since time.Time) (current, told bool)
	// ReadPast reads the past from the store, as of a time that isn't before the given one. It
	// returns false if the store didn't tell in time.
	ReadPast(ctx context.Context, since time.Time) (Past, bool)
	// RoutesDigest is the Past.RoutesDigest of the routes in force.
	RoutesDigest() string
}

// Source tells how the origin of a stream was found. It is a label of a metric.
type Source string

// Values of Source.
const (
	FromMemory Source = "memory"
	FromNode   Source = "another_node"
	FromSole   Source = "only_version"
	NotFound   Source = "unknown"
	// Unproved streams are unknown because nodes or the store didn't answer.
	Unproved Source = "unproved"
)

// Resolver finds where streams that callers take up again began.
type Resolver struct {
	store   *Store
	nodes   Nodes
	history History
}

// NewResolver returns a resolver.
func NewResolver(store *Store, nodes Nodes, history History) *Resolver {
	return &Resolver{store: store, nodes: nodes, history: history}
}

// Request is a request to go on with a stream.
type Request struct {
	// Key is the stream's, zero if its caller hasn't named the attempt that began it.
	Key   Key
	Route string
	// Arrived is when the request arrived, and MaxAge for how long before that the stream may have
	// begun.
	Arrived time.Time
	MaxAge  time.Duration
}

const (
	// currentWait bounds the wait until this node has what the store had when the request came.
	currentWait = time.Second
	currentPoll = 20 * time.Millisecond
	// unprovedRetryAfter is the Retry-After where nodes or the store didn't answer.
	unprovedRetryAfter = 300 * time.Millisecond
)

// Resolve returns the origin of a stream and how it was found. A stream that nobody knows has the
// sole origin of its route if there was no other one for as long as it can have lasted.
func (r *Resolver) Resolve(ctx context.Context, request Request) (Origin, Source, *result.Error) {
	known, source, silent := r.lookUp(ctx, request)
	if source != NotFound {
		return known, source, nil
	}
	sole, proof := r.proveSole(ctx, request)
	switch {
	case proof == proved:
		return sole, FromSole, nil
	case proof == unproved || silent > 0:
		return Origin{}, Unproved, result.New(result.StreamOriginUnknown, "it isn't known which version began the stream; the store or %d silent nodes may tell later", silent).
			WithRetryAfter(unprovedRetryAfter)
	}
	return Origin{}, NotFound, result.New(result.StreamOriginUnknown, "no node knows which version began the stream; begin anew without Last-Event-Id")
}

// lookUp returns the origin of a stream that this node or another one knows, and how many of the
// others didn't answer.
func (r *Resolver) lookUp(ctx context.Context, request Request) (known Origin, source Source, silent int) {
	if request.Key == 0 {
		return Origin{}, NotFound, 0
	}
	if known, found := r.store.Get(request.Key, request.Arrived); found {
		return known, FromMemory, 0
	}
	answers := r.nodes.AskOrigin(ctx, request.Key)
	if !answers.Known {
		return Origin{}, NotFound, answers.Silent
	}
	r.store.Put(request.Key, answers.Origin, time.Now())
	return answers.Origin, FromNode, 0
}

// proof tells whether a stream can only have one origin.
type proof int

const (
	// refuted means that it may have several, unproved that the store can't be asked now, and
	// proved that it has only one.
	refuted proof = iota
	unproved
	proved
)

// proveSole returns the only origin that the stream of a request can have. There must have been no
// other one for as long as the stream can have lasted, by what this node has followed, or else by
// the past in the store.
func (r *Resolver) proveSole(ctx context.Context, request Request) (Origin, proof) {
	if _, found := r.history.SoleOrigin(request.Route); !found {
		return Origin{}, refuted
	}
	if !r.awaitCurrent(ctx, request) {
		return Origin{}, unproved
	}
	sole, found := r.history.SoleOrigin(request.Route)
	switch {
	case !found:
		return Origin{}, refuted
	case !sole.Since.After(request.Arrived.Add(-request.MaxAge)):
		return sole.Origin, proved
	case request.MaxAge > Life:
		return Origin{}, refuted
	}
	past, read := r.history.ReadPast(ctx, request.Arrived)
	switch {
	case !read:
		return Origin{}, unproved
	case !past.Allows(request.Route, sole.Origin, r.history.RoutesDigest()):
		return Origin{}, refuted
	}
	return sole.Origin, proved
}

// awaitCurrent waits until this node has what the store had when the request came: a version that
// began the stream was listed before that. It returns false if the store doesn't tell that.
func (r *Resolver) awaitCurrent(ctx context.Context, request Request) bool {
	end := time.Now().Add(currentWait)
	for since := request.Arrived; since.Before(end); since = time.Now() {
		current, told := r.history.IsCurrent(ctx, since)
		if current || !told {
			return current && told
		}
		if !pause(ctx, currentPoll) {
			return false
		}
	}
	return false
}

// pause waits for a time, and returns false if ctx ends before that.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
