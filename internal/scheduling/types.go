package scheduling

import (
	"time"

	"github.com/tinarch/tinarch/internal/latency"
)

// Candidate is what a node knows of a worker that may serve a request.
type Candidate struct {
	ID      string
	Address string
	// Region is the worker's region, empty in a deployment with a single region.
	Region string
	// SameZone and OtherRegion tell how far the worker is from the node.
	SameZone, OtherRegion bool
	// RoundTrip is the round-trip time to a worker in another region, in milliseconds.
	RoundTrip float64
	Slots     int
	// Software is the version of the worker's software.
	Software string
	// Prefill and Decode tell the stage of a model engine; both are false for
	// other workers.
	Prefill, Decode bool
	// Requests, ReadTokens and MemoryTokens are the load that all nodes have placed on the
	// worker: its requests, the tokens to be prefilled in time, and the KV cache they need in
	// tokens.
	Requests     int
	ReadTokens   int
	MemoryTokens int
	// ReadAhead is the part of ReadTokens that is prefilled before the request's prompt.
	ReadAhead int
	// LateTokens are to be prefilled after all ReadTokens, for requests that cannot be in time.
	LateTokens int
	// Capacity is the size of the KV cache in tokens, zero if unknown.
	Capacity int
	// CachedTokens is the part of the request's prompt that the worker has cached.
	CachedTokens int
	// InFlight is the part of the request's prompt that is being prefilled there for another
	// request. It isn't cached yet, so that nobody can fetch it.
	InFlight InFlight
	// PrefillCoefficients are the learned coefficients of prefill time, and Throughput is the
	// rate at which the queue ahead is prefilled, in tokens per millisecond.
	PrefillCoefficients latency.Coefficients
	Throughput          float64
	// Host tells by which factor work takes longer on the worker's host than these two say, except
	// for the fixed part, the zero value if the service's workers don't state it.
	Host latency.Factor
	// Avoid tells that the worker's circuit breaker is open, since it has just failed or
	// rejected requests.
	Avoid bool
	// Leaving tells that the worker is about to end or that its row in the store has just
	// vanished.
	Leaving bool
	// Draining tells that the worker's entry has just said that it is about to end. It gets only
	// requests that continue a stream, which few others may run.
	Draining bool
	// Limited tells that the worker accepts no more than PerSecond requests a second from all
	// nodes together. TurnWait is the time until it accepts another one, as far as this node
	// knows, in milliseconds.
	Limited   bool
	PerSecond float64
	TurnWait  float64
	// FailureRate is the share of recent requests that the worker failed.
	FailureRate float64
	// SortKey orders the workers at this node: it is random and differs from node to node. Hash
	// is the hash of the worker's name and the same at all nodes.
	SortKey, Hash uint64
	// Report tells how much of the load of other nodes is included.
	Report ReportState
	// NotHome tells that other nodes do not look here for the content that is prefilled.
	NotHome bool
	// SourceOnly marks a worker that is known for what it has cached but not for its load.
	// Others may fetch from it, and it gets no requests.
	SourceOnly bool
	// HandleFailure tells that handing over prompts failed recently: prompts prefilled here
	// could not be fetched by others or, at a decode engine, it could not fetch them.
	HandleFailure bool
}

// ReportState tells how a node knows the load that other nodes have placed on a worker.
type ReportState string

// Values of ReportState.
const (
	// Tracked means that this node tracks the worker's load: all other nodes report theirs to
	// it.
	Tracked ReportState = ""
	// Unasked means that another node tracks the worker's load and has not been asked for it.
	Unasked ReportState = "unasked"
	// Answered means that the node that tracks the worker's load has just reported it.
	Answered ReportState = "answered"
	// Unanswered means that the load was asked for in vain, so that only this node's own is
	// known.
	Unanswered ReportState = "unanswered"
)

// LoadReport is what the node that tracks a worker's load tells another one: the load of all
// nodes but the asking one, and what it knows of the worker's state.
type LoadReport struct {
	Requests, ReadTokens, ReadAhead, LateTokens, MemoryTokens int
	// CachedTokens is the part of the request's prompt that the worker has cached.
	CachedTokens int
	// InFlight is as in Candidate.
	InFlight InFlight
	// Changing tells that an order to change the worker's stage may be under way, and Leaving
	// that the worker is about to end.
	Changing, Leaving, Avoid, HandleFailure bool
	FailureRate                             float64
}

// Holder is a worker that has a content cached, and how many tokens of it.
type Holder struct {
	Worker string
	Tokens int
}

// Answers are what other nodes have reported of workers.
type Answers struct {
	Reports map[string]LoadReport
	// Holders are the workers that have the content cached that was asked for.
	Holders []Holder
}

// WithReport adds a load report to what this node itself knows of a worker.
func (c Candidate) WithReport(report LoadReport) Candidate {
	c.Report = Answered
	c.Requests += report.Requests
	c.ReadTokens += report.ReadTokens
	c.ReadAhead += report.ReadAhead
	c.LateTokens += report.LateTokens
	c.MemoryTokens += report.MemoryTokens
	c.CachedTokens = max(c.CachedTokens, report.CachedTokens)
	c.InFlight = c.InFlight.Better(report.InFlight)
	c.Leaving = c.Leaving || report.Leaving
	c.Avoid = c.Avoid || report.Avoid
	c.HandleFailure = c.HandleFailure || report.HandleFailure
	c.FailureRate = max(c.FailureRate, report.FailureRate)
	return c
}

