// Package dispatch carries out one request: it asks the scheduler for a plan,
// sends the request to workers within the limits of attempts, time and retries,
// and hands the answer to the caller as it comes. A request that may not be
// repeated is never sent again unless a worker proved that it did not run.
package dispatch

import (
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/tenant"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Call is one request of a caller.
type Call struct {
	// ID is the caller's, and unique to this try of the caller.
	ID     string
	Method string
	// Target is the path and query as they were sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Route   *routing.Route
	Service *routing.Service
	// RoutesVersion is that of the configuration which the route is of.
	RoutesVersion uint64
	// Tenant is whose request it is, as its API key tells.
	Tenant tenant.Tenant

	// Charge is what the request has cost its tenant's quota, none where it has none.
	Charge quota.Charge

	// Prompt lists the parts of a generation's prompt in order; it is empty for
	// other requests.
	Prompt       []prefixcache.Part
	PromptTokens int
	// OutputTokens is the most that the caller asks for, and ExpectedOutput what it
	// expects.
	OutputTokens   int
	ExpectedOutput int
	// LastEventID is where the caller wants a stream to go on.
	LastEventID string

	// Fingerprint names what the request asks for, whatever its id; the dispatcher sets it.
	Fingerprint quarantine.Fingerprint

	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time
}

// Priority is the rank of the request, zero being the most urgent.
func (c *Call) Priority() int { return c.Tenant.Priority(c.Route.Priority) }

// patience is the time that is left until the caller leaves unless it gets a further piece
// of the answer; lastPiece is when it got one, counted from its arrival.
func (c *Call) patience(now time.Time, lastPiece time.Duration) time.Duration {
	left := c.Deadline.Sub(now)
	if c.Route.Patience > 0 {
		left = min(left, c.Route.Patience-now.Sub(c.Arrived.Add(lastPiece)))
	}
	return left
}

// rank is that by which engines read the prompt while it can be in time.
func (c *Call) rank() int { return min(c.Priority(), worker.LateRank-1) }

// identified names what the request asks for.
func (c *Call) identified() quarantine.Fingerprint {
	content := quarantine.Content{Method: c.Method, Host: c.Host, Target: c.Target, Tenant: c.Tenant.Name(), Body: c.Body}
	return content.Fingerprint()
}

// shared returns the tokens of the prompt that other requests may share: all
// parts but the last, which is the request's own.
func (c *Call) shared() int {
	if len(c.Prompt) == 0 {
		return 0
	}
	return prefixcache.Tokens(c.Prompt[:len(c.Prompt)-1])
}

// content names what the prompt shares with others, zero where too little is shared.
func (c *Call) content() uint64 {
	content, _ := scheduling.Content(c.Prompt)
	return content
}

// Handle names a prompt that was read apart.
type Handle struct {
	// Address is that of the worker that keeps it.
	Address string
	ID      string
}

// Forward is what a worker is told beside the caller's request.
type Forward struct {
	// WorkerID is the only worker that may take the request.
	WorkerID  string
	Remaining time.Duration
	Priority  int
	// Late requests give way to all that are in time.
	Late bool
	// ReadApart asks for the prompt to be read and kept, and not to run.
	ReadApart bool
	// Source is where the prompt was read apart.
	Source *Handle
	// FetchFrom is the address of a worker that keeps a part of the prompt.
	FetchFrom string
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Reply is what the head of a worker's answer says.
type Reply struct {
	// NotExecuted proves that the worker did not run the request.
	NotExecuted bool
	// Misdirected tells that another worker has the address.
	Misdirected bool
	// HasLoad tells that Running and Waiting are given.
	HasLoad          bool
	Running, Waiting int
	Limit            RateLimit
}

// RateLimit is what an answer says of how many requests its worker takes.
type RateLimit struct {
	// Named tells that the worker takes no more than PerSecond requests a second from all
	// nodes together.
	Named     bool
	PerSecond float64
	// Malformed quotes what can't be read, empty where nothing of that kind was said.
	Malformed string
}

// Wire is how workers are spoken to.
type Wire interface {
	// IDHeader names the header that carries a request's id and is echoed.
	IDHeader() string
	// ForwardHeader returns the header of a call for a worker.
	ForwardHeader(call *Call, forward Forward) http.Header
	// AnswerHeader returns the header of a worker's answer for the caller.
	AnswerHeader(header http.Header) http.Header
	// Reply reads the head of an answer.
	Reply(status int, header http.Header) Reply
	// Handle reads the answer of a prompt that was read apart.
	Handle(address string, body []byte) (Handle, error)
	// Release returns the request that frees a handle.
	Release(handle Handle) *workerconn.Request
}

// Caller receives the answer.
type Caller interface {
	// Head gives status, header and length of the body, -1 where it isn't known.
	Head(status int, header http.Header, length int64)
	// Write gives a piece of the body, which is sent on at once.
	Write(piece []byte) error
}

// Outcome is how a call ended.
type Outcome struct {
	// Code is OK where a whole answer of a worker was passed on.
	Code result.Code
	// Status is that of the worker's answer, zero where none was passed on.
	Status int
	// HeadGiven tells that the caller has the head of an answer already.
	HeadGiven bool
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	// Detail is for the log.
	Detail string
	// Attempts counts the workers that were sent the request to run, and MayHaveRun tells
	// that one of them didn't prove that it has not.
	Attempts   int
	MayHaveRun bool
	// First is the time to the first byte of the answer, and Last to the last piece
	// that was passed on; Gap is the longest pause between two pieces.
	First, Last, Gap time.Duration
	// Pieces counts the pieces passed on.
	Pieces int
}

// NotRun reports whether it is proved that no worker has run the call.
func (o Outcome) NotRun() bool {
	return o.Code.Entry().Outcome == result.DidNotRun || o.Code == result.CallerGone && !o.MayHaveRun
}
