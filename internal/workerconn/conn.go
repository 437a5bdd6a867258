// Package workerconn keeps connections to workers and carries one request at a
// time over each. Unlike net/http's transport it never sends a request again by
// itself, tells whether a byte of a request left, and drops answers that belong
// to another request.
package workerconn

import (
	"bufio"
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
)

// Request is one request to a worker.
type Request struct {
	Method string
	// Target is the path and query, exactly as they are sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that answers echo; an answer with another value
	// belongs to an earlier request and is dropped. Where it is empty, or the answer
	// echoes nothing, any answer is accepted.
	IDHeader string
	ID       string
	// DropAfter, where it is set, has the connection drop the request, instead of sending
	// it on, once it is given up or that time has passed without an acknowledgement.
	DropAfter time.Duration
}

// Answer is the head of a worker's answer, with the body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it isn't told.
	Length int64
	// Body must be closed. Only a body that was read to its end without an error
	// is whole.
	Body io.ReadCloser
}

// SendError is a failure before any answer.
type SendError struct {
	// Unsent tells that no byte left, so that the worker can't have run it.
	Unsent bool
	// Withheld tells that the pool's monitor kept it from the worker.
	Withheld bool
	Cause    error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Unsent reports whether an error proves that no byte of the request left.
func Unsent(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.Unsent
}

// Withheld reports whether a request was kept from its worker, which says nothing of the
// worker's soundness.
func Withheld(err error) bool {
	var failure *SendError
	return errors.As(err, &failure) && failure.Withheld
}

const (
	bufferBytes = 4096
	// inlineBytes is the largest body that is written before the answer is read.
	inlineBytes = 2048
	// maxStrayAnswers bounds the answers of other requests that are dropped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// conn is one connection to a worker.
type conn struct {
	net.Conn
	reader *bufio.Reader
	raw    syscall.RawConn
	// idleSince and idleLimit tell when the worker may close it.
	idleSince time.Time
	idleLimit time.Duration
	// dropsUnsent tells that it carries a request with DropAfter.
	dropsUnsent bool
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, reader: bufio.NewReaderSize(inner, bufferBytes)}
	if access, ok := inner.(syscall.Conn); ok {
		c.raw, _ = access.SyscallConn()
	}
	return c
}

// quiet reports whether nothing has arrived on an idle connection: neither bytes
// that belong to no request, nor its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
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

// head renders the request line and headers.
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

// roundTrip sends a request and reads the head of its answer.
func (c *conn) roundTrip(ctx context.Context, request *Request) (*http.Response, <-chan error, error) {
	written, err := c.send(request)
	if err != nil {
		return nil, nil, err
	}
	for range maxStrayAnswers + 1 {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, nil, &SendError{Cause: cause(ctx, err)}
		}
		echoed := response.Header.Get(request.IDHeader)
		if request.IDHeader == "" || echoed == "" || echoed == request.ID {
			return response, written, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || response.Close {
			return nil, nil, &SendError{Cause: eris.New("the answer of another request came and broke off")}
		}
	}
	return nil, nil, &SendError{Cause: eris.New("only answers of other requests came")}
}

// cause prefers the reason why the context ended to the broken read it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) send(request *Request) (<-chan error, error) {
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
	// The worker may answer before it reads a long body.
	go func() {
		buffers := net.Buffers{head, request.Body}
		_, err := buffers.WriteTo(c.Conn)
		written <- err
	}()
	return written, nil
}

func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// keepAlive returns how long the worker keeps an idle connection, defaultIdle
// where it doesn't say.
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
