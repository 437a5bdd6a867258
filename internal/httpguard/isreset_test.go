package httpguard

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestRequestsOfResetConnectionsAreNotServed: what a client sent before it reset its connection can still be read.
// Clients that did so again and again took the processor of a machine that had a part of a core.
func TestRequestsOfResetConnectionsAreNotServed(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	left, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(left, request); err != nil {
		t.Fatal(err)
	}
	reset(left) // before the server accepts
	guard := newTestGuard(64<<20, 10, roomy)
	var served atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = guard.Serve(server, inner)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	stays, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stays.Close()
	if _, err := io.WriteString(stays, request); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(stays); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(awaitTimeout); guard.openNow() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if count := served.Load(); count != 1 || guard.openNow() != 0 {
		t.Errorf("%d requests were served, %d connections are open; want one and none", count, guard.openNow())
	}
}
