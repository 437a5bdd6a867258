package site

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

func TestServesEachKindOfRoute(t *testing.T) {
	s := start(t)
	for _, path := range []string{"/board/1", "/submit/1?x=%2f&y", "/verdict/1", "/check/1"} {
		got := s.ask(http.MethodPost, path, map[string]string{"X-Stage": "prefill", "X-Other": "kept"}, strings.Repeat("b", 5000))
		if got.status != http.StatusOK || got.readErr != nil {
			t.Fatalf("%s: status %d, %v, %s", path, got.status, got.readErr, got.body)
		}
		runs := s.runs(got.id)
		if len(runs) != 1 {
			t.Fatalf("%s ran %d times", path, len(runs))
		}
		run := runs[0]
		if run.Target != path || len(run.Body) != 5000 || run.Header.Get("X-Other") != "kept" || run.Header.Get("X-Stage") != "" {
			t.Errorf("%s: the worker got %q, %d bytes, %v", path, run.Target, len(run.Body), run.Header)
		}
		if got.header.Get("X-Response-Signature") != s.workers[run.Worker].Signature(got.id) {
			t.Errorf("%s: the signature is %q", path, got.header.Get("X-Response-Signature"))
		}
		left, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
		if err != nil || left <= 0 || left > 7000 {
			t.Errorf("%s: the worker was given %q ms", path, run.Header.Get("X-Deadline-Ms"))
		}
	}
	if got := s.ask(http.MethodGet, "/check/2", nil, ""); got.body != fleetworker.Body(got.id, 4, 0) {
		t.Errorf("the stream is %q", got.body)
	}
}

// TestHeadersOfAnswersAreTheWorkers: an answer has no headers besides those of the worker and
// of HTTP itself.
func TestHeadersOfAnswersAreTheWorkers(t *testing.T) {
	s := start(t)
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	for name := range got.header {
		switch name {
		case "X-Request-Id", "X-Instance-Id", "X-Response-Signature", "X-Server-Load", "Content-Length", "Connection", "Date", "Content-Type":
		default:
			t.Errorf("the answer has %s: %q", name, got.header[name])
		}
	}
}

// TestNotRepeatableRunsAtMostOnce: a request that must not be repeated runs once, whatever the
// worker does, and is never answered as not run.
func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	for _, fault := range []fleetworker.Fault{fleetworker.CutEarly, fleetworker.Failing, fleetworker.CutMidway} {
		for _, path := range []string{"/submit/1", "/verdict/1"} {
			s := start(t)
			s.setFaults("portal", fault, 1)
			s.setFaults("write", fault, 1)
			got := s.ask(http.MethodPost, path, nil, "x")
			if runs := s.runs(got.id); len(runs) != 1 {
				t.Errorf("%s, %s: ran %d times", fault, path, len(runs))
			}
			if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
				t.Errorf("%s, %s: it ran and the answer is %d", fault, path, got.status)
			}
			if got.status == http.StatusOK && got.readErr == nil {
				t.Errorf("%s, %s: an incomplete answer looks complete: %q", fault, path, got.body)
			}
		}
	}
}

// TestRepeatableIsServedElsewhere: if the caller has received nothing yet, another worker
// serves a repeatable request that failed.
func TestRepeatableIsServedElsewhere(t *testing.T) {
	for _, fault := range []fleetworker.Fault{fleetworker.CutEarly, fleetworker.Failing, fleetworker.CutMidway, fleetworker.Full} {
		s := start(t)
		s.workers["portal-1"].SetFault(fault, 1)
		s.workers["portal-2"].SetFault(fault, 0)
		for range 3 {
			got := s.ask(http.MethodGet, "/board/1", nil, "")
			if got.status != http.StatusOK || got.readErr != nil || got.body != fleetworker.Body(got.id, 1, 0) {
				t.Errorf("%s: %d %v %q", fault, got.status, got.readErr, got.body)
			}
		}
	}
}

// TestNotRunIsServedElsewhere: a request of any kind that a worker rejects as not run is sent
// to another worker.
func TestNotRunIsServedElsewhere(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].SetFault(fleetworker.Full, 3)
	for range 6 {
		if got := s.ask(http.MethodPost, "/submit/1", nil, "x"); got.status != http.StatusOK || len(s.runs(got.id)) != 1 {
			t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
		}
	}
}

