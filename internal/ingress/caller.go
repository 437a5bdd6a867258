package ingress

import (
	"net/http"
	"strconv"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/httpguard"
)

// httpCaller writes an answer to a caller as it arrives from the worker.
type httpCaller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// connection is the caller's, nil if the server isn't guarded: only a reset tells callers that an
	// answer which ends with its connection has broken off.
	connection lingering
	// takesChunks is set unless the caller speaks HTTP/1.0.
	takesChunks bool
	// untilClose is set if the answer ends with the connection.
	untilClose bool
	// closeConnection is set if the answer closes the caller's connection.
	closeConnection bool
	buffered        bool
}

func newHTTPCaller(writer http.ResponseWriter, request *http.Request, closeConnection bool) *httpCaller {
	connection, _ := httpguard.Conn(request.Context()).(lingering)
	return &httpCaller{
		writer: writer, controller: http.NewResponseController(writer), connection: connection,
		takesChunks: request.ProtoAtLeast(1, 1), closeConnection: closeConnection,
	}
}

// lingering is a connection whose SO_LINGER can be set.
type lingering interface{ SetLinger(seconds int) error }

// Values of SO_LINGER: a connection is reset when it is closed, or delivers what was written.
const (
	lingerReset   = 0
	lingerDeliver = -1
)

// resetUnlessEnded makes the kernel reset the connection, also when this process is killed, if it
// is closed before end is called.
func (c *httpCaller) resetUnlessEnded() {
	c.untilClose = true
	c.setLinger(lingerReset)
}

// end ends an answer that was passed on to its end.
func (c *httpCaller) end() {
	if c.untilClose {
		c.setLinger(lingerDeliver)
	}
}

func (c *httpCaller) setLinger(seconds int) {
	if c.connection != nil {
		_ = c.connection.SetLinger(seconds) // fails only on a closed connection
	}
}

// answerEarly lets the answer be sent before the request body has been received. By default
// net/http reads the rest of a small body first. The rest of the body is dropped.
func (c *httpCaller) answerEarly() error { return c.controller.EnableFullDuplex() }

// Head implements dispatch.Caller.
func (c *httpCaller) Head(status int, header http.Header, length dispatch.Length) {
	own := c.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := own[name]; !given {
			own[name] = nil // keeps net/http from adding its own
		}
	}
	own.Del("Content-Length")
	switch {
	case length >= 0:
		own.Set("Content-Length", strconv.FormatInt(int64(length), 10))
	case length == dispatch.UntilClose:
		own.Set("Transfer-Encoding", "identity") // net/http then neither chunks nor keeps the connection
		c.resetUnlessEnded()
	case !c.takesChunks:
		c.resetUnlessEnded()
	}
	if c.closeConnection {
		own.Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
	c.buffered = length >= 0
}

// Write implements dispatch.Caller. net/http buffers an answer of known length; any other
// answer is flushed after each piece.
func (c *httpCaller) Write(piece []byte) error {
	if _, err := c.writer.Write(piece); err != nil {
		return err
	}
	if c.buffered {
		return nil
	}
	return c.controller.Flush()
}
