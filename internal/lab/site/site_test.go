// Package site tests whole nodes on stand-ins of the users' platform.
package site

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/serving"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/workerconn"
	"github.com/tinarch/tinarch/platform"
)

const (
	host    = "portal.example"
	llm     = "llm"
	portal  = "portal"
	patient = 20 * time.Second
)

// site is a platform with workers and one node, in this process.
type site struct {
	t       *testing.T
	store   *fleetstore.Store
	workers map[string]*fleetworker.Worker
	node    *serving.Node
	address string
	logs    *bytes.Buffer
	next    int
}

// configuration is the operator's, with one route of each kind.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "Service": service,
			"TimeoutMs": 8000, "TargetLatencyMs": 4000, "Priority": 1, "MaxAttempts": attempts, "Resumable": resumable,
		}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("board", "/board/", "idempotent", portal, 2, false),
			route("submit", "/submit/", "non_idempotent", portal, 2, false),
			route("once", "/once/", "non_idempotent", portal, 1, false),
			route("verdict", "/verdict/", "streaming", llm, 2, false),
			route("check", "/check/", "streaming", llm, 2, true),
		},
		"Services": []any{
			map[string]any{"Name": llm, "MaxConnections": 100, "Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 100000}},
			map[string]any{"Name": portal, "MaxConnections": 100},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 4096, "MaxBodyBytes": 10000},
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// start runs a site with a configuration and workers, and waits until its node is
// ready.
func start(t *testing.T) *site {
	t.Helper()
	s := startUnconfigured(t)
	for _, options := range []fleetworker.Options{
		{ID: "read-1", Service: llm, Stage: "prefill", Kept: map[string]int{"5c1e07a2": 800, "91bd3f06": 410}},
		{ID: "write-1", Service: llm, Stage: "decode"},
		{ID: "write-2", Service: llm, Stage: "decode"},
		{ID: "portal-1", Service: portal, Events: 1},
		{ID: "portal-2", Service: portal, Events: 1},
	} {
		s.addWorker(options)
	}
	s.store.Put("op", "config", configuration(1))
	s.await("the node is ready", s.node.Ready)
	s.await("all workers are known", func() bool { return s.node.Workers() == len(s.workers) })
	return s
}

func startUnconfigured(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: fleetstore.Start(), workers: make(map[string]*fleetworker.Worker), logs: &bytes.Buffer{}}
	t.Cleanup(s.store.Close)
	s.address = freePort(t)
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: "node-1", Zone: "a"}
	configured.Listen = settings.RoutedListen{Callers: s.address, Readiness: freePort(t), Exchange: freePort(t), Metrics: freePort(t)}
	configured.Store.Address = s.store.Address()
	log := logrus.New()
	log.SetOutput(io.Discard)
	adapter := platform.New(platform.Options{Store: configured.Store.Address, Dial: workerconn.DialStore})
	node, err := serving.Start(configured, adapter, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	s.node = node
	return s
}

func (s *site) addWorker(options fleetworker.Options) {
	options.Zone = "a"
	worker := fleetworker.Start(options)
	s.t.Cleanup(worker.Close)
	s.workers[options.ID] = worker
	s.store.Put("servers", options.ID, worker.Entry("ready"))
}

func (s *site) await(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patient); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not seen in %v: %s", patient, what)
		}
	}
}

// runs returns all runs of a request over all workers.
func (s *site) runs(id string) []fleetworker.Run {
	var runs []fleetworker.Run
	for _, worker := range s.workers {
		for _, run := range worker.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func (s *site) setFaults(service string, fault fleetworker.Fault, count int) {
	for _, worker := range s.workers {
		if strings.HasPrefix(worker.ID(), service) {
			worker.SetFault(fault, count)
		}
	}
}

type answer struct {
	id      string
	status  int
	header  http.Header
	body    string
	readErr error
}

// ask sends a request and reads its answer.
func (s *site) ask(method, path string, header map[string]string, body string) answer {
	s.t.Helper()
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	request, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "7000")
	if strings.HasPrefix(path, "/verdict/") || strings.HasPrefix(path, "/check/") {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", "3000,20")
		request.Header.Set("X-Prompt-Prefix", "aa:2000,"+id+":1000")
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{id: id, readErr: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, header: response.Header, body: string(content), readErr: err}
}

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

// TestHeadersOfAnswersAreTheWorkers: nothing is added that the worker didn't say.
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

// TestNotRepeatableRunsAtMostOnce: whatever a worker does, it is not run again, and
// it is never called not run.
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
				t.Errorf("%s, %s: a broken answer looks whole: %q", fault, path, got.body)
			}
		}
	}
}

