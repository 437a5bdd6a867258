package nodeexchange

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// askTimeout is how long this node waits for the answers to a question, in addition to the
// round trip to another region. It is several times the round trip between two zones, and a
// fiftieth of the shortest prompt objectives.
const askTimeout = 15 * time.Millisecond

// fullAnswerTimeout is how long this node waits for all answers. After it, half of them are
// enough: small machines occasionally answer late, and the choice among fewer workers is nearly
// as good.
const fullAnswerTimeout = 5 * time.Millisecond

// question asks a node for load reports on workers whose load it tracks, and for the workers
// that hold the content of the request, if the node is a home of that content.
type question struct {
	ID      uint64   `json:"i"`
	Workers []string `json:"w,omitempty"`
	Content bool     `json:"c,omitempty"`
	// Parts are the parts of the request's prompt, encoded as in a cache update.
	Parts []string `json:"p,omitempty"`
	Rank  int      `json:"r,omitempty"`
	// Stream asks where a stream began. An earlier build doesn't answer that.
	Stream string `json:"s,omitempty"`
	// Sent is when the question was sent, in microseconds on the asking node's clock. The reply
	// repeats it, so that the asking node can measure the round trip to another region.
	Sent int64 `json:"t,omitempty"`
}

// reply answers a question.
type reply struct {
	ID      uint64                    `json:"i"`
	Reports map[string]wireLoadReport `json:"w,omitempty"`
	// InFlight holds, for each worker that is prefilling part of the request's prompt for another
	// one, the tokens of that part and the expected time left in milliseconds.
	InFlight map[string]wireInFlight `json:"ip,omitempty"`
	// Holders are workers that hold the content, encoded as in Message.Contents.
	Holders []string `json:"c,omitempty"`
	Sent    int64    `json:"t,omitempty"`
	// Origin is the origin of the stream that was asked for, nil if it isn't known.
	Origin *wireOrigin `json:"o,omitempty"`
	// Limits are the request limits that workers have stated.
	Limits map[string]wireLimit `json:"lm,omitempty"`
	// Draining are workers that have announced that they are about to end.
	Draining []string `json:"dw,omitempty"`
	// Slowdowns are the last statements of workers about their hosts.
	Slowdowns map[string]wireSlowdown `json:"hs,omitempty"`
}

// wireLoadReport is a scheduling.LoadReport in whole numbers: requests, tokens to prefill,
// tokens to prefill ahead of the request, tokens of memory, cached tokens, flags, thousandths
// of requests that failed, and tokens to prefill of late requests.
type wireLoadReport [8]int

// The flags of a load report.
const (
	flagChanging = 1 << iota
	flagAvoid
	flagHandleFailure
	flagLeaving
)

// perMille is the number of units of a failure rate.
const perMille = 1000

func renderLoadReport(report scheduling.LoadReport) wireLoadReport {
	flags := 0
	if report.Changing {
		flags |= flagChanging
	}
	if report.Avoid {
		flags |= flagAvoid
	}
	if report.HandleFailure {
		flags |= flagHandleFailure
	}
	if report.Leaving {
		flags |= flagLeaving
	}
	return wireLoadReport{
		report.Requests, report.ReadTokens, report.ReadAhead, report.MemoryTokens, report.CachedTokens,
		flags, int(report.FailureRate * perMille), report.LateTokens,
	}
}

func (f wireLoadReport) loadReport() scheduling.LoadReport {
	return scheduling.LoadReport{
		Requests: f[0], ReadTokens: f[1], ReadAhead: f[2], MemoryTokens: f[3], CachedTokens: f[4],
		Changing: f[5]&flagChanging != 0, Avoid: f[5]&flagAvoid != 0, HandleFailure: f[5]&flagHandleFailure != 0,
		Leaving: f[5]&flagLeaving != 0, FailureRate: float64(f[6]) / perMille, LateTokens: f[7],
	}
}

