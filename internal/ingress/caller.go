package ingress

import (
	"net/http"
	"strconv"
)

// httpCaller writes an answer to a caller as it comes.
type httpCaller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// closeConnection asks the caller to use another connection next.
	closeConnection bool
	buffered        bool
}

func newHTTPCaller(writer http.ResponseWriter, closeConnection bool) *httpCaller {
	return &httpCaller{writer: writer, controller: http.NewResponseController(writer), closeConnection: closeConnection}
}

// answerEarly lets the answer go out before the request's body has come: net/http would
// else read a small one first. What comes of it later is dropped.
func (c *httpCaller) answerEarly() error { return c.controller.EnableFullDuplex() }

// Head implements dispatch.Caller.
func (c *httpCaller) Head(status int, header http.Header, length int64) {
	own := c.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := own[name]; !given {
			own[name] = nil // net/http would add one of its own
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

// Write implements dispatch.Caller. An answer of known length is sent by net/http
// when it is whole; anything else is sent at once.
func (c *httpCaller) Write(piece []byte) error {
	if _, err := c.writer.Write(piece); err != nil {
		return err
	}
	if c.buffered {
		return nil
	}
	return c.controller.Flush()
}
