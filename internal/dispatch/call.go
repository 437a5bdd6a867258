// Package dispatch carries out one request: it asks the scheduler for a plan, sends the request
// to workers within its limits of attempts, time and retries, and passes the answer on to the
// caller as it arrives. A request that must not be repeated is never sent again unless a worker
// proved that it did not run it.
//
// In names, reading a prompt means prefilling it, and a prompt that is read apart is prefilled
// by another engine (the reader) than the one that runs the request (the runner).
package dispatch

import (
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/tenant"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Call is one request of a caller.
type Call struct {
	// ID is given by the caller and unique to this attempt of the caller.
	ID     string
	Method string
	// Target is the path and query as they were sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Route   *routing.Route
	Service *routing.Service
	// RoutesVersion is the version of the configuration that Route belongs to.
	RoutesVersion uint64
	// Tenant is the owner of the request, found by its API key.
	Tenant tenant.Tenant

	// Charge is what the request was charged to its tenant's quota, zero if there is no quota.
	Charge quota.Charge

	// Prompt lists the parts of a generation's prompt in order. It is empty for other requests.
	Prompt       []prefixcache.Part
	PromptTokens int
	// OutputTokens is the maximum that the caller asks for, and ExpectedOutput the number of
	// tokens that it expects.
	OutputTokens   int
	ExpectedOutput int
	// LastEventID is the event after which the caller wants a stream to continue.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream to be
	// continued, empty if the caller doesn't tell it.
	Resumes string
	// Origin is the origin of that stream, nil if the call doesn't continue one. OriginSource tells
	// how it was found.
	Origin       *resumption.Origin
	OriginSource resumption.Source

	// Fingerprint identifies what the request asks for, regardless of its ID. The dispatcher
	// sets it. Parts identify the parts of the prompt that other requests may share.
	Fingerprint quarantine.Fingerprint
	Parts       []quarantine.Fingerprint

	Arrived time.Time
	// Deadline is the earlier one of the caller's deadline and the route's.
	Deadline time.Time
}

// ContinuesStream reports whether the call is to continue a stream that an earlier attempt of its
// caller has begun.
func (c *Call) ContinuesStream() bool {
	return c.Route.Streams() && c.Route.Resumable && (c.LastEventID != "" || c.Resumes != "")
}

// StreamKey returns the key of the call's stream.
func (c *Call) StreamKey() resumption.Key {
	if c.ContinuesStream() && c.Resumes != "" {
		return resumption.KeyOf(c.Tenant.Name(), c.Resumes)
	}
	return resumption.KeyOf(c.Tenant.Name(), c.ID)
}

// Priority is the priority of the request, which depends on its tenant and route. Zero is the
// most urgent.
func (c *Call) Priority() int { return c.Tenant.Priority(c.Route.Priority) }

// patience is the time left until the caller leaves unless it gets more of the answer.
// lastPiece is when it last got some, counted from its arrival.
func (c *Call) patience(now time.Time, lastPiece time.Duration) time.Duration {
	left := c.Deadline.Sub(now)
	if c.Route.Patience > 0 {
		left = min(left, c.Route.Patience-now.Sub(c.Arrived.Add(lastPiece)))
	}
	return left
}

// rank is the rank of the call's prompt (worker.UnreadTokens) as long as it can be in time: the
// priority, limited to the ranks below worker.LateRank.
func (c *Call) rank() int { return min(c.Priority(), worker.LateRank-1) }

// fingerprint returns the fingerprint of what the request asks for.
func (c *Call) fingerprint() quarantine.Fingerprint {
	content := quarantine.Content{Method: c.Method, Host: c.Host, Target: c.Target, Tenant: c.Tenant.Name(), Body: c.Body}
	return content.Fingerprint()
}

// sharedTokens returns the number of prompt tokens that other requests may share: all parts but
// the last, which is specific to the request.
func (c *Call) sharedTokens() int {
	if len(c.Prompt) == 0 {
		return 0
	}
	return prefixcache.Tokens(c.Prompt[:len(c.Prompt)-1])
}

// content identifies the prefix that the prompt shares with others, zero if it is too short.
func (c *Call) content() uint64 {
	content, _ := scheduling.Content(c.Prompt)
	return content
}

// Handle identifies a prompt that one engine prefilled and keeps for another one.
type Handle struct {
	// Address is the address of the engine that keeps it.
	Address string
	ID      string
}

// Forward is what a worker is told in addition to the caller's request.
type Forward struct {
	// WorkerID is the only worker that may accept the request.
	WorkerID  string
	Remaining time.Duration
	Priority  int
	// Late requests yield to all that can be in time.
	Late bool
	// ReadApart asks the worker to prefill and keep the prompt without running the request.
	ReadApart bool
	// Source is the handle of a prompt that another engine has prefilled, nil if there is none.
	Source *Handle
	// FetchFrom is the address of a worker that has part of the prompt cached.
	FetchFrom string
	// ResumeAfter is the ID of the last event that the caller has received.
	ResumeAfter string
}

// Reply is what status and header of a worker's answer say.
type Reply struct {
	// NotExecuted proves that the worker did not run the request.
	NotExecuted bool
	// Misdirected tells that another worker has this address now.
	Misdirected bool
	// HasLoad tells that Running and Waiting are set.
	HasLoad          bool
	Running, Waiting int
	// HostSlowdown is the factor by which work takes longer than usual on the worker's host at
	// present, because the worker shares it. It is zero if the answer doesn't state it.
	HostSlowdown float64
	Limit        RateLimit
}

// RateLimit is what an answer says of the worker's limit on requests.
type RateLimit struct {
	// Named tells that the answer names a limit: the worker accepts no more than PerSecond
	// requests a second from all nodes together.
	Named     bool
	PerSecond float64
	// Malformed quotes a limit that cannot be parsed, empty if there is none.
	Malformed string
}

// Wire translates between the dispatcher and the protocol that workers speak.
type Wire interface {
	// IDHeader returns the name of the header that carries a request's ID and that workers
	// echo.
	IDHeader() string
	// ForwardHeader returns the header of a call that is sent to a worker.
	ForwardHeader(call *Call, forward Forward) http.Header
	// AnswerHeader returns the header of a worker's answer as it is passed on to the caller.
	AnswerHeader(header http.Header) http.Header
	// Reply parses status and header of an answer.
	Reply(status int, header http.Header) Reply
	// Handle parses the answer of an engine that prefilled a prompt for another one.
	Handle(address string, body []byte) (Handle, error)
	// Release returns the request that frees a handle.
	Release(handle Handle) *workerconn.Request
}

// Length is the length of the body of an answer in bytes, or one of the constants.
type Length int64

const (
	// LengthUnknown bodies get a mark at their end, which tells the caller that they are complete.
	LengthUnknown Length = -1
	// UntilClose bodies end with the caller's connection, which leaves open whether they are
	// complete.
	UntilClose Length = -2
)

// Caller receives the answer of a call. If the call doesn't end with the result OK, the caller is
// made to notice that the answer is incomplete.
type Caller interface {
	// Head sends status and header, and how the caller finds the end of the body.
	Head(status int, header http.Header, length Length)
	// Write sends a piece of the body without buffering.
	Write(piece []byte) error
}

// Outcome is how a call ended.
type Outcome struct {
	// Code is OK if an answer of a worker was passed on to its end.
	Code result.Code
	// Status is the status of the worker's answer, zero if none was passed on.
	Status int
	// HeadGiven tells that the head of an answer was already sent to the caller.
	HeadGiven bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Detail is for the log.
	Detail string
	// Attempts counts the workers that were sent the request to run it. MayHaveRun tells that
	// at least one of them did not prove that it has not run it.
	Attempts   int
	MayHaveRun bool
	// First is the time from the arrival to the first byte of the answer and Last that to the
	// last piece passed on. Gap is the longest pause between two pieces.
	First, Last, Gap time.Duration
	// Pieces counts the pieces that were passed on.
	Pieces int
	// Framing is how the worker marked the end of the last answer, and Ending what is known of
	// that end. They are empty if there was no answer.
	Framing workerconn.Framing
	Ending  Ending
	// EndProbe is what a probe of the worker found at that end, empty if there was none.
	EndProbe workerconn.Liveness
	// Software is the software version of the worker whose events the caller got, or of the one that
	// began the stream which the call continues; empty if there is none.
	Software string
	// Through is the address of the other node that the last answer came through, empty if it came
	// over this node's own link.
	Through string
}

// NotRun reports whether it is proved that no worker has run the call.
func (o Outcome) NotRun() bool {
	return o.Code.Entry().Outcome == result.DidNotRun || o.Code == result.CallerGone && !o.MayHaveRun
}
