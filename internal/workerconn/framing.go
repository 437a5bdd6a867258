package workerconn

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrUnproved ends the body of an unframed answer whose connection was closed in order, in place
// of io.EOF. Nothing tells such an answer from one that broke off.
var ErrUnproved = eris.New("the worker closed the connection of an answer without length or chunks: it may have broken off")

// errRequestCut ends the body of an unframed answer whose connection ended before the worker had
// received the whole request.
var errRequestCut = eris.New("the worker closed the connection of an answer without length or chunks before it had the whole request: the answer has broken off")

// Framing is how an answer marks the end of its body (RFC 9112, section 6.3).
type Framing string

// The framings of an answer.
const (
	// FramedByLength answers state the length of their body.
	FramedByLength Framing = "length"
	// FramedByChunks answers end with a last chunk.
	FramedByChunks Framing = "chunks"
	// Unframed answers end with their connection.
	Unframed Framing = "none"
	// NoBody answers have no body, whatever their header says.
	NoBody Framing = "no body"
)

// framingOf returns the framing of the answer to a request with a method.
func framingOf(method string, response *http.Response) Framing {
	switch {
	case method == http.MethodHead, response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return NoBody
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	}
	return Unframed
}

// ReadDocument reads a body whose content marks its own end, as JSON does, so that its parser
// finds whether it is complete. limit bounds what is read.
func ReadDocument(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit))
	if errors.Is(err, ErrUnproved) {
		err = nil
	}
	return content, err
}

// Discard reads an answer of which only status and header count to its end, so that its
// connection can be used again, and closes it. limit bounds what is read.
func Discard(answer *Answer, limit int64) error {
	_, err := ReadDocument(answer.Body, limit)
	_ = answer.Body.Close()
	return err
}