// EngineTimes are the learned times of a service's engines other than those of prefill, in
// milliseconds.
type EngineTimes struct {
	// Handover is the time from sending a request whose prompt was prefilled by another engine
	// to the first byte of its answer.
	Handover float64
	// HandoverWork is the part of that time that is work of the engine, on a host that is as
	// fast as usual, and HandoverPerToken the time that each token of the prompt takes in
	// addition. Both are zero if they are not learned apart.
	HandoverWork, HandoverPerToken float64
	// Fetch is the fixed time of fetching cached parts of a prompt, and MovePerToken the time
	// that the link takes for each token.
	Fetch, MovePerToken float64
	// Queue is the fraction of the prefill work ahead of a prompt that it really waits for.
	Queue float64
	// Run is the time from the first byte of an answer to its end.
	Run float64
	// Work is the time that a worker takes to answer an opaque request that doesn't wait, zero if
	// it isn't known.
	Work float64
	// Pace is the time between two output tokens.
	Pace float64
}

// Request is what the scheduler knows of a request.
type Request struct {
	Engine EngineTimes
	// RouteObjective is the route's objective for the first byte of the answer.
	RouteObjective time.Duration
	// PromptTokens is zero for opaque requests, which are not for model engines.
	PromptTokens int
	// SharedTokens is the part of the prompt that other requests share.
	SharedTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// ObjectiveLeft is the time left until the objective for the first byte, negative once that
	// is missed.
	ObjectiveLeft time.Duration
	// GapObjective is the longest pause allowed between two events of an answer, zero if none
	// is set.
	GapObjective time.Duration
	// Remaining is the time left until the request's deadline, and Patience the time until its
	// caller leaves unless more of the answer has come.
	Remaining, Patience time.Duration
	// Excluded workers must not get this request again. Failed ones have run it and failed, or
	// couldn't be reached, and get it only if no other is left.
	Excluded, Failed map[string]bool
	// Bound tells that the request continues a stream, which only workers with the software version
	// Software may do.
	Bound    bool
	Software string
	// Confined tells that the request begins a stream, which only workers with one of the software
	// versions Versions may do.
	Confined bool
	Versions []string
	// Content identifies the prefix that the prompt shares with others, zero if that is too
	// short to be placed by content.
	Content uint64
	// SingleRead tells that the request may wait for a prefix that is being prefilled for
	// another one, and PrefixWaits how often it has waited for one.
	SingleRead  bool
	PrefixWaits int
	// Begun tells that the caller already has part of the answer.
	Begun bool
	// NoApart tells that the prompt must not be prefilled by another engine than the runner.
	NoApart bool
	// Waits tells that the request waits for an engine in the order over all nodes if it can't
	// be in time. Granted is the prefill engine that it was granted, empty if there is none.
	Waits   bool
	Granted string
}

// Mode is the way in which a request is served.
type Mode string

// Values of Mode.
const (
	// Whole requests are prefilled and run by one worker.
	Whole Mode = "whole"
	// Apart requests are prefilled by one engine and run by another (disaggregated prefill).
	Apart Mode = "apart"
	// Held requests are planned again after a pause.
	Held Mode = "held"
	// Refused requests are not run.
	Refused Mode = "refused"
)

// Reason tells why a request was refused or held.
type Reason string

// Values of Reason. They are logged, and reach callers in the detail of a refusal.
//
// NoWorkerLeft means that no worker remains that may get the request again: each was tried and
// failed or rejected it, or cannot be used. The workers need not be full, despite the text.
const (
	NoWorker     Reason = "no worker"
	Unrecorded   Reason = "the software version or the route is too new to begin streams"
	TooLate      Reason = "too late"
	NoWorkerLeft Reason = "all workers are full"
	// Limited requests would wait too long for a turn at workers that limit their request rate.
	Limited Reason = "the workers take no more now"
	// PrefixInFlight requests wait until the prefix that they share with another request has been
	// prefilled for that one.
	PrefixInFlight Reason = "the prefix is being read"
	// Queued requests wait for an engine in the order over all nodes, and there is no room to
	// wait for those refused with NoRoom.
	Queued Reason = "waits for an engine"
	NoRoom Reason = "too many requests wait"
	// Paused requests have to wait because all workers have asked for a pause (Retry-After).
	Paused Reason = "the workers have asked for a pause"
)

// Plan is the decision on how a request is served.
type Plan struct {
	Mode   Mode
	Reason Reason
	// Late requests cannot be answered in time and yield to all others.
	Late bool
	// Reader is the worker that prefills the prompt, if Mode is Apart, or the one that is waited
	// for, if Mode is Held.
	Reader Candidate
	// Runner is the worker that answers. If Mode is Apart it is chosen again once the prompt
	// has been prefilled.
	Runner Candidate
	// Fetch is the address of a worker from which the prefilling worker fetches cached tokens
	// of the prompt, empty if nothing is fetched.
	Fetch string
	// Read is the predicted time until the prompt has been prefilled.
	Read time.Duration
	// InFlight is the largest part of the prompt that is being prefilled for another request
	// anywhere. It is for the log.
	InFlight InFlight
	// Unread is the part of the prompt that has to be prefilled, in tokens.
	Unread int
	// First is the predicted time to the first byte.
	First time.Duration
	// LongestWait bounds the wait of a request that is held because of PrefixInFlight. The wait
	// ends with the prefill, which is expected to end within RetryAfter.
	LongestWait time.Duration
	// Cost is the value by which plans are compared, in milliseconds.
	Cost float64
	// RetryAfter is the time after which a refused caller should retry, or a held request is
	// planned again.
	RetryAfter time.Duration
	// Waiting is set if the request is held with the reason Queued.
	Waiting Waiting
}

// InTime reports whether the request is served as intended: the plan is neither late nor
// refused.
func (p Plan) InTime() bool { return p.Mode != Refused && !p.Late }
