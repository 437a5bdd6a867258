// Package plainwire speaks to workers that are ordinary HTTP servers: tinarch's own
// names for what a request carries beside the caller's headers. A worker need know
// none of them; one that does can tell that it did not run a request.
package plainhttp

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/httpheader"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Headers beside those of HTTP.
const (
	// HeaderAttempt carries the request's id to the worker, which may echo it.
	HeaderAttempt = "Tinarch-Attempt"
	// HeaderDeadline is how long the caller waits, in milliseconds; the worker gets
	// what is left of it.
	HeaderDeadline = "Tinarch-Deadline-Ms"
	// HeaderWorker names the worker that a request is for.
	HeaderWorker = "Tinarch-Worker"
	// HeaderNotRun in a worker's answer proves that it did not run the request.
	HeaderNotRun = "Tinarch-Not-Run"
	// HeaderLastEvent is where a stream goes on.
	HeaderLastEvent = "Last-Event-Id"
)

// Protocol implements dispatch.Protocol and front.Parser.
type Protocol struct{}

// Parse implements front.Parser. The id is this node's own.
func (Protocol) Parse(call *dispatch.Call) error {
	call.ID = string(engine.NewIdentifier())
	call.LastEventID = call.Header.Get(HeaderLastEvent)
	text := call.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return eris.Errorf("%s is %q; send a whole number of milliseconds", HeaderDeadline, text)
	}
	deadline := call.Arrived.Add(time.Duration(millis) * time.Millisecond)
	if deadline.Before(call.Deadline) {
		call.Deadline = deadline
	}
	return nil
}

// APIKeys implements front.Parser: routes to plain workers need no key.
func (Protocol) APIKeys(http.Header) []string { return nil }

// IDHeader implements dispatch.Wire.
func (Protocol) IDHeader() string { return HeaderAttempt }

// ForwardHeader implements dispatch.Wire.
func (Protocol) ForwardHeader(call *dispatch.Call, forward dispatch.Forward) http.Header {
	header := httpheader.WithoutHopByHop(call.Header)
	header.Del(HeaderNotRun)
	header.Del(HeaderLastEvent)
	header.Set(HeaderAttempt, call.ID)
	header.Set(HeaderWorker, forward.WorkerID)
	header.Set(HeaderDeadline, strconv.FormatInt(max(forward.Remaining.Milliseconds(), 1), 10))
	if forward.ResumeAfter != "" {
		header.Set(HeaderLastEvent, forward.ResumeAfter)
	}
	return header
}

// AnswerHeader implements dispatch.Wire.
func (Protocol) AnswerHeader(header http.Header) http.Header {
	return httpheader.WithoutHopByHop(header)
}

// Reply implements dispatch.Wire.
func (Protocol) Reply(status int, header http.Header) dispatch.Reply {
	return dispatch.Reply{
		NotExecuted: header.Get(HeaderNotRun) != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// Notice reads what the head of an answer says of whether its worker takes further requests: the
// pause that it asks for.
func (Protocol) Notice(status int, header http.Header) worker.Notice {
	if !httpheader.RetryAfterApplies(status) {
		return worker.Notice{}
	}
	pause, malformed := httpheader.RetryAfter(header)
	return worker.Notice{Backoff: pause, Malformed: malformed}
}

// Handle implements dispatch.Wire: plain workers read no prompts apart.
func (Protocol) Handle(string, []byte) (dispatch.Handle, error) {
	return dispatch.Handle{}, eris.New("plain workers read no prompts apart")
}

// Release implements dispatch.Wire.
func (Protocol) Release(handle dispatch.Handle) *workerconn.Request {
	return &workerconn.Request{Method: http.MethodDelete, Target: "/" + handle.ID, Host: handle.Address, Header: http.Header{}}
}
