package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// lateRequest is a request whose body becomes whole only late in a planned stop of its node.
type lateRequest struct {
	path, id string
	// opened and whole are when the connection is opened and when the body is whole, after the begin of the stop.
	opened, whole time.Duration
	deadline      time.Duration
	status        int
	body          string
	err           error
}

// send sends the request and reads its answer.
func (r *lateRequest) send(address string, begun time.Time) {
	time.Sleep(time.Until(begun.Add(r.opened)))
	c, err := net.Dial("tcp4", address)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\nX-Token-Usage: 30,20\r\nX-Prompt-Prefix: %s:30\r\nContent-Length: 4\r\n\r\nab",
		r.path, host, r.id, r.deadline.Milliseconds(), r.id)
	if _, r.err = io.WriteString(c, head); r.err != nil {
		return
	}
	time.Sleep(time.Until(begun.Add(r.whole)))
	if _, r.err = io.WriteString(c, "cd"); r.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return
	}
	r.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	r.body, r.err = string(content), err
}

// TestLateRequestsInAPlannedStopAreNotCut guards against requests that become whole late in the time for a stop,
// are sent on, and are cut off at its end: each is answered, or refused before it is sent.
func TestLateRequestsInAPlannedStopAreNotCut(t *testing.T) {
	s := start(t)
	const events, pause = 2, 750 * time.Millisecond
	for _, id := range []string{"portal-1", "portal-2", "write-1", "write-2"} {
		s.workers[id].Close()
		delete(s.workers, id)
		s.store.Put("servers", id, nil)
	}
	s.await("they are gone", func() bool { return s.node.Workers() == len(s.workers) })
	for _, options := range []fleetworker.Options{
		{ID: "portal-3", Service: portal, Events: events, Pause: pause},
		{ID: "write-3", Service: llm, Stage: "decode", Events: events, Pause: pause},
	} {
		s.addWorker(options)
	}
	s.await("only the slow workers are known", func() bool { return s.node.Workers() == len(s.workers) })
	for _, path := range []string{"/once/1", "/board/1", "/verdict/1"} { // how long /submit/ takes isn't known
		if got := s.ask(http.MethodPost, path, nil, "x"); got.status != http.StatusOK {
			t.Fatalf("%s: %d %v %s", path, got.status, got.readErr, got.body)
		}
	}
	begun := time.Now()
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.node.Stop("test") }()
	var requests []*lateRequest
	for _, path := range []string{"/once/1", "/submit/1", "/board/1", "/verdict/1", "/check/1"} {
		for whole := 2800 * time.Millisecond; whole < 7*time.Second; whole += 450 * time.Millisecond {
			for _, deadline := range []time.Duration{3500 * time.Millisecond, 20 * time.Second} {
				requests = append(requests, &lateRequest{
					path: path, id: s.nextID(), opened: 2200 * time.Millisecond, whole: whole, deadline: deadline,
				})
			}
		}
	}
	var senders sync.WaitGroup
	for _, request := range requests {
		senders.Go(func() { request.send(s.address, begun) })
	}
	senders.Wait()
	<-stopped
	served := 0
	for _, r := range requests {
		ran := len(s.runs(r.id)) > 0
		inTime := r.opened+r.deadline > r.whole+events*pause
		switch {
		case r.err != nil && !inTime: // its own deadline may have passed
		case r.err != nil && (ran || r.whole < 6500*time.Millisecond):
			t.Errorf("%s, whole after %v, deadline %v: cut off (%v); it ran: %v", r.path, r.whole, r.deadline, r.err, ran)
		case r.status == http.StatusServiceUnavailable && ran:
			t.Errorf("%s, whole after %v, deadline %v: refused, and it ran", r.path, r.whole, r.deadline)
		case r.status == http.StatusOK && r.body != fleetworker.Body(r.id, events, 0):
			t.Errorf("%s, whole after %v: the answer has %d bytes", r.path, r.whole, len(r.body))
		case r.status == http.StatusOK:
			served++
		}
	}
	t.Logf("%d of %d requests were served", served, len(requests))
	if served == 0 {
		t.Error("no request was served, although many could be")
	}
}

// TestRequestsUnderWayAtTheEndOfAStopAreAnswered guards against callers that get a closed connection, and no answer,
// since their worker doesn't answer before the node closes.
func TestRequestsUnderWayAtTheEndOfAStopAreAnswered(t *testing.T) {
	s := startWith(t, func(configured *settings.Routed) { configured.Bounds.StopMillis = 4000 })
	s.setFaults("portal", fleetworker.Hanging, 2)
	got := make(chan answer)
	for _, path := range []string{"/once/1", "/submit/1"} {
		go func() { got <- s.ask(http.MethodPost, path, nil, "x") }()
	}
	s.await("both run", func() bool { return len(s.workers["portal-1"].Runs())+len(s.workers["portal-2"].Runs()) == 2 })
	s.node.Stop("test")
	for range 2 {
		if got := <-got; got.status != http.StatusBadGateway || !got.framedAsComplete() {
			t.Errorf("%d %v, want 502: the worker may run the request", got.status, got.readErr)
		}
	}
}