// pendingQuestion is a question that waits for answers.
type pendingQuestion struct {
	// asked are the nodes that haven't answered yet.
	asked   map[netip.AddrPort]bool
	reports map[string]scheduling.LoadReport
	holders []scheduling.Holder
	// origins are the answers about a stream.
	origins resumption.Answers
	done    chan struct{}
	// extraWait is how much longer than usual to wait for answers, since some come from another
	// region.
	extraWait time.Duration
}

// Tracked reports for each worker whether this node tracks its load.
func (e *Exchange) Tracked(workers []string) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	tracked := make([]bool, 0, len(workers))
	for _, id := range workers {
		tracked = append(tracked, e.peers.isHome(id))
	}
	return tracked
}

// trackedEngines are the engines whose load this node tracks. The result is valid for one
// generation of the nodes and one of the workers.
type trackedEngines struct {
	nodes, workers uint64
	engines        map[string]bool
}

// TrackedEngines returns the engines whose load this node tracks. It returns false where a node
// tracks all workers, or where the homes of a worker depend on its region, so that the caller
// gains nothing from the list. Callers must not modify the result.
func (e *Exchange) TrackedEngines() (engines map[string]bool, some bool) {
	workers := e.registry.Generation()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers.nodes() <= fullTrackingFleet || e.peers.places.MultiRegion() {
		return nil, false
	}
	if e.tracked.engines != nil && e.tracked.nodes == e.peers.generation && e.tracked.workers == workers {
		return e.tracked.engines, true
	}
	engines = make(map[string]bool)
	for _, id := range e.registry.EngineIDs() {
		if e.peers.isHome(id) {
			engines[id] = true
		}
	}
	e.tracked = trackedEngines{nodes: e.peers.generation, workers: workers, engines: engines}
	return engines, true
}

// Ask asks the homes of workers for load reports, for a request of the given rank whose prompt
// has these parts, and the homes of the prompt's content for the workers that hold it. It
// returns the answers that arrive in time.
func (e *Exchange) Ask(ctx context.Context, workers []string, parts []prefixcache.Part, rank int) scheduling.Answers {
	content, _ := scheduling.Content(parts)
	id, pending, questions := e.prepareQuestions(workers, content)
	if len(questions) == 0 {
		return scheduling.Answers{Holders: pending.holders}
	}
	rendered := renderParts(parts)
	for to, asked := range questions {
		asked.ID, asked.Parts, asked.Rank = id, rendered, rank
		if pending.extraWait > 0 {
			asked.Sent = time.Since(e.started).Microseconds()
		}
		e.sendTo(to, Message{Node: e.node, Question: asked})
	}
	timedOut := e.awaitAnswers(ctx, pending, len(questions))
	return e.collectAnswers(id, pending, timedOut)
}

// awaitAnswers waits until enough answers have arrived. It reports whether the nodes that have
// not answered had the whole askTimeout.
func (e *Exchange) awaitAnswers(ctx context.Context, pending *pendingQuestion, asked int) (timedOut bool) {
	timer := time.NewTimer(fullAnswerTimeout + pending.extraWait)
	defer timer.Stop()
	select {
	case <-pending.done:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	if e.unanswered(pending) <= asked/2 {
		return false
	}
	timer.Reset(askTimeout - fullAnswerTimeout)
	select {
	case <-pending.done:
	case <-ctx.Done():
	case <-timer.C:
		return true
	}
	return false
}

func (e *Exchange) unanswered(pending *pendingQuestion) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(pending.asked)
}

