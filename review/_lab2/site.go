// Command lab2 is the stand-ins of the second review: a platform store, workers and clients around
// real nodes that run as separate processes on loopback addresses. Each case is one function.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// site is a small deployment: a store, workers and nodes.
type site struct {
	program, folder string
	trouble         bool
	// descriptors is MaxFds of the machines.
	descriptors int
	// megabytes is MemoryMb of the machines.
	megabytes int
	begun     time.Time
	store     *fleetstore.Store
	nodes     []*node
	workers   []*worker

	mu     sync.Mutex
	record *os.File
	serial atomic.Int64
}

// note writes one line to the record.
func (s *site) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, values...))
}

// errCannotRun means that the case couldn't be played.
var errCannotRun = errors.New("the case can't run")

// node is one node of the system, a process.
type node struct {
	name                         string
	ip                           netip.Addr
	callers, ready, peers, stats string
	settings                     string
	process                      *exec.Cmd
	ended                        chan struct{}
	client                       *http.Client
}

// freePorts returns different free ports of an address.
func freePorts(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// settingsText are the settings of a node, as the template of the deploy file lays them for a small
// deployment; outbound gives each node an address of its own on the one machine.
func (s *site) settingsText(n *node, zone string) string {
	return fmt.Sprintf(`node:
  name: %s
  zone: %s
  first_start: true
zones:
  "a": "r"
  "b": "r"
  "c": "r"
listen:
  callers: "%s"
  readiness: "%s"
  exchange: "%s"
  metrics: "%s"
  outbound: "%s"
store:
  address: "%s"
limits:
  memory_mb: %d
  descriptors: %d
bounds:
  stop_ms: 8000
  retry_ratio: 0.2
  retry_slack: 54
  retry_window_ms: 10000
  lease_ms: 3000
  heartbeat_ms: 1200
overload:
  cold_start: uneven
  waiting: uneven
  spread_retries: uneven
log:
  level: info
  format: json
`, n.name, zone, n.callers, n.ready, n.peers, n.stats, n.ip, s.store.Address(), s.megabytes, s.descriptors)
}

func (s *site) addNode(number int) error {
	n := &node{name: fmt.Sprintf("node-%d", number), ip: netip.AddrFrom4([4]byte{127, 0, 0, byte(20 + number)})}
	ports, err := freePorts(n.ip.String(), 4)
	if err != nil {
		return err
	}
	n.callers, n.ready, n.peers, n.stats = ports[0], ports[1], ports[2], ports[3]
	n.settings = filepath.Join(s.folder, n.name+".yaml")
	n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	if err := os.WriteFile(n.settings, []byte(s.settingsText(n, string(rune('a'+(number-1)%3)))), 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

// startNode starts the process of a node.
func (s *site) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(s.program, "--routed")
	n.process.Env = append(os.Environ(), "TINARCH_CONFIG="+n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	process := n.process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	s.note("%s started as process %d", n.name, n.process.Process.Pid)
	return nil
}

// signal sends a signal to the process of a node.
func (s *site) signal(n *node, signal syscall.Signal) {
	s.note("%s gets %v", n.name, signal)
	_ = n.process.Process.Signal(signal)
}

// memory returns the most memory that the process of a node has held, in kilobytes, zero if that isn't known.
func (n *node) memory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes
		}
	}
	return 0
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s isn't ready", errCannotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("all nodes are ready")
	return nil
}

func (s *site) close() {
	for _, n := range s.nodes {
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		<-n.ended
	}
	for _, w := range s.workers {
		_ = w.server.Close()
	}
	s.store.Close()
}

// workerOptions describe a worker without a stage.
type workerOptions struct {
	id, service, zone string
	slots, queue      int
	// work returns how long a request takes.
	work func() time.Duration
	// retryAfter is added to a 503, in seconds; empty adds none.
	retryAfter string
	// born is when the worker started, in Unix milliseconds; zero leaves it out.
	born int64
	// pieces, if it isn't zero, makes answers without a length of so many pieces.
	pieces int
}

// arrival is one request as the worker saw it.
type arrival struct {
	id      string
	machine netip.Addr
	at      time.Time
	// refused is when the worker answered 503 with Retry-After, zero if it didn't.
	refused time.Time
}

// worker is a worker that follows the platform's pages.
type worker struct {
	options workerOptions
	site    *site
	server  *http.Server
	links   *linkcut.Listener

	mu       sync.Mutex
	running  int
	waiting  int
	arrivals []*arrival
	// leaving makes the worker say in its answers that it leaves.
	leaving bool
	// writing are the connections of the answers without a length, and gone tells that the worker has ended.
	writing map[net.Conn]bool
	gone    bool
	free    chan struct{}
}

