// Command _lab holds the stand-ins of the review's scripts: clients, workers and the platform's
// store around nodes that run as separate processes with the command of the deploy file.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/process"
	"github.com/tinarch/tinarch/internal/settings"
)

// host is the host of all routes.
const host = "review.example"

// record is the file in which a script writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.WriteCloser
	begun time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: out, begun: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(time.Now(), format, values...)
	fmt.Printf(format+"\n", values...)
}

// machine is one machine of the system: its address and the node that runs there.
type machine struct {
	name    string
	ip      netip.Addr
	callers string
	node    *process.Node
}

// site is the system with its stand-ins.
type site struct {
	directory string
	record    *record
	store     *fleetstore.Store
	machines  []*machine
}

// nodeOptions are what a case sets of its nodes' settings.
type nodeOptions struct {
	storeAddress string
	change       func(*settings.Routed)
}

// started is the site of this process.
var started atomic.Pointer[site]

func newSite(record *record) (*site, error) {
	directory, err := os.MkdirTemp("", "tinarch-review-")
	if err != nil {
		return nil, err
	}
	s := &site{directory: directory, record: record, store: fleetstore.Start()}
	started.Store(s)
	return s, nil
}

// addMachine starts a node with the settings of a small deployment, as the platform's template
// fills them in. Each machine has a loopback address of its own, which it also connects from.
func (s *site) addMachine(number int, zone string, options nodeOptions) (*machine, error) {
	ip := netip.AddrFrom4([4]byte{127, 0, byte(64 + os.Getpid()%128), byte(10 + number)})
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip}
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: m.name, Zone: zone, FirstStart: true}
	configured.Zones = map[string]string{}
	for _, each := range []string{"hall-a", "hall-b", "hall-c", "superior-hall", "huron-hall", "erie-hall"} {
		configured.Zones[each] = "region"
	}
	configured.Store.Address = options.storeAddress
	if configured.Store.Address == "" {
		configured.Store.Address = s.store.Address()
	}
	configured.Limits.MemoryMegabytes, configured.Limits.Descriptors = 284, 4100
	configured.Bounds.StopMillis = 8000
	configured.Bounds.RetryRatio, configured.Bounds.RetrySlack, configured.Bounds.RetryWindowMillis = 0.2, 52, 10_000
	configured.Bounds.LeaseMillis, configured.Bounds.HeartbeatMillis = 3000, 1200
	configured.Overload = settings.RoutedOverload{ColdStart: settings.Uneven, SingleRead: settings.Never, Waiting: settings.Uneven, SpreadRetries: settings.Uneven}
	configured.Log = settings.Log{Level: "info", Format: "json"}
	configured.Listen.Outbound = ip.String()
	for _, address := range []*string{&configured.Listen.Callers, &configured.Listen.Readiness, &configured.Listen.Exchange, &configured.Listen.Metrics} {
		free, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if options.change != nil {
		options.change(&configured)
	}
	m.callers = configured.Listen.Callers
	m.node = &process.Node{
		Program: "target/tinarchd", Arguments: []string{"--routed"}, Directory: s.directory, Name: m.name,
		Settings: configured, ReadyURL: "http://" + configured.Listen.Readiness + "/v1/ready",
	}
	s.machines = append(s.machines, m)
	return m, m.node.Start()
}

// freeAddress returns a free address of an IP for TCP and UDP.
func freeAddress(ip netip.Addr) (string, error) {
	for {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
}

// awaitReady waits until all nodes accept requests.
func (s *site) awaitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, m := range s.machines {
		for !m.node.Ready(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s isn't ready after %v", m.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// nameOf returns the name of the machine with an address.
func (s *site) nameOf(ip netip.Addr) string {
	for _, m := range s.machines {
		if m.ip == ip {
			return m.name
		}
	}
	return ip.String()
}

// close ends all processes and removes the folder with their settings and logs, unless
// KEEP is set.
func (s *site) close() {
	for _, m := range s.machines {
		m.node.Kill()
	}
	s.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}

// logLines returns the lines of a node's log that contain a text.
func (s *site) logLines(m *machine, text string) []string {
	content, err := os.ReadFile(filepath.Join(s.directory, m.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// remoteIP returns the address of the machine that a request came from.
func remoteIP(request *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
