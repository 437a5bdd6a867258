package workerconn

import "net/http"

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
