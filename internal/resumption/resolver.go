package resumption

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

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

// History is what this node knows of where streams may have begun.
type History interface {
	// ServiceOf returns the only service that a route leads to, and false if there are several or none.
	ServiceOf(route string) (string, bool)
	// ReadPast reads the past from the store, as of a time that isn't before the given one. It
	// returns false if the store didn't tell in time.
	ReadPast(ctx context.Context, since time.Time) (ReadPast, bool)
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

// unprovedRetryAfter is the Retry-After where nodes or the store didn't answer.
const unprovedRetryAfter = 300 * time.Millisecond

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

// proveSole returns the only origin that the stream of a request can have: the past in the store shows
// no other one for as long as the stream can have lasted. Streams begin only where the past shows them,
// so this needs nothing that the node has followed itself.
func (r *Resolver) proveSole(ctx context.Context, request Request) (Origin, proof) {
	if request.MaxAge > Life {
		return Origin{}, refuted
	}
	past, read := r.history.ReadPast(ctx, request.Arrived)
	if !read || past.RoutesDigest != r.history.RoutesDigest() {
		return Origin{}, unproved // other routes than those in force are about to be written, or followed
	}
	service, one := r.history.ServiceOf(request.Route)
	if !one || !past.Covers(request.MaxAge+time.Since(request.Arrived)) {
		return Origin{}, refuted
	}
	sole, found := past.soleOrigin(request.Route, service)
	if !found {
		return Origin{}, refuted
	}
	return sole, proved
}
