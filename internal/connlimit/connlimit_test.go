package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestConnectionsBeyondTheLimitAreResetUnread: a process that runs out of descriptors loses what it
// has accepted, and one that stops accepting lets clients wait.
func TestConnectionsBeyondTheLimitAreResetUnread(t *testing.T) {
	const most = 3
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limit := New(most)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: limit.ConnState, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(limit.Listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	ask := func() (net.Conn, error) {
		c, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = c.Read(make([]byte, 1))
		return c, err
	}
	var accepted []net.Conn
	for range most {
		c, err := ask()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, c)
	}
	if _, err := ask(); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && err != io.EOF {
		t.Errorf("a connection beyond the limit ends with %v, want it reset", err)
	}
	if limit.Refused() == 0 || limit.Open() != most {
		t.Errorf("%d open, %d refused", limit.Open(), limit.Refused())
	}
	_ = accepted[0].Close()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, err := ask(); err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection is accepted after one was closed")
		}
	}
}
