// Package workerconn keeps a pool of HTTP connections to workers and carries one request at a
// time over each. Unlike net/http's transport it never resends a request by itself, it reports
// whether any byte of a request was sent, and it drops answers that belong to another request.
package workerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/httphead"
	"github.com/tinarch/tinarch/internal/tunnel"
)

// Request is one HTTP request to a worker.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header in which an answer repeats ID. Both are empty for requests of the
	// node's own. An answer that may belong to an earlier request is dropped.
	IDHeader string
	ID       string
	// DropAfter, if it isn't zero, resets the connection when the request is cancelled, or when
	// the worker hasn't acknowledged its bytes for this long. Otherwise the kernel would go on
	// sending what is left of the request.
	DropAfter time.Duration
	// DirectOnly sends the request over this node's own link only, so that it counts as this
	// node's and isn't held up at another one.
	DirectOnly bool
	// Borrow allows a connection that counts as another node's if all of this node's are in use.
	Borrow bool
	// Continues tells that the request continues a stream of which its caller has events.
	Continues bool
	// Verify makes sure that the worker is the incarnation that the request is for, where the worker
	// tells that.
	Verify bool
}

// Answer is the status and header of a worker's answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if the header doesn't tell it.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing
	// Body must be closed. It is complete only if it was read to io.EOF without another error.
	// An unframed one ends with ErrUnproved at best.
	Body io.ReadCloser
	// Through is the address of the other node that the answer came through, empty if it came over
	// this node's own link.
	Through string
}

// SendError is a failure before the header of the answer was received.
type SendError struct {
	// Unsent is set if no byte was sent, so that the worker can't have run the request.
	Unsent bool
	// Withheld is set if the request wasn't sent since its worker must not get it now.
	Withheld bool
	// Unreached is set if neither this node nor another one that it could ask got a connection,
	// and OwnLink if that may be for this node's own links: no other node has confirmed it.
	Unreached, OwnLink bool
	Cause              error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Unsent reports whether an error proves that no byte of the request was sent.
func Unsent(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.Unsent
}

// Withhold returns the error of a request that isn't sent, since its worker must not get it now.
func Withhold(cause error) error { return &SendError{Unsent: true, Withheld: true, Cause: cause} }

// Withheld reports whether a request wasn't sent since its worker must not get it now. That is no
// failure of the worker.
func Withheld(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.Withheld
}

// OwnLink reports whether an error may be due to this node's own links rather than the worker.
func OwnLink(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.OwnLink
}

// Unreached reports whether no node got a connection for a request.
func Unreached(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.Unreached
}

const (
	bufferBytes = 4096
	// inlineBytes is the largest body that is written in one call with the header, before the
	// answer is read.
	inlineBytes = 2048
	// maxStrayAnswers is the number of answers of other requests that are dropped while waiting
	// for the right one.
	maxStrayAnswers = 2
	// maxStrayBytes is the number of bytes read of the body of such an answer.
	maxStrayBytes = 1 << 20
)

// conn is one connection to a worker.
type conn struct {
	net.Conn
	reader *httphead.Reader
	raw    syscall.RawConn
	// sends is what the connection has carried.
	sends sends
	// dropped is called with the ids that an answer which isn't the request's bears. It may be nil.
	dropped func(request *Request, found []string)
	// idleSince is when the connection became idle, and idleLimit for how long it may be used
	// again before the worker may close it.
	idleSince time.Time
	idleLimit time.Duration
	// heard is when the connection was last recorded as one on which the worker was heard.
	heard time.Time
	// verified is set once the worker at the other end is known to be the incarnation that the
	// connection is for.
	verified bool
	// lent is set if the connection counts as one of another node, which has lent it.
	lent bool
	// dropsUnsent is set if the socket options for Request.DropAfter are in force.
	dropsUnsent bool
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, reader: httphead.NewReader(inner, bufferBytes)}
	if access, ok := inner.(syscall.Conn); ok {
		c.raw, _ = access.SyscallConn()
	}
	return c
}

// quiet reports whether an idle connection has received nothing: neither unexpected bytes nor
// its end.
func (c *conn) quiet() bool {
	if c.buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// buffered returns the number of bytes that were received and not read.
func (c *conn) buffered() int {
	count := c.reader.Buffered()
	if through, isTunnel := c.Conn.(*tunnel.Conn); isTunnel {
		count += through.Buffered()
	}
	return count
}

// through returns the address of the other node that the connection goes through, if any.
func (c *conn) through() string {
	if through, isTunnel := c.Conn.(*tunnel.Conn); isTunnel {
		return through.Node().String()
	}
	return ""
}

// head returns the request line and header as they are sent.
func (r *Request) head() []byte {
	var out strings.Builder
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.WriteSubset(&out, map[string]bool{"Host": true, "Content-Length": true})
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return []byte(out.String())
}

// roundTrip sends a request that the connection admits, and reads the header of its answer. The
// channel receives the result of sending the body.
func (c *conn) roundTrip(ctx context.Context, request *Request) (*http.Response, <-chan error, error) {
	written, err := c.send(request)
	if err != nil {
		return nil, nil, err
	}
	for range maxStrayAnswers + 1 {
		response, err := c.reader.ReadHead(&http.Request{Method: request.Method})
		if err != nil {
			return nil, nil, &SendError{Cause: cause(ctx, err)}
		}
		if c.sends.takes(request, response.Header) {
			return response, written, nil
		}
		if c.dropped != nil {
			c.dropped(request, c.sends.repeatedIDs(response.Header))
		}
		// The next answer is read unless the connection can't be used further: the answer broke
		// off or closes the connection.
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || response.Close {
			return nil, nil, &SendError{Cause: eris.New("the answer of another request came and broke off")}
		}
	}
	return nil, nil, &SendError{Cause: eris.New("only answers of other requests came")}
}

// cause returns the reason why the context ended, if it did, rather than the read error that
// followed from it.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) send(request *Request) (<-chan error, error) {
	c.sends.add(request)
	head := request.head()
	written := make(chan error, 1)
	if len(request.Body) <= inlineBytes {
		count, err := c.Write(append(head, request.Body...))
		if err != nil {
			return nil, &SendError{Unsent: count == 0, Cause: err}
		}
		written <- nil
		return written, nil
	}
	// Large bodies are sent in the background, because the worker may answer before it has read
	// them.
	go func() {
		buffers := net.Buffers{head, request.Body}
		_, err := buffers.WriteTo(c.Conn)
		written <- err
	}()
	return written, nil
}

// keepAlive returns how long the worker keeps an idle connection open, defaultIdle if it
// doesn't tell.
func keepAlive(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if err == nil && seconds >= 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return defaultIdle
}
