package workerconn

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

var errClosed = errors.New("closed")

// fakeMonitor admits the given number of requests and counts its calls.
type fakeMonitor struct{ admitted, sent, answered atomic.Int64 }

func (g *fakeMonitor) Admit(string, *Request) error {
	if g.admitted.Add(-1) < 0 {
		return errClosed
	}
	return nil
}

func (g *fakeMonitor) Sending(string, *Request) { g.sent.Add(1) }

func (g *fakeMonitor) Answered(string, *Request, int, http.Header) { g.answered.Add(1) }

func TestWithheldRequestIsNotSent(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for asked, admitted := range []int64{0, 1} { // rejected before a connection is opened, and after
		monitor, pool := &fakeMonitor{}, NewPool()
		monitor.admitted.Store(admitted)
		pool.SetMonitor(monitor)
		_, err := pool.Do(context.Background(), "w", address, 1, &Request{Method: http.MethodGet, Target: "/", Host: address})
		if !Withheld(err) || !Unsent(err) || !errors.Is(err, errClosed) {
			t.Errorf("the error is %v, want that of a withheld request", err)
		}
		if pool.Opened() != uint64(asked) {
			t.Errorf("%d connections were opened, want %d", pool.Opened(), asked)
		}
		monitor.admitted.Store(2)
		answer, err := pool.Do(context.Background(), "w", address, 1, &Request{Method: http.MethodGet, Target: "/", Host: address})
		if err != nil {
			t.Fatalf("the connection of a withheld request can't be used: %v", err)
		}
		_ = answer.Body.Close()
		if monitor.sent.Load() != 1 || monitor.answered.Load() != 1 {
			t.Errorf("the monitor saw %d requests and %d answers, want one each", monitor.sent.Load(), monitor.answered.Load())
		}
		pool.Close()
	}
	if arrived.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", arrived.Load())
	}
}
