package abuse

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/process"
	"github.com/tinarch/tinarch/internal/plainhttp"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

const (
	host    = "abuse.example"
	service = "plain"
	// nodeCount and workerCount are the sizes of the site.
	nodeCount, workerCount = 2, 4
	// routeTimeout is how long a request may take.
	routeTimeout = 5 * time.Second
	startTimeout = 20 * time.Second
	stopMillis   = 8000
)

// site is two nodes as processes, and stand-ins for the store and the workers.
type site struct {
	options Options
	// store is nil at gateways, and lab, with the platform of gateways, at other nodes.
	store   *fleetstore.Store
	lab     *cluster.Cluster
	workers []*plainWorker
	nodes   []*node
	version int
}

// node is a node process with its addresses.
type node struct {
	*process.Node
	listen settings.RoutedListen
	// operators is the address for operators of a gateway.
	operators string
}

func (n *node) address(port Port) string {
	switch port {
	case Readiness:
		return n.listen.Readiness
	case Metrics:
		return n.listen.Metrics
	case Exchange:
		return n.listen.Exchange
	}
	return n.listen.Callers
}

// plainWorker records the requests that it ran. It answers at once, at longPath with a long answer.
type plainWorker struct {
	id     string
	server *httptest.Server

	mu  sync.Mutex
	ran map[string]bool
}

func startWorker(id string) *plainWorker {
	w := &plainWorker{id: id, ran: make(map[string]bool)}
	w.server = httptest.NewServer(w)
	return w
}

// answerText is the body of an ordinary answer.
func answerText(id string) string { return "answer to " + id }

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Instance-Id", w.id)
	switch {
	case request.URL.Path == "/health":
		return
	case request.URL.Path == "/v1/report":
		_ = json.NewEncoder(writer).Encode(map[string]any{"Busy": false})
		return
	case cmp.Or(request.Header.Get("X-Expect-Instance"), request.Header.Get(plainhttp.HeaderWorker)) != w.id:
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.ran[id] = true
	w.mu.Unlock()
	if request.URL.Path == slowPath {
		sleep(request.Context(), slowAnswer)
	}
	writer.Header().Set("X-Response-Signature", w.id+"."+id)
	if request.URL.Path != longPath {
		_, _ = io.WriteString(writer, answerText(id))
		return
	}
	piece := make([]byte, 64<<10)
	for sent := 0; sent < longAnswerBytes; sent += len(piece) {
		if _, err := writer.Write(piece); err != nil {
			return
		}
	}
}

func (w *plainWorker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

func (w *plainWorker) entry() map[string]any {
	return map[string]any{
		"Service": service, "Address": strings.TrimPrefix(w.server.URL, "http://"), "Zone": "a",
		"Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0, "Seq": 1,
	}
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version++
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "Service": service,
			"TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 2000, "Priority": 1, "MaxAttempts": attempts, "Resumable": false,
		}
	}
	s.store.Put("op", "config", map[string]any{
		"Version":  s.version,
		"Routes":   []any{route("board", "/board/", "idempotent", 2), route("submit", "/submit/", "non_idempotent", 1)},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": 100}},
		"Limits": map[string]any{
			"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes,
			"HeaderTimeoutMs": headerTimeout.Milliseconds(), "IdleTimeoutMs": idleTimeout.Milliseconds(),
		},
	})
}

func startSite(ctx context.Context, options Options) (*site, error) {
	if options.Gateways {
		return startGateways(ctx, options)
	}
	s := &site{options: options, store: fleetstore.Start()}
	s.startWorkers()
	for _, worker := range s.workers {
		s.store.Put("servers", worker.id, worker.entry())
	}
	s.configure()
	for number := range nodeCount {
		if err := s.startNode(number); err != nil {
			s.close()
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, each := range s.nodes {
		for !each.Ready(ctx) {
			if !sleep(ctx, 50*time.Millisecond) {
				s.close()
				return nil, result.New(result.Internal, "%s isn't ready after %v; see its log in %s", each.Name, startTimeout, options.Directory)
			}
		}
	}
	return s, nil
}

func (s *site) startWorkers() {
	for number := range workerCount {
		s.workers = append(s.workers, startWorker(fmt.Sprintf("plain-%d", number+1)))
	}
}

// limited returns arguments of /bin/sh that run the program with the descriptors of the machine.
func (s *site) limited(arguments ...string) []string {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, s.options.Descriptors)
	return append([]string{"-c", script, s.options.Program}, arguments...)
}

// startNode starts a node at an address of its own, with the descriptors of the machine.
func (s *site) startNode(number int) error {
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: fmt.Sprintf("node-%d", number+1), Zone: "a", FirstStart: true}
	configured.Store.Address = s.store.Address()
	configured.Limits.MemoryMegabytes, configured.Limits.Descriptors = s.options.MemoryMegabytes, s.options.Descriptors
	configured.Bounds.StopMillis = stopMillis
	ip := netip.AddrFrom4([4]byte{127, 0, 2, byte(1 + number)})
	configured.Listen.Outbound = ip.String()
	for _, address := range []*string{&configured.Listen.Callers, &configured.Listen.Readiness, &configured.Listen.Exchange, &configured.Listen.Metrics} {
		free, err := freeAddress(ip)
		if err != nil {
			return result.Wrap(err, result.Internal, "finding a free port")
		}
		*address = free
	}
	started := &node{listen: configured.Listen, Node: &process.Node{
		Program: "/bin/sh", Arguments: s.limited("--routed"), Directory: s.options.Directory,
		Name: configured.Node.Name, Settings: configured, ReadyURL: "http://" + configured.Listen.Readiness + "/v1/ready",
	}}
	s.nodes = append(s.nodes, started)
	return started.Start()
}

// Ports are taken from below the kernel's ephemeral range, which clients use.
const firstPort, portCount = 21_000, 9_000

var lastPort = struct {
	sync.Mutex
	tried int
}{}

// freeAddress returns an address of an IP that is free for TCP and UDP.
func freeAddress(ip netip.Addr) (string, error) {
	lastPort.Lock()
	defer lastPort.Unlock()
	if lastPort.tried == 0 {
		lastPort.tried = syscall.Getpid() * 97
	}
	var err error
	for range portCount {
		lastPort.tried++
		address := netip.AddrPortFrom(ip, uint16(firstPort+lastPort.tried%portCount)).String()
		if err = tryListen(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

func tryListen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return packets.Close()
}

// hasRun reports whether a worker ran a request.
func (s *site) hasRun(id string) bool {
	for _, worker := range s.workers {
		if worker.hasRun(id) {
			return true
		}
	}
	return false
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, each := range s.nodes {
		each.Kill()
	}
	for _, worker := range s.workers {
		worker.server.CloseClientConnections()
		worker.server.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.lab != nil {
		s.lab.Close()
	}
}
