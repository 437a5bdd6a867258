// Package site tests whole nodes against fakes of the platform.
package site

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	host         = "portal.example"
	llm          = "llm"
	portal       = "portal"
	awaitTimeout = 20 * time.Second
)

// site is a fake platform with workers, and one or more nodes in this process.
type site struct {
	t       *testing.T
	store   *fleetstore.Store
	workers map[string]*fleetworker.Worker
	node    *serving.Node
	address string
	// others holds the nodes besides node.
	others []*otherNode
	logs   *logBuffer
	next   atomic.Int64
}

// logBuffer collects what the nodes log.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(line)
}

// logLinesWith returns the lines of the nodes' logs that contain a text.
func (s *site) logLinesWith(text string) string {
	lines := slices.DeleteFunc(strings.Split(s.logText(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
	return strings.Join(lines, "\n")
}

// logText returns what the nodes have logged.
func (s *site) logText() string {
	s.logs.mu.Lock()
	defer s.logs.mu.Unlock()
	return s.logs.content.String()
}

// configuration returns the operator's configuration, with one route of each kind.
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

// freePort returns an address that is free for TCP and for UDP.
func freePort(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+int(lastPort.Add(1)))%portCount
		address := fmt.Sprint("127.0.0.1:", port)
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// isFree reports whether an address is free for TCP and for UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

// Ports for nodes are taken from below the kernel's ephemeral range, since another process
// could get an ephemeral port between the check and the node's start. Each test process starts
// at a different port.
const (
	firstPort       = 20_000
	portCount       = 12_000
	portsPerProcess = 211
)

// lastPort counts the ports that this process has tried.
var lastPort atomic.Int64

// start starts a site with a configuration and workers, and waits until its node is ready.
func start(t *testing.T) *site {
	t.Helper()
	return startWith(t, func(*settings.Routed) {})
}

// startWith is like start but changes the node's settings first.
func startWith(t *testing.T, change func(*settings.Routed)) *site {
	t.Helper()
	s := startUnconfiguredWith(t, change)
	s.addWorkers()
	s.store.Put("op", "config", configuration(1))
	s.await("the node is ready", s.node.Ready)
	s.await("all workers are known", func() bool { return s.node.Workers() == len(s.workers) })
	return s
}

// addWorkers adds prefill and decode engines and two plain workers.
func (s *site) addWorkers() {
	for _, options := range []fleetworker.Options{
		{ID: "read-1", Service: llm, Stage: "prefill", CachedParts: map[string]int{"5c1e07a2": 800, "91bd3f06": 410}},
		{ID: "write-1", Service: llm, Stage: "decode"},
		{ID: "write-2", Service: llm, Stage: "decode"},
		{ID: "portal-1", Service: portal, Events: 1},
		{ID: "portal-2", Service: portal, Events: 1},
	} {
		s.addWorker(options)
	}
}

func startUnconfigured(t *testing.T) *site {
	t.Helper()
	return startUnconfiguredWith(t, func(*settings.Routed) {})
}

func startUnconfiguredWith(t *testing.T, change func(*settings.Routed)) *site {
	t.Helper()
	s := newSite(t)
	s.node, s.address = s.startNode("node-1", change)
	return s
}

// newSite returns a site without a node.
func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: fleetstore.Start(), workers: make(map[string]*fleetworker.Worker), logs: &logBuffer{}}
	t.Cleanup(s.store.Close)
	return s
}

// startNode starts a node of the site and returns it with its address for callers.
func (s *site) startNode(name string, change func(*settings.Routed)) (*serving.Node, string) {
	s.t.Helper()
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: name, Zone: "a"}
	configured.Listen = settings.RoutedListen{
		Callers: freePort(s.t), Readiness: freePort(s.t), Exchange: freePort(s.t), Metrics: freePort(s.t),
	}
	configured.Store.Address = s.store.Address()
	change(&configured)
	log := logrus.New()
	log.SetOutput(s.logs)
	adapter := platform.New(platform.Options{Store: configured.Store.Address, API: configured.API.Address, Dial: workerconn.DialStore})
	node, err := serving.Start(configured, adapter, log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(node.Close)
	return node, configured.Listen.Callers
}

// otherNode is a node besides the first one.
type otherNode struct {
	node    *serving.Node
	address string
}

// addNodes adds nodes to the site and waits until they are ready.
func (s *site) addNodes(names ...string) {
	s.t.Helper()
	for _, name := range names {
		node, address := s.startNode(name, func(*settings.Routed) {})
		s.others = append(s.others, &otherNode{node: node, address: address})
		s.await(name+" is ready", node.Ready)
	}
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
	for end := time.Now().Add(awaitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within %v: %s", awaitTimeout, what)
		}
	}
}

// runs returns all runs of a request at all workers.
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

// setDeliveries sets how the workers of a service deliver their answers.
func (s *site) setDeliveries(service string, delivery fleetworker.Delivery, count int) {
	s.setDeliveriesTo(service, fleetworker.NewDeliveries(delivery, count))
}

func (s *site) setDeliveriesTo(service string, deliveries *fleetworker.Deliveries) {
	for _, worker := range s.workers {
		if strings.HasPrefix(worker.ID(), service) {
			worker.SetDeliveries(deliveries)
		}
	}
}

type answer struct {
	id      string
	status  int
	header  http.Header
	body    string
	readErr error
	// framed tells that the answer has a length or chunks.
	framed bool
}

// framedAsComplete reports whether the caller was told that it has the whole answer.
func (a answer) framedAsComplete() bool { return a.readErr == nil && a.framed }

// ask sends a request to the first node and reads its answer.
func (s *site) ask(method, path string, header map[string]string, body string) answer {
	s.t.Helper()
	return s.askAt(s.address, method, path, header, body)
}

// request returns a request to the first node, and requestAt one to the node at an address.
func (s *site) request(method, path, body string) *http.Request {
	s.t.Helper()
	return s.requestAt(s.address, method, path, body)
}

func (s *site) requestAt(address, method, path, body string) *http.Request {
	s.t.Helper()
	id := s.nextID()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
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
	return request
}

// nextID returns a new request id.
func (s *site) nextID() string { return fmt.Sprintf("%016x", s.next.Add(1)) }

// askAt sends a request to the node at an address and reads its answer.
func (s *site) askAt(address, method, path string, header map[string]string, body string) answer {
	s.t.Helper()
	request := s.requestAt(address, method, path, body)
	id := request.Header.Get("X-Request-Id")
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
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return answer{id: id, status: response.StatusCode, header: response.Header, body: string(content), readErr: err, framed: framed}
}
