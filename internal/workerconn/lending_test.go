package workerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/tunnel"
)

// answerAll answers each request.
func answerAll(c net.Conn, requests *bufio.Reader) {
	for {
		id, ok := readRequest(requests)
		if !ok {
			return
		}
		write(c, completeAnswer(id, "ok"))
	}
}

// TestLentConnectionsCountAsTheLenders guards against a worker that gets more connections than it
// takes from all nodes together.
func TestLentConnectionsCountAsTheLenders(t *testing.T) {
	s := serve(t, answerAll)
	pool := NewPool()
	defer pool.Close()
	const limit = 4
	own, err := pool.getConn(context.Background(), "w", s.address(), limit, &Request{IDHeader: "Id"})
	if err != nil {
		t.Fatal(err)
	}
	lend := func() (net.Conn, error) { return pool.Lend(context.Background(), "w", s.address(), limit) }
	var lent []net.Conn
	for range limit - 2 {
		c, err := lend()
		if err != nil {
			t.Fatal(err)
		}
		lent = append(lent, c)
	}
	if _, err := lend(); !errors.Is(err, tunnel.ErrFull) {
		t.Errorf("the last connection is lent too: %v", err)
	}
	if got := pool.open["w"]; got != limit-1 {
		t.Errorf("%d connections count, want %d", got, limit-1)
	}
	_ = lent[0].Close()
	_ = lent[0].Close()
	if got := pool.open["w"]; got != limit-2 {
		t.Errorf("%d connections count after one was returned, want %d", got, limit-2)
	}
	pool.discard("w", own)
	pool.usedAt = time.Now().Add(-callersFor)
	for range limit - 1 { // one is still lent
		if _, err := lend(); err != nil {
			t.Errorf("a node without callers doesn't lend all of its share: %v", err)
		}
	}
	if _, err := lend(); !errors.Is(err, tunnel.ErrFull) {
		t.Errorf("more than the share is lent: %v", err)
	}
}

// TestIdleConnectionIsLent: connections that nobody uses must not keep a share from others.
func TestIdleConnectionIsLent(t *testing.T) {
	s := serve(t, answerAll)
	pool := NewPool()
	defer pool.Close()
	const limit = 4 // one of which a node with callers keeps
	if got := pool.Probe(context.Background(), key, s.address(), limit); got != Alive {
		t.Fatalf("the worker is %s", got)
	}
	c, err := pool.Lend(context.Background(), key, s.address(), limit)
	if err != nil || pool.Opened() != 1 {
		t.Fatalf("%d connections were opened, want the idle one: %v", pool.Opened(), err)
	}
	_ = c.Close()
}

// TestUsedConnectionIsNotLent guards against an answer to the lender's request that comes late and is taken for
// the borrower's. The connection is closed where it would keep the share from others.
func TestUsedConnectionIsNotLent(t *testing.T) {
	s := serve(t, answerAll)
	pool := NewPool()
	defer pool.Close()
	const limit = 2
	wantAnswer(t, send(t, pool, s, "1", ""), "ok")
	pool.mu.Lock()
	pool.open["worker"] = limit
	pool.usedAt = time.Time{}
	pool.mu.Unlock()
	c, err := pool.Lend(context.Background(), "worker", s.address(), limit)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if pool.Opened() != 2 || pool.open["worker"] != limit || len(pool.idle["worker"]) != 0 {
		t.Errorf("%d connections were opened, %d count, %d are idle", pool.Opened(), pool.open["worker"], len(pool.idle["worker"]))
	}
}

// TestBorrowedConnectionIsReturned once it has been idle, since its lender has one less.
func TestBorrowedConnectionIsReturned(t *testing.T) {
	s := serve(t, answerAll)
	pool, _ := tunnelledPool(t, s.address())
	pool.open[key] = 2 // all of this node's are in use
	answer, err := pool.Do(context.Background(), key, s.address(), 2, &Request{Method: http.MethodGet, Target: "/", Host: "h", Borrow: true})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if got := len(pool.idle[key]); got != 1 || !pool.idle[key][0].lent || pool.open[key] != 2 {
		t.Fatalf("%d idle connections, %d count", got, pool.open[key])
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(lentIdle / 10) {
		pool.mu.Lock()
		left := len(pool.idle[key])
		pool.mu.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("an idle borrowed connection is kept")
		}
	}
}

// TestShortConnectionsAreTold: the connections of callers that don't read are closed only if that is told in time.
func TestShortConnectionsAreTold(t *testing.T) {
	const limit = 2 * spareParts
	pool := NewPool()
	times := 0
	pool.SetShort(func() { times++ })
	for taken := range limit {
		if _, err := pool.takeIdle("w", limit, func(*conn) bool { return true }); err != nil {
			t.Fatal(err)
		}
		if told := times > 0; told != (taken >= limit-limit/spareParts) {
			t.Errorf("with %d of %d connections in use it was told %d times", taken, limit, times)
		}
	}
	if _, err := pool.takeIdle("w", limit, func(*conn) bool { return true }); !errors.Is(err, ErrFull) || times != limit/spareParts+1 {
		t.Errorf("beyond the limit: %v, told %d times", err, times)
	}
}
