// Package httphead reads the heads of HTTP/1.1 answers from peers that may send bytes without end, or bytes that are
// no answer: a head has a bound in bytes and, from its first byte on, in time, and what net/http accepts beyond the
// protocol is rejected (Check).
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxBytes bounds the head of an answer, with the heads of the interim answers before it.
	MaxBytes = 64 << 10
	// maxInterim bounds the interim answers (1xx) before an answer.
	maxInterim = 8
	// headTimeout bounds the time from the first byte of a head to its last.
	headTimeout = 2 * time.Second
)

// Errors of ReadHead. The connection can't be used any more.
var (
	ErrTooLong = eris.Errorf("the head of the answer has more than %d bytes; the connection is closed", MaxBytes)
	ErrTooSlow = eris.Errorf("the head of the answer did not end within %v of its first byte; the connection is closed", headTimeout)
	errInterim = eris.Errorf("more than %d interim answers came before the answer; the connection is closed", maxInterim)
)

// Reader reads answers from a connection.
type Reader struct {
	*bufio.Reader
	inner net.Conn
	// left is how many bytes of the head may still come, and inHead tells that a head is read.
	left   int
	inHead bool
	// recorded are the bytes that were received since record was called, if recording is set.
	recorded  []byte
	recording bool
}

// NewReader returns a reader of a connection with a buffer of that size.
func NewReader(inner net.Conn, bufferBytes int) *Reader {
	r := &Reader{inner: inner}
	r.Reader = bufio.NewReaderSize(boundedReader{r}, bufferBytes)
	return r
}

// boundedReader reads from the connection of a Reader within the bound of a head.
type boundedReader struct{ of *Reader }

// Read implements io.Reader.
func (b boundedReader) Read(buffer []byte) (int, error) {
	r := b.of
	if !r.inHead {
		return r.inner.Read(buffer)
	}
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	count, err := r.inner.Read(buffer[:min(len(buffer), r.left)])
	r.left -= count
	if r.recording {
		r.recorded = append(r.recorded, buffer[:count]...)
	}
	return count, err
}

// record begins to record what is consumed of r, which stop returns.
func (r *Reader) record() {
	buffered, _ := r.Peek(r.Buffered())
	r.recorded, r.recording = bytes.Clone(buffered), true
}

func (r *Reader) stop() []byte {
	consumed := r.recorded[:len(r.recorded)-r.Buffered()]
	r.recorded, r.recording = nil, false
	return consumed
}

// ReadHead reads the head of the answer to a request, of which method and header are used, and passes over interim
// answers. The head has passed Check. The answer's body is read from r.
func (r *Reader) ReadHead(request *http.Request) (*http.Response, error) {
	r.inHead, r.left = true, MaxBytes
	defer func() { r.inHead = false }()
	for range maxInterim + 1 {
		response, err := r.readOne(request)
		if err != nil {
			return nil, err
		}
		if err := Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInterim
}

// readOne reads one head. The wait for its first byte is bounded by the connection's deadline.
func (r *Reader) readOne(request *http.Request) (*http.Response, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(headTimeout, func() { _ = r.inner.Close() })
	response, err := r.parse(request)
	switch {
	case !timer.Stop():
		return nil, ErrTooSlow
	case err == io.ErrUnexpectedEOF && r.left <= 0:
		return nil, ErrTooLong
	}
	return response, err
}

// versionHTTP10 begins an answer of HTTP/1.0.
const versionHTTP10 = "HTTP/1.0"

func (r *Reader) parse(request *http.Request) (*http.Response, error) {
	if version, _ := r.Peek(len(versionHTTP10)); string(version) != versionHTTP10 {
		return http.ReadResponse(r.Reader, request)
	}
	r.record()
	response, err := http.ReadResponse(r.Reader, request)
	head := r.stop()
	if err != nil {
		return nil, err
	}
	return response, checkHTTP10(head)
}
