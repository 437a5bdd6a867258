// Package plainhttp implements the protocol to plain workers, which are ordinary HTTP servers.
// It adds headers of tinarch's own to forwarded requests. Workers may ignore them; one that
// knows them can prove that it didn't run a request.
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

// These are tinarch's own headers, and Last-Event-Id of server-sent events.
const (
	// HeaderAttempt carries the request's id to the worker, which may repeat it in its answer.
	// All tries of a request carry the same id.
	HeaderAttempt = "Tinarch-Attempt"
	// HeaderDeadline is how long the caller waits, in milliseconds. The worker gets the time
	// that is left.
	HeaderDeadline = "Tinarch-Deadline-Ms"
	// HeaderWorker is the id of the worker that a request is sent to.
	HeaderWorker = "Tinarch-Worker"
	// HeaderNotRun in an answer proves that the worker didn't run the request.
	HeaderNotRun = "Tinarch-Not-Run"
	// HeaderLastEvent is the id of the event after which a stream continues.
	HeaderLastEvent = "Last-Event-Id"
)

// Protocol implements dispatch.Wire and ingress.Parser for plain workers.
type Protocol struct{}

// Parse implements ingress.Parser. The id of the call is created by this node.
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

// APIKeys implements ingress.Parser. Routes to plain workers need no API key.
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

// Notice returns the pause that an answer asks for with Retry-After. Plain workers have no
// other notice.
func (Protocol) Notice(status int, header http.Header) worker.Notice {
	if !httpheader.RetryAfterApplies(status) {
		return worker.Notice{}
	}
	pause, malformed := httpheader.RetryAfter(header)
	return worker.Notice{Backoff: pause, Malformed: malformed}
}

// Handle implements dispatch.Wire. It always fails: plain workers have no disaggregated
// prefill.
func (Protocol) Handle(string, []byte) (dispatch.Handle, error) {
	return dispatch.Handle{}, eris.New("plain workers read no prompts apart")
}

// Release implements dispatch.Wire.
func (Protocol) Release(handle dispatch.Handle) *workerconn.Request {
	return &workerconn.Request{Method: http.MethodDelete, Target: "/" + handle.ID, Host: handle.Address, Header: http.Header{}}
}