// prepareQuestions assigns workers, and the content if there is one, to the nodes to be asked,
// and registers the question.
func (e *Exchange) prepareQuestions(workers []string, content uint64) (uint64, *pendingQuestion, map[netip.AddrPort]*question) {
	e.mu.Lock()
	defer e.mu.Unlock()
	questions := make(map[netip.AddrPort]*question)
	to := func(address netip.AddrPort) *question {
		if questions[address] == nil {
			questions[address] = &question{}
		}
		return questions[address]
	}
	now := time.Now()
	for _, id := range workers {
		if address, found := e.peers.reachableHome(id, now); found {
			asked := to(address)
			asked.Workers = append(asked.Workers, id)
		}
	}
	pending := &pendingQuestion{
		asked: make(map[netip.AddrPort]bool), reports: make(map[string]scheduling.LoadReport), done: make(chan struct{}),
	}
	if content != 0 && e.peers.nodes() > fullTrackingFleet {
		for _, region := range e.peers.homeRegions(workers) {
			home, here := e.peers.homeOfContent(content, region, now)
			switch {
			case here:
				pending.holders = append(pending.holders, e.contents.of(content, now)...)
			case home.IsValid():
				to(home).Content = true
			}
		}
	}
	for address := range questions {
		pending.asked[address] = true
		pending.extraWait = max(pending.extraWait, e.extraWait(e.peers.regionOf(address)))
	}
	e.lastQuestion++
	if len(questions) > 0 {
		e.pendingQuestions[e.lastQuestion] = pending
	}
	return e.lastQuestion, pending, questions
}

// collectAnswers ends a question. If it timed out, the nodes that haven't answered are
// unresponsive, so that later questions don't wait for them for a while.
func (e *Exchange) collectAnswers(id uint64, pending *pendingQuestion, timedOut bool) scheduling.Answers {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingQuestions, id)
	for address := range pending.asked {
		if timedOut {
			e.peers.markUnresponsive(address, time.Now())
		}
	}
	return scheduling.Answers{Reports: maps.Clone(pending.reports), Holders: slices.Clone(pending.holders)}
}

// answer answers another node's question.
func (e *Exchange) answer(to netip.AddrPort, asking string, asked question) {
	parts, err := parseParts(asked.Parts)
	if err != nil {
		e.logMalformed(to, err)
		return
	}
	reports := make(map[string]wireLoadReport, len(asked.Workers))
	known := e.registry.LoadReports(asked.Workers, parts, asked.Rank, asking, time.Now())
	for id, report := range known {
		reports[id] = renderLoadReport(report)
	}
	answered := &reply{
		ID: asked.ID, Reports: reports, InFlight: renderInFlight(known), Sent: asked.Sent,
		Limits:    renderLimits(e.registry.Limits(asked.Workers), time.Now()),
		Slowdowns: renderSlowdowns(e.registry.HostStatements(asked.Workers), time.Now()),
	}
	e.answerOrigin(asked, answered)
	if content, _ := scheduling.Content(parts); asked.Content && content != 0 {
		answered.Holders = e.holdersOf(content)
	}
	e.sendTo(to, Message{Node: e.node, Reply: answered})
}

// receiveReply passes an answer to the question that waits for it. A later answer still shows
// that its sender is alive.
func (e *Exchange) receiveReply(from netip.AddrPort, node string, answered reply) {
	e.receiveLimits(node, answered.Limits, time.Now())
	e.receiveDraining(node, answered.Draining, time.Now())
	e.registry.MergeHostStatements(parseSlowdowns(answered.Slowdowns, time.Now()))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.answered(from)
	if answered.Sent > 0 {
		e.observeRoundTrip(e.peers.regionOf(from), time.Since(e.started)-time.Duration(answered.Sent)*time.Microsecond)
	}
	pending, waiting := e.pendingQuestions[answered.ID]
	if !waiting || !pending.asked[from] {
		return
	}
	for id, report := range answered.Reports {
		known := report.loadReport()
		known.InFlight = answered.InFlight[id].inFlight()
		pending.reports[id] = known
	}
	if err := pending.addHolders(answered.Holders); err != nil {
		e.logMalformed(from, err)
	}
	delete(pending.asked, from)
	pending.addOrigin(answered)
	if len(pending.asked) == 0 || pending.origins.Known {
		close(pending.done)
		delete(e.pendingQuestions, answered.ID)
	}
}
