package nodeexchange

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// A node tells the homes of a worker which streams the worker has begun for its callers, with the
// load that these are. So in a small fleet all nodes know all streams. A node that doesn't know the
// stream that a caller takes up asks all others.

const (
	// originTimeout is how long this node waits for the answers to a question about a stream, in
	// addition to the round trip to another region. It is two round trips between zones, with the
	// time in which a busy node gets to the question.
	originTimeout = 40 * time.Millisecond
	// originQuestionRate and originQuestionBurst bound the datagrams with questions about streams,
	// per second and at once: one question to each node of a fleet for dozens of streams.
	originQuestionRate  = 2_000
	originQuestionBurst = 20_000
)

// wireStreams are streams of one origin.
type wireStreams struct {
	wireOrigin
	Keys []string `json:"k"`
}

// wireOrigin is an resumption.Origin.
type wireOrigin struct {
	Service  string `json:"s"`
	Software string `json:"v"`
}

func renderOrigin(o resumption.Origin) wireOrigin { return wireOrigin(o) }

func (w wireOrigin) origin() resumption.Origin { return resumption.Origin(w) }

func renderStreams(streams []worker.Stream) []wireStreams {
	var rendered []wireStreams
	indexes := make(map[resumption.Origin]int)
	for _, stream := range streams {
		index, known := indexes[stream.Origin]
		if !known {
			index = len(rendered)
			indexes[stream.Origin] = index
			rendered = append(rendered, wireStreams{wireOrigin: renderOrigin(stream.Origin)})
		}
		rendered[index].Keys = append(rendered[index].Keys, stream.Key.String())
	}
	return rendered
}

// SetOrigins connects the exchange with the streams that this node knows. It must be called before
// Run.
func (e *Exchange) SetOrigins(store *resumption.Store) {
	e.origins = store
	e.originQuestions = rate.NewLimiter(originQuestionRate, originQuestionBurst)
}

// receiveStreams remembers streams of another node.
func (e *Exchange) receiveStreams(from netip.AddrPort, told []wireStreams, now time.Time) {
	if e.origins == nil {
		return
	}
	for _, streams := range told {
		for _, text := range streams.Keys {
			key, err := resumption.ParseKey(text)
			if err != nil {
				e.logMalformed(from, err)
				return
			}
			e.origins.Put(key, streams.origin(), now)
		}
	}
}

// AskOrigin implements resumption.Nodes.
func (e *Exchange) AskOrigin(ctx context.Context, key resumption.Key) resumption.Answers {
	id, pending, nodes := e.prepareOriginQuestion()
	if len(nodes) == 0 {
		return resumption.Answers{}
	}
	if !e.originQuestions.AllowN(time.Now(), len(nodes)) {
		e.endOriginQuestion(id, pending)
		return resumption.Answers{Silent: len(nodes)}
	}
	e.sendAll(nodes, Message{Node: e.node, Question: &question{ID: id, Stream: key.String()}})
	timer := time.NewTimer(originTimeout + pending.extraWait)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	return e.endOriginQuestion(id, pending)
}

// prepareOriginQuestion registers a question to all other nodes.
func (e *Exchange) prepareOriginQuestion() (uint64, *pendingQuestion, []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := e.peers.all()
	pending := &pendingQuestion{
		asked: make(map[netip.AddrPort]bool, len(nodes)), reports: make(map[string]scheduling.LoadReport), done: make(chan struct{}),
	}
	for _, address := range nodes {
		pending.asked[address] = true
		pending.extraWait = max(pending.extraWait, e.extraWait(e.peers.regionOf(address)))
	}
	e.lastQuestion++
	if len(nodes) > 0 {
		e.pendingQuestions[e.lastQuestion] = pending
	}
	return e.lastQuestion, pending, nodes
}

// endOriginQuestion ends a question and returns its answers.
func (e *Exchange) endOriginQuestion(id uint64, pending *pendingQuestion) resumption.Answers {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingQuestions, id)
	answers := pending.origins
	answers.Silent = len(pending.asked)
	return answers
}

// answerOrigin answers the part of a question that is about a stream.
func (e *Exchange) answerOrigin(asked question, answered *reply) {
	if e.origins == nil || asked.Stream == "" {
		return
	}
	key, err := resumption.ParseKey(asked.Stream)
	if err != nil {
		return
	}
	if known, found := e.origins.Get(key, time.Now()); found {
		form := renderOrigin(known)
		answered.Origin = &form
	}
}

// addOrigin adds what a node answered about a stream.
func (p *pendingQuestion) addOrigin(answered reply) {
	if answered.Origin != nil {
		p.origins.Origin, p.origins.Known = answered.Origin.origin(), true
	}
}
