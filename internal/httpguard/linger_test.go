package httpguard

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lateEnd is a connection whose client sends nothing and ends it after some time. It synchronizes with nothing,
// so that the race detector sees what its users leave unsynchronized.
type lateEnd struct {
	*scripted
	after time.Duration
}

func (l *lateEnd) Read([]byte) (int, error) {
	time.Sleep(l.after)
	return 0, io.EOF
}

// TestServerClosesConnectionsThatEnd guards against a data race: net/http's Server.Close closes connections
// from another goroutine than the one that serves them.
func TestServerClosesConnectionsThatEnd(t *testing.T) {
	guard := newTestGuard(64<<20, 10, roomy)
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = guard.Serve(server, newSingle(&lateEnd{newScripted(), 200 * time.Millisecond}))
	}()
	for guard.openNow() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the connection is being read
	_ = server.Close()
	<-ended
	time.Sleep(300 * time.Millisecond) // its reader has returned
}

// TestRefusedClientsLingerOnce guards against a connection that is counted twice: Server.Close and the goroutine
// that serves a connection both close it.
func TestRefusedClientsLingerOnce(t *testing.T) {
	guard := newTestGuard(64<<20, 10, func() Limits { return Limits{HeadBytes: 100} })
	client := newScripted([]byte(strings.Repeat("x", 200)))
	c := guard.admit(client)
	if _, err := c.Read(make([]byte, readerSize)); err != io.EOF {
		t.Fatalf("a head that is too large: %v", err)
	}
	_ = c.Close()
	_ = c.Close()
	guard.forget(c)
	if guard.lingers() != 1 || guard.used != lingerCost || guard.openNow() != 1 {
		t.Errorf("%d linger, %d bytes are reserved, %d are open; want one connection", guard.lingers(), guard.used, guard.openNow())
	}
}

// TestClientsThatLeaveWithinAHeadDontLinger: they get no answer that a close could destroy.
func TestClientsThatLeaveWithinAHeadDontLinger(t *testing.T) {
	guard := newTestGuard(64<<20, 10, roomy)
	c := guard.admit(newScripted([]byte("GET / HTTP/1.1\r\nHost:")))
	if _, err := c.Read(make([]byte, readerSize)); err != io.EOF {
		t.Fatalf("a client that leaves: %v", err)
	}
	_ = c.Close()
	guard.forget(c)
	if guard.lingers() != 0 || guard.used != 0 || guard.openNow() != 0 {
		t.Errorf("%d linger, %d bytes are reserved, %d are open; want none", guard.lingers(), guard.used, guard.openNow())
	}
}