// TestStreamIsResumedAtAnotherWorker: the caller gets each event once, in order, and never a
// part of one.
func TestStreamIsResumedAtAnotherWorker(t *testing.T) {
	s := start(t)
	s.workers["write-1"].SetFault(fleetworker.CutMidway, 1)
	s.workers["write-2"].SetFault(fleetworker.CutMidway, 0)
	for range 3 {
		got := s.ask(http.MethodPost, "/check/1", nil, "x")
		if got.status != http.StatusOK || got.readErr != nil || got.body != fleetworker.Body(got.id, 4, 0) {
			t.Errorf("%d %v %q", got.status, got.readErr, got.body)
		}
	}
}

// TestLapsedHandleIsPlannedAgain: if the KV handle of a disaggregated prefill is gone, this
// costs an attempt and the request is still served.
func TestLapsedHandleIsPlannedAgain(t *testing.T) {
	s := start(t)
	s.workers["read-1"].SetFault(fleetworker.LosesHandles, -1)
	for i := range 4 {
		got := s.ask(http.MethodPost, "/check/"+strconv.Itoa(i), nil, "x")
		if got.status != http.StatusOK || got.body != fleetworker.Body(got.id, 4, 0) {
			t.Errorf("%d %v %q", got.status, got.readErr, got.body)
		}
	}
}

func TestRefusals(t *testing.T) {
	s := start(t)
	for _, example := range []struct {
		name, path, code string
		header           map[string]string
		body             string
		status           int
	}{
		{"no such route", "/other/1", "1010", nil, "", http.StatusNotFound},
		{"long body", "/board/1", "1002", nil, strings.Repeat("b", 10001), http.StatusRequestEntityTooLarge},
		{"long header", "/board/1", "1011", map[string]string{"X-Long": strings.Repeat("h", 5000)}, "", http.StatusRequestHeaderFieldsTooLarge},
		{"bad deadline", "/board/1", "1001", map[string]string{"X-Deadline-Ms": "soon"}, "", http.StatusBadRequest},
		{"bad prompt", "/check/1", "1001", map[string]string{"X-Prompt-Prefix": "zz:x"}, "", http.StatusBadRequest},
	} {
		got := s.ask(http.MethodPost, example.path, example.header, example.body)
		if got.status != example.status || !strings.Contains(got.body, example.code) {
			t.Errorf("%s: %d %s", example.name, got.status, got.body)
		}
		if len(s.runs(got.id)) != 0 {
			t.Errorf("%s: it ran", example.name)
		}
	}
}

// TestCallerThatLeavesEndsItsWork: if the caller disconnects, the connection to the worker is
// closed too.
func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.Hanging, -1)
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/submit/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", "leaver")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	s.await("it runs", func() bool { return len(s.runs("leaver")) == 1 })
	leave()
	<-ended
	s.await("the worker sees that the caller is gone", func() bool {
		return s.workers["portal-1"].CallersGone()+s.workers["portal-2"].CallersGone() == 1
	})
}

// TestDeadlineEndsARequest: a request that may have run when its deadline passes isn't answered
// as not run.
func TestDeadlineEndsARequest(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.Hanging, -1)
	got := s.ask(http.MethodPost, "/submit/1", map[string]string{"X-Deadline-Ms": "200"}, "x")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("%d %s", got.status, got.body)
	}
}

// TestSmuggledRequestIsNotRun: data that follows a request with both Content-Length and
// Transfer-Encoding isn't forwarded as part of its body.
func TestSmuggledRequestIsNotRun(t *testing.T) {
	s := start(t)
	connection, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	text := "POST /submit/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: outer\r\n" +
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /submit/2 HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: inner\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode == http.StatusOK && len(s.runs("outer")) == 1 && len(s.runs("outer")[0].Body) > 0 {
		t.Errorf("the body is %q", s.runs("outer")[0].Body)
	}
	for _, run := range s.runs("outer") {
		if run.Header.Get("Transfer-Encoding") != "" {
			t.Error("the worker was told of a transfer encoding")
		}
	}
}