func (s *site) addWorker(options workerOptions) (*worker, error) {
	listener, err := linkcut.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{options: options, site: s, links: listener, free: make(chan struct{}, options.slots), writing: make(map[net.Conn]bool)}
	for range options.slots {
		w.free <- struct{}{}
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	s.workers = append(s.workers, w)
	s.store.Put("servers", options.id, w.entry("ready"))
	return w, nil
}

func (w *worker) address() string { return w.links.Addr().String() }

// entry is the worker's entry in the platform's store.
func (w *worker) entry(state string) map[string]any {
	entry := map[string]any{
		"Service": w.options.service, "Address": w.address(), "Zone": w.options.zone, "Version": "1",
		"Slots": w.options.slots, "State": state, "ColdRemainingMs": 0, "Seq": 1,
	}
	if w.options.born != 0 {
		entry["born"] = w.options.born
	}
	return entry
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.options.slots)
}

// admit counts a request as one that waits, unless the worker is full.
func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running+w.waiting >= w.options.slots+w.options.queue {
		return false
	}
	w.waiting++
	return true
}

func (w *worker) count(waiting, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting += waiting
	w.running += running
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	header := writer.Header()
	header.Set("X-Instance-Id", w.options.id)
	header.Set("X-Server-Load", w.load())
	if request.URL.Path == "/health" {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.options.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("X-Request-Id", id)
	if id == "" {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	remote, _ := netip.ParseAddrPort(request.RemoteAddr)
	came := &arrival{id: id, machine: remote.Addr().Unmap(), at: time.Now()}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, came)
	w.mu.Unlock()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if !w.admit() {
		w.refuse(writer, came)
		return
	}
	select {
	case <-w.free:
	case <-request.Context().Done():
		w.count(-1, 0)
		return
	}
	w.count(-1, 1)
	w.site.note("%s runs %s, which came from %s", w.options.id, id, came.machine)
	if w.options.pieces > 0 {
		w.writePieces(writer, id)
		w.count(0, -1)
		w.free <- struct{}{}
		return
	}
	time.Sleep(w.options.work())
	w.count(0, -1)
	w.free <- struct{}{}
	header.Set("X-Response-Signature", w.options.id+"."+id)
	w.mu.Lock()
	if w.leaving {
		header.Set("Connection", "close")
		header.Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	header.Set("X-Server-Load", w.load())
	_, _ = writer.Write(append([]byte(w.options.id+" "+id+" "), body...))
}

// refuse answers that the worker is full and hasn't run the request.
func (w *worker) refuse(writer http.ResponseWriter, came *arrival) {
	writer.Header().Set("X-Not-Executed", "1")
	if w.options.retryAfter != "" {
		writer.Header().Set("Retry-After", w.options.retryAfter)
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = http.NewResponseController(writer).Flush()
	w.mu.Lock()
	came.refused = time.Now()
	w.mu.Unlock()
	w.site.note("%s is full: answers %s, which came from %s, 503 with Retry-After: %s", w.options.id, came.id, came.machine, w.options.retryAfter)
}

// call is one request of a client.
type call struct {
	method, host, path string
	body               []byte
	deadline           time.Duration
	header             http.Header
}

// answer is what the client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request to a node and notes what came of it.
func (s *site) send(ctx context.Context, n *node, c call) answer {
	id := fmt.Sprintf("%08x%08x", s.begun.UnixNano()&0xffffffff, s.serial.Add(1))
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.callers+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.GetBody = nil // one attempt has one id
	request.Host = c.host
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	s.note("client sends %s %s %s to %s", id, c.method, c.path, n.name)
	got := answer{id: id}
	response, err := n.client.Do(request)
	if err != nil {
		got.err = err
		s.note("client's %s at %s ends without an answer: %v", id, n.name, err)
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.header = response.StatusCode, response.Header
	got.body, got.err = io.ReadAll(response.Body)
	s.note("client's %s at %s gets %d, signature %q, error %v", id, n.name, got.status, response.Header.Get("X-Response-Signature"), got.err)
	return got
}

// configure writes the operator's configuration.
func (s *site) configure(config map[string]any) {
	encoded, _ := json.Marshal(config)
	s.note("the operator writes %s", encoded)
	s.store.Put("op", "config", config)
}
