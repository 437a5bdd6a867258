package scheduling

import (
	"time"

	"github.com/tinarch/tinarch/internal/latency"
)

// Candidate is what is known of one worker.
type Candidate struct {
	ID      string
	Address string
	// Region is that of the worker, empty where the deployment lies in one.
	Region string
	// SameZone and OtherRegion tell how far it is from the node.
	SameZone, OtherRegion bool
	// RoundTrip is the time of the way to another region and back, in milliseconds.
	RoundTrip float64
	Slots     int
	// Prefill and Decode tell the stage of a model engine; both are false for
	// other workers.
	Prefill, Decode bool
	// Requests, ReadTokens and MemoryTokens are the load placed by all nodes.
	Requests     int
	ReadTokens   int
	MemoryTokens int
	// ReadAhead is the part of ReadTokens that is read before the request's prompt.
	ReadAhead int
	// LateTokens are to be read for requests that can't be in time, after all ReadTokens.
	LateTokens int
	// Capacity is the KV cache in tokens, zero where it isn't known.
	Capacity int
	// CachedTokens is the part of the request's prompt that the worker keeps.
	CachedTokens int
	// Reading are the learned terms of reading a prompt, and Pace the pace at which
	// the queue before it is read, in tokens a millisecond.
	Reading    latency.Coefficients
	Throughput float64
	// Avoid tells that the worker failed just now.
	Avoid bool
	// Leaving tells that the worker's entry has just vanished.
	Leaving bool
	// Limited tells that the worker takes no more than so many requests a second from all
	// nodes together, PerSecond, and TurnWait is the time until it takes a further one, as far
	// as is known here, in milliseconds.
	Limited   bool
	PerSecond float64
	TurnWait  float64
	// FailureRate is the share of requests that it failed lately.
	FailureRate float64
	// Rank orders the workers for this node alone: it differs from node to node. Hash
	// is that of the worker's name, the same at all nodes.
	Rank, Hash uint64
	// Report tells how much of the load of other nodes is counted in.
	Report ReportState
	// NotHome tells that other nodes won't look here for what is read.
	NotHome bool
	// SourceOnly workers are known for what they keep, not for their load: others may fetch
	// it from them.
	SourceOnly bool
	// HandleFailure tells that prompts read apart there could not be fetched, or where it
	// writes that it could not fetch them.
	HandleFailure bool
}

// ReportState tells how a node knows the load that others have placed on a worker.
type ReportState string

// The states of an account.
const (
	// Tracked accounts are told to this node by all others.
	Tracked ReportState = ""
	// Unasked accounts are kept by other nodes, which have not been asked.
	Unasked ReportState = "unasked"
	// Answered accounts were told by another node just now.
	Answered ReportState = "answered"
	// Unanswered accounts were asked for in vain: only this node's own load is known.
	Unanswered ReportState = "unanswered"
)

// LoadReport is what the node that keeps account of a worker says of it: the load of all
// nodes but the one that asks, and what it knows of the worker's state.
type LoadReport struct {
	Requests, ReadTokens, ReadAhead, LateTokens, MemoryTokens int
	// CachedTokens is the part of the request's prompt that the worker keeps.
	CachedTokens int
	// Changing tells that an order to change its stage may be under way, and Leaving that the
	// worker is about to end.
	Changing, Leaving, Avoid, HandleFailure bool
	FailureRate                             float64
}

// Holder is a worker that keeps a content.
type Holder struct {
	Worker string
	Tokens int
}

// Answers are what other nodes have told of workers.
type Answers struct {
	Reports map[string]LoadReport
	// Holders are the workers that keep the content which was asked for.
	Holders []Holder
}

