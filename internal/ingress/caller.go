package ingress

import (
	"net/http"
	"strconv"
)

// httpCaller writes an answer to a caller as it arrives from the worker.
type httpCaller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// closeConnection is set if the answer closes the caller's connection.
	closeConnection bool
	buffered        bool
}

func newHTTPCaller(writer http.ResponseWriter, closeConnection bool) *httpCaller {
	return &httpCaller{writer: writer, controller: http.NewResponseController(writer), closeConnection: closeConnection}
}

// answerEarly lets the answer be sent before the request body has been received. By default
// net/http reads the rest of a small body first. The rest of the body is dropped.
func (c *httpCaller) answerEarly() error { return c.controller.EnableFullDuplex() }

// Head implements dispatch.Caller.
func (c *httpCaller) Head(status int, header http.Header, length int64) {
	own := c.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := own[name]; !given {
			own[name] = nil // keeps net/http from adding its own
		}
	}
	if length >= 0 {
		own.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		own.Del("Content-Length")
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