// TestRepeatableIsServedElsewhere: a failure that the caller has seen nothing of is
// mended by a second worker.
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

// TestNotRunIsServedElsewhere: a worker's word that it did not run a request lets
// any kind go to another.
func TestNotRunIsServedElsewhere(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].SetFault(fleetworker.Full, 3)
	for range 6 {
		if got := s.ask(http.MethodPost, "/submit/1", nil, "x"); got.status != http.StatusOK || len(s.runs(got.id)) != 1 {
			t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
		}
	}
}

// TestStreamIsResumedAtAnotherWorker: the caller gets each event once, in order,
// and never a part of one.
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

// TestLapsedHandleIsPlannedAgain: a prompt that was read apart and is gone costs a
// try, not the request.
func TestLapsedHandleIsPlannedAgain(t *testing.T) {
	s := start(t)
	s.workers["read-1"].SetFault(fleetworker.Lapsing, -1)
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

// TestNoWorkerIsARefusal: a request that reached no worker is not run, and its
// caller is told when to come back, at once.
func TestNoWorkerIsARefusal(t *testing.T) {
	s := start(t)
	for id, worker := range s.workers {
		s.store.Put("servers", id, worker.Entry("draining"))
	}
	s.await("all workers are known to drain", func() bool { return s.node.Draining() == len(s.workers) })
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		got := s.ask(http.MethodPost, path, nil, "x")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", path, got.status, got.header)
		}
	}
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	s := start(t)
	s.store.Put("servers", "portal-1", s.workers["portal-1"].Entry("draining"))
	s.store.Put("op", "marker", 1)
	s.await("the worker is known to drain", func() bool { return s.node.Draining() == 1 })
	for range 10 {
		s.ask(http.MethodGet, "/board/1", nil, "")
	}
	if runs := s.workers["portal-1"].Runs(); len(runs) != 0 {
		t.Errorf("a draining worker got %d requests", len(runs))
	}
}

// TestNewConfigurationIsInForce, and a broken or older one changes nothing.
func TestNewConfigurationIsInForce(t *testing.T) {
	s := start(t)
	s.store.Put("op", "config", map[string]any{"Version": 2, "Routes": []any{map[string]any{"Name": "r", "PathPrefix": "no-slash"}}})
	s.store.Put("op", "config", "not a configuration")
	s.store.Put("op", "config", configuration(0))
	if got := s.ask(http.MethodGet, "/board/1", nil, ""); got.status != http.StatusOK {
		t.Fatalf("after broken configurations: %d %s", got.status, got.body)
	}
	without := configuration(3)
	without["Routes"] = without["Routes"].([]any)[1:]
	s.store.Put("op", "config", without)
	s.await("the route is gone", func() bool { return s.ask(http.MethodGet, "/board/1", nil, "").status == http.StatusNotFound })
}

// TestUnconfiguredNodeIsNotReady: it answers 503, never 404.
func TestUnconfiguredNodeIsNotReady(t *testing.T) {
	s := startUnconfigured(t)
	if s.node.Ready() {
		t.Error("ready without a configuration")
	}
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%d %v", got.status, got.header)
	}
}

// TestServesWithoutTheStore: what is known is used while the store is away, and
// the feed goes on afterwards, also over a forgotten history.
func TestServesWithoutTheStore(t *testing.T) {
	s := start(t)
	for _, faults := range []fleetstore.Faults{{Down: true}, {Throttled: true}, {StaleReads: 1}} {
		s.store.SetFaults(faults)
		s.store.Forget()
		if got := s.ask(http.MethodGet, "/board/1", nil, ""); got.status != http.StatusOK {
			t.Errorf("%+v: %d %s", faults, got.status, got.body)
		}
	}
	s.store.Put("servers", "portal-1", nil)
	s.store.Forget()
	s.store.SetFaults(fleetstore.Faults{})
	s.await("the removed worker is known", func() bool { return s.node.Workers() == len(s.workers)-1 })
}

// TestCallerThatLeavesEndsItsWork: the worker's connection is closed with the
// caller's.
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
	s.await("the worker sees it leave", func() bool {
		return s.workers["portal-1"].Left()+s.workers["portal-2"].Left() == 1
	})
}

// TestDeadlineEndsARequest: the final answer of a request that may have run is not
// a promise that it did not.
func TestDeadlineEndsARequest(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.Hanging, -1)
	got := s.ask(http.MethodPost, "/submit/1", map[string]string{"X-Deadline-Ms": "200"}, "x")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("%d %s", got.status, got.body)
	}
}

