package resumption

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// Sole is the only origin that the streams of a route can have had for some time.
type Sole struct {
	Origin
	// Since is from when on it was the only one, and Confirmed is up to when that is known.
	Since, Confirmed time.Time
}

// Nodes are the other nodes.
type Nodes interface {
	// AskOrigin asks the other nodes for the origin of a stream, and for the sole origin of its
	// route. It returns once one of them knows the stream, all have answered, or the time for that
	// is over.
	AskOrigin(ctx context.Context, question Question) Answers
}

// Question is a question about a stream to other nodes.
type Question struct {
	// Key is the stream's, zero if its caller hasn't named the attempt that began it.
	Key   Key
	Route string
}

// Answers are what other nodes answered.
type Answers struct {
	Origin Origin
	// Known tells that a node knows the stream's Origin.
	Known bool
	// Soles are the sole origins of the route by what single nodes have followed.
	Soles []Sole
	// Silent counts the nodes that were asked and didn't answer in time.
	Silent int
}

// History is what this node has followed of routes and workers.
type History interface {
	// SoleOrigin returns the sole origin of a route, and false if there are several or none.
	SoleOrigin(route string) (Sole, bool)
}

// Source tells how the origin of a stream was found. It is a label of a metric.
type Source string

// Values of Source.
const (
	FromMemory   Source = "memory"
	FromNode     Source = "another_node"
	FromSole     Source = "only_version"
	NotFound     Source = "unknown"
	NotReachable Source = "nodes_silent"
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
	// Arrived is when the request arrived, and Past for how long before that the stream may have
	// begun.
	Arrived time.Time
	Past    time.Duration
}

const (
	// confirmWait bounds the wait for a confirmation that the list of workers was current when the
	// request came. One comes with each call for changes, at the latest after 0.7 s.
	confirmWait = time.Second
	confirmPoll = 20 * time.Millisecond
	// silentRetryAfter is the Retry-After where nodes that may know the stream didn't answer.
	silentRetryAfter = 300 * time.Millisecond
)

// Resolve returns the origin of a stream and how it was found. A stream that nobody knows has the
// sole origin of its route if there was no other one for as long as it can have lasted.
func (r *Resolver) Resolve(ctx context.Context, request Request) (Origin, Source, *result.Error) {
	if request.Key != 0 {
		if known, found := r.store.Get(request.Key, request.Arrived); found {
			return known, FromMemory, nil
		}
	}
	answers := r.nodes.AskOrigin(ctx, Question{Key: request.Key, Route: request.Route})
	if answers.Known {
		r.store.Put(request.Key, answers.Origin, time.Now())
		return answers.Origin, FromNode, nil
	}
	if sole, found := r.confirmedSole(ctx, request); found && isSole(sole, answers.Soles, request) {
		return sole.Origin, FromSole, nil
	}
	if answers.Silent > 0 {
		return Origin{}, NotReachable, result.New(result.StreamOriginUnknown, "%d nodes that may know which version began the stream did not answer", answers.Silent).
			WithRetryAfter(silentRetryAfter)
	}
	return Origin{}, NotFound, result.New(result.StreamOriginUnknown, "no node knows which version began the stream; begin anew without Last-Event-Id")
}

// confirmedSole returns the sole origin of the request's route as of a time after the request came,
// by what this node has followed: a version that began the stream was listed before that.
func (r *Resolver) confirmedSole(ctx context.Context, request Request) (Sole, bool) {
	for end := time.Now().Add(confirmWait); ; {
		sole, found := r.history.SoleOrigin(request.Route)
		if !found || !sole.Confirmed.Before(request.Arrived) {
			return sole, found
		}
		if time.Now().After(end) {
			return Sole{}, false
		}
		select {
		case <-ctx.Done():
			return Sole{}, false
		case <-time.After(confirmPoll):
		}
	}
}

// isSole reports whether the stream of a request can only have this node's sole origin: it was the
// only one for as long as the stream can have lasted, as far back as this node has followed that,
// and before that by what another node has.
func isSole(own Sole, others []Sole, request Request) bool {
	begun := request.Arrived.Add(-request.Past)
	if !own.Since.After(begun) {
		return true
	}
	for _, other := range others {
		if other.Origin == own.Origin && !other.Since.After(begun) && !other.Confirmed.Before(own.Since) {
			return true
		}
	}
	return false
}