// WithReport adds an account to what this node itself knows of a worker.
func (c Candidate) WithReport(account LoadReport) Candidate {
	c.Report = Answered
	c.Requests += account.Requests
	c.ReadTokens += account.ReadTokens
	c.ReadAhead += account.ReadAhead
	c.LateTokens += account.LateTokens
	c.MemoryTokens += account.MemoryTokens
	c.CachedTokens = max(c.CachedTokens, account.CachedTokens)
	c.Leaving = c.Leaving || account.Leaving
	c.Avoid = c.Avoid || account.Avoid
	c.HandleFailure = c.HandleFailure || account.HandleFailure
	c.FailureRate = max(c.FailureRate, account.FailureRate)
	return c
}

// EngineTimes is what was learned of a service's engines besides their reading, in
// milliseconds.
type EngineTimes struct {
	// Handover is from sending a request with a prompt that was read apart to its first
	// byte.
	Handover float64
	// Fetch is what a fetch of kept parts takes besides the link, and MovePerToken what
	// the link takes for each token.
	Fetch, MovePerToken float64
	// Queue is the part of the reading ahead of a prompt that it waits for.
	Queue float64
	// Run is from the first byte of an answer to its end.
	Run float64
}

// Request is what is known of a request.
type Request struct {
	Engine EngineTimes
	// RouteObjective is the objective of the request's route for the first byte of its answer.
	RouteObjective time.Duration
	// PromptTokens is zero for requests that aren't for model engines.
	PromptTokens int
	// SharedTokens is the part of the prompt that other requests share.
	SharedTokens int
	// OutputTokens is the length that the answer is expected to have.
	OutputTokens int
	// ObjectiveLeft is the time that is left for the first byte of the answer.
	ObjectiveLeft time.Duration
	// GapObjective is the longest pause between two events of an answer, zero where none
	// is set.
	GapObjective time.Duration
	// Remaining is the time that is left for the whole, and Patience that after which its
	// caller leaves unless the answer has begun.
	Remaining, Patience time.Duration
	// Excluded are workers that must not get this request any more, and Failed those
	// that ran it and failed, which get it where no other is left.
	Excluded, Failed map[string]bool
	// Content names what the prompt shares with others, zero where that is too little to
	// be looked for.
	Content uint64
	// Begun tells that the caller has a part of the answer.
	Begun bool
	// NoApart tells that the prompt must not be read apart.
	NoApart bool
}

// Mode is the way in which a request is served.
type Mode string

// The modes.
const (
	// Whole requests run at one worker.
	Whole Mode = "whole"
	// Apart requests are read at one engine and run at another.
	Apart Mode = "apart"
	// Held requests are planned again after a pause.
	Held Mode = "held"
	// Refused requests are not run.
	Refused Mode = "refused"
)

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	NoWorker     Reason = "no worker"
	TooLate      Reason = "too late"
	NoWorkerLeft Reason = "all workers are full"
	// Limited requests would wait too long for the turn of a worker that takes no more.
	Limited Reason = "the workers take no more now"
	// Paused requests would wait too long for the end of a pause that all workers have asked for.
	Paused Reason = "the workers have asked for a pause"
)

// Plan is the decision.
type Plan struct {
	Mode   Mode
	Reason Reason
	// Late requests can't be answered in time and give way to all others.
	Late bool
	// Reader is the worker that reads the prompt, where Mode is Apart.
	Reader Candidate
	// Runner is the worker that answers. Where Mode is Apart it is chosen again
	// when the prompt was read.
	Runner Candidate
	// Fetch is the address of a worker from which the one that reads the prompt
	// takes over what it keeps of it; empty where nothing is to be fetched.
	Fetch string
	// Unread is the part of the prompt that is read anew, in tokens.
	Unread int
	// First is the predicted time to the first byte.
	First time.Duration
	// Cost is what was compared, in milliseconds.
	Cost float64
	// RetryAfter is when a refused request should come back, and a held one is planned
	// again.
	RetryAfter time.Duration
}

// InTime reports whether the plan answers the request as it is wanted: neither late nor
// refused.
func (p Plan) InTime() bool { return p.Mode != Refused && !p.Late }