// TestPlannedStopCutsNothing: a request that runs when the node is told to stop is
// answered whole, and its connection is closed after it.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := start(t)
	s.workers["write-1"].Close()
	s.workers["write-2"].Close()
	delete(s.workers, "write-1")
	delete(s.workers, "write-2")
	s.store.Put("servers", "write-1", nil)
	s.store.Put("servers", "write-2", nil)
	s.addWorker(fleetworker.Options{ID: "write-3", Service: llm, Stage: "decode", Events: 20, Pause: 20 * time.Millisecond})
	s.await("only the slow worker is known", func() bool { return s.node.Workers() == len(s.workers) })
	answers := make(chan answer)
	go func() { answers <- s.ask(http.MethodPost, "/verdict/1", nil, "x") }()
	s.await("it runs", func() bool { return len(s.workers["write-3"].Runs()) == 1 })
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.node.Stop("test") }()
	got := <-answers
	if got.status != http.StatusOK || got.readErr != nil || got.body != fleetworker.Body(got.id, 20, 0) {
		t.Errorf("%d %v, %d bytes", got.status, got.readErr, len(got.body))
	}
	s.await("not ready", func() bool { return !s.node.Ready() })
	<-stopped
}

// TestSmuggledRequestIsNotRun: what follows a request's declared body is not passed
// on as a part of it.
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

// TestStartingNodeAsksWhatWorkersKeep: a process that has just started, and has no
// other node to ask, learns from the engines themselves what they keep.
func TestStartingNodeAsksWhatWorkersKeep(t *testing.T) {
	s := start(t)
	s.await("each engine was asked", func() bool {
		return s.workers["read-1"].Lists() == 1 && s.workers["write-1"].Lists() == 1 && s.workers["write-2"].Lists() == 1
	})
	if lists := s.workers["portal-1"].Lists(); lists != 0 {
		t.Errorf("a worker that is no engine was asked %d times", lists)
	}
	s.await("what it keeps is known", func() bool { return s.node.KeptTokens("read-1") == 1210 })
}

// TestOnlyWorkerIsTriedAgain: a failure of a request's own is tried again at the
// same worker where no other is left.
func TestOnlyWorkerIsTriedAgain(t *testing.T) {
	s := start(t)
	s.store.Put("servers", "portal-2", s.workers["portal-2"].Entry("draining"))
	s.await("one worker drains", func() bool { return s.node.Draining() == 1 })
	s.workers["portal-1"].SetFault(fleetworker.Failing, 1)
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusOK || len(s.runs(got.id)) != 2 {
		t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
	}
}

// TestFailureOfTheOnlyWorkerIsPassedOn: with no try left, the caller gets the
// worker's own answer.
func TestFailureOfTheOnlyWorkerIsPassedOn(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.Failing, -1)
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusInternalServerError || got.header.Get("X-Response-Signature") == "" || got.body != "failed" {
		t.Errorf("%d %v %q", got.status, got.header, got.body)
	}
}

// TestVanishedEntriesDoNotStopService: the store may drop the entries of workers
// that live, all at once.
func TestVanishedEntriesDoNotStopService(t *testing.T) {
	s := start(t)
	for id := range s.workers {
		s.store.Put("servers", id, nil)
	}
	s.await("no worker is listed", func() bool { return s.node.Workers() == 0 })
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		if got := s.ask(http.MethodPost, path, nil, "x"); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", path, got.status, got.body)
		}
	}
	if !s.node.Ready() {
		t.Error("the node is not ready")
	}
}

// TestWorkerThatTakesNoConnectionIsNoAttempt: nothing left the node, so another
// worker may get even a request that may be sent to one worker only.
func TestWorkerThatTakesNoConnectionIsNoAttempt(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].Close()
	for range 4 {
		got := s.ask(http.MethodPost, "/once/1", nil, "x")
		if got.status != http.StatusOK || len(s.runs(got.id)) != 1 {
			t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
		}
	}
}

// TestRejectingWorkerIsLeftAlone: a worker that runs nothing now looks idle, and must
// not draw request after request.
func TestRejectingWorkerIsLeftAlone(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].SetFault(fleetworker.Full, -1)
	served := 0
	for range 24 {
		if got := s.ask(http.MethodPost, "/once/1", nil, "x"); got.status == http.StatusOK {
			served++
		}
	}
	if served < 19 {
		t.Errorf("%d of 24 requests were served beside a worker that rejects all", served)
	}
}
