package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"
)

const workerID = "i-1@a/b"

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// fakeWorkers are the workers as a node reaches them.
type fakeWorkers struct {
	address string
	lost    atomic.Bool
	full    atomic.Bool
}

func (f *fakeWorkers) Address(id string) (string, bool) { return f.address, id == workerID }
func (f *fakeWorkers) LinkLost(string) bool             { return f.lost.Load() }
func (f *fakeWorkers) Dial(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address)
}
func (f *fakeWorkers) Lend(ctx context.Context, _, address string) (net.Conn, error) {
	if f.full.Load() {
		return nil, ErrFull
	}
	return dial(ctx, address)
}

// fakeFleet is the nodes that open tunnels.
type fakeFleet []netip.AddrPort

func (f fakeFleet) TunnelNodes(string) []netip.AddrPort {
	return append([]netip.AddrPort(nil), f...)
}
func (f fakeFleet) Nodes() int                       { return len(f) + 1 }
func (f fakeFleet) OpensTunnels(netip.AddrPort) bool { return true }

// node is a node that opens tunnels to one worker.
type node struct {
	*Server
	workers *fakeWorkers
	address netip.AddrPort
}

func startNode(t *testing.T, workerAddress string, isNode bool) *node {
	t.Helper()
	workers := &fakeWorkers{address: workerAddress}
	server := NewServer(workers, func(netip.Addr) bool { return isNode }, quiet())
	router := chi.NewRouter()
	server.Register(router)
	front := httptest.NewServer(router)
	t.Cleanup(func() { server.Close(); front.Close() })
	return &node{server, workers, netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://"))}
}

func clientOf(nodes ...*node) *Client {
	var fleet fakeFleet
	for _, each := range nodes {
		fleet = append(fleet, each.address)
	}
	return NewClient("me", fleet, dial, quiet())
}

// startWorker runs serve on each connection to a worker.
func startWorker(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func open(t *testing.T, client *Client) *Conn {
	t.Helper()
	opened, err := client.Open(context.Background(), workerID, "request")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	return opened
}

// TestEndOfAWorkersConnectionIsTold guards against an answer that is cut off between two nodes, or
// reset by its worker, and taken for one that its worker ended in order.
func TestEndOfAWorkersConnectionIsTold(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 10_000)
	for name, test := range map[string]struct {
		end     func(c *net.TCPConn, through *node)
		inOrder bool
	}{
		"closed":                {func(c *net.TCPConn, _ *node) { _ = c.Close() }, true},
		"reset":                 {func(c *net.TCPConn, _ *node) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"the other node closes": {func(_ *net.TCPConn, through *node) { through.Close() }, false},
	} {
		started := make(chan *node, 1)
		through := startNode(t, startWorker(t, func(c *net.TCPConn) {
			_, _ = c.Write(sent)
			time.Sleep(50 * time.Millisecond) // what was sent has arrived
			test.end(c, <-started)
		}), true)
		started <- through
		got, err := io.ReadAll(open(t, clientOf(through)))
		if (err == nil) != test.inOrder {
			t.Errorf("%s: the error is %v", name, err)
		}
		if test.inOrder && !bytes.Equal(got, sent) {
			t.Errorf("%s: %d of %d bytes came", name, len(got), len(sent))
		}
	}
}

func TestWorkerLosesItsConnectionWhenTheCallerLeaves(t *testing.T) {
	left := make(chan error, 1)
	through := startNode(t, startWorker(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		left <- err
	}), true)
	_ = open(t, clientOf(through)).Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the worker's connection is still open")
	}
}

// TestSlowCallerHoldsItsWorkerBack guards against a node that keeps an answer in memory for the node
// that it goes to.
func TestSlowCallerHoldsItsWorkerBack(t *testing.T) {
	var passed atomic.Int64
	stopped := make(chan struct{})
	through := startNode(t, startWorker(t, func(c *net.TCPConn) {
		defer close(stopped)
		piece := make([]byte, 1<<16)
		for {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			count, err := c.Write(piece)
			passed.Add(int64(count))
			if err != nil {
				return
			}
		}
	}), true)
	open(t, clientOf(through)) // nothing is read
	<-stopped
	const socketBuffers = 64 << 20
	if passed.Load() > socketBuffers {
		t.Errorf("%d bytes were taken for a caller that reads nothing", passed.Load())
	}
}

func TestNoTunnelIsOpened(t *testing.T) {
	worker := startWorker(t, func(*net.TCPConn) {})
	ended := startWorker(t, func(*net.TCPConn) {})
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	lost := startNode(t, worker, true)
	lost.workers.lost.Store(true)
	stopping := startNode(t, ended, true)
	stopping.Stop()
	earlier := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(earlier.Close)
	for name, test := range map[string]struct {
		nodes []*node
		want  error
	}{
		"no other node":           {nil, ErrNoNode},
		"not taken for a node":    {[]*node{startNode(t, worker, false)}, ErrNoNode},
		"the other one's is lost": {[]*node{lost}, ErrNoNode},
		"it stops":                {[]*node{stopping}, ErrNoNode},
		"an earlier build":        {[]*node{{address: netip.MustParseAddrPort(strings.TrimPrefix(earlier.URL, "http://"))}}, ErrNoNode},
		"the worker has ended":    {[]*node{startNode(t, gone.Addr().String(), true)}, ErrRefused},
	} {
		if _, err := clientOf(test.nodes...).Open(context.Background(), workerID, "request"); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
	if _, err := clientOf(startNode(t, worker, true)).Open(context.Background(), "unlisted", "request"); !errors.Is(err, ErrNoNode) {
		t.Errorf("a worker that isn't listed: %v", err)
	}
}

func TestNodeThatDoesNotReachTheWorkerIsPassedOver(t *testing.T) {
	worker := startWorker(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	lost, silent, good := startNode(t, worker, true), frozenNode(t), startNode(t, worker, true)
	lost.workers.lost.Store(true)
	opened := open(t, clientOf(silent, lost, good))
	if opened.Node() != good.address {
		t.Errorf("the tunnel goes through %v", opened.Node())
	}
}

// frozenNode accepts connections and says nothing.
func frozenNode(t *testing.T) *node {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return &node{address: netip.MustParseAddrPort(listener.Addr().String())}
}

func TestTunnelsAreSpreadOverTheNodesThatAreLeft(t *testing.T) {
	worker := startWorker(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	nodes := []*node{startNode(t, worker, true), startNode(t, worker, true), startNode(t, worker, true)}
	client := clientOf(nodes...)
	for range 30 {
		open(t, client)
	}
	for _, each := range nodes {
		if got := each.Open(); got != 10 {
			t.Errorf("%d of 30 tunnels go through one of three nodes", got)
		}
	}
}

func TestNodeTakesNoMoreTunnelsThanItsBound(t *testing.T) {
	worker := startWorker(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	through := startNode(t, worker, true)
	client := clientOf(through)
	for range MaxTunnels {
		open(t, client)
	}
	if _, err := client.Open(context.Background(), workerID, "request"); !errors.Is(err, ErrNoNode) {
		t.Errorf("one more tunnel: %v", err)
	}
}

func TestDrainWaitsForTunnelsThatCarrySomething(t *testing.T) {
	var ended atomic.Bool
	through := startNode(t, startWorker(t, func(c *net.TCPConn) {
		for range 10 {
			_, _ = c.Write([]byte("event"))
			time.Sleep(20 * time.Millisecond)
		}
		ended.Store(true)
	}), true)
	opened := open(t, clientOf(through))
	go func() { _, _ = io.Copy(io.Discard, opened) }()
	through.Stop()
	through.Drain(context.Background())
	if !ended.Load() {
		t.Error("the node stops in the middle of an answer")
	}
}

// TestOneNodeDoesNotConfirmThatAWorkerIsNotReached guards against two nodes that lose their links at
// the same time and take a sound worker for one that has failed.
func TestOneNodeDoesNotConfirmThatAWorkerIsNotReached(t *testing.T) {
	unreached := func() *node {
		through := startNode(t, "127.0.0.1:1", true)
		through.Server.workers = hangingWorkers{}
		return through
	}
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	refused := func() *node { return startNode(t, gone.Addr().String(), true) }
	lost := startNode(t, "127.0.0.1:1", true)
	lost.workers.lost.Store(true)
	for name, test := range map[string]struct {
		nodes []*node
		want  error
	}{
		"one of two, the other has lost its link": {[]*node{unreached(), lost}, ErrNoNode},
		"both":                      {[]*node{unreached(), unreached()}, ErrUnheard},
		"the only node":             {[]*node{unreached()}, ErrUnheard},
		"one of two is refused":     {[]*node{refused(), lost}, ErrNoNode},
		"one is refused, one hangs": {[]*node{refused(), unreached()}, ErrUnheard},
		"both are refused":          {[]*node{refused(), refused()}, ErrRefused},
		"the only node is refused":  {[]*node{refused()}, ErrRefused},
	} {
		if _, err := clientOf(test.nodes...).Open(context.Background(), workerID, "request"); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}

// hangingWorkers accept no connection.
type hangingWorkers struct{}

func (hangingWorkers) Address(string) (string, bool) { return "", true }
func (hangingWorkers) LinkLost(string) bool          { return false }
func (w hangingWorkers) Lend(ctx context.Context, _, address string) (net.Conn, error) {
	return w.Dial(ctx, address)
}
func (hangingWorkers) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestOnlyNodeLeftIsAskedAgainAfterItRefused guards against a node that isn't asked for 2 s, although
// it is the only one that reaches workers, because it didn't know another worker or gave no answer.
func TestOnlyNodeLeftIsAskedAgainAfterItRefused(t *testing.T) {
	through := startNode(t, startWorker(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }), true)
	client := clientOf(through)
	if _, err := client.Open(context.Background(), "unlisted", "request"); !errors.Is(err, ErrNoNode) {
		t.Fatal(err)
	}
	open(t, client)
	client.recordFailure(through.address, question{worker: workerID}, errors.New("no answer"), time.Now())
	open(t, client)
}

// TestNodeLendsWithinItsBoundsAlone guards against lent connections that exceed the share of their
// node, or leave no tunnels for nodes that have lost their links.
func TestNodeLendsWithinItsBoundsAlone(t *testing.T) {
	through := startNode(t, startWorker(t, func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)) }), true)
	client := clientOf(through)
	through.workers.full.Store(true)
	if _, err := client.Borrow(context.Background(), workerID, "request"); !errors.Is(err, ErrNoNode) {
		t.Errorf("a node whose share is in use: %v", err)
	}
	open(t, client)
	through.workers.full.Store(false)
	time.Sleep(fullLife)
	for number := range maxLent {
		lent, err := client.Borrow(context.Background(), workerID, "request")
		if err != nil {
			t.Fatalf("after %d: %v", number, err)
		}
		t.Cleanup(func() { _ = lent.Close() })
	}
	if _, err := client.Borrow(context.Background(), workerID, "request"); err == nil {
		t.Errorf("more than %d connections are lent", maxLent)
	}
	open(t, client)
}

// TestEarlierBuildLendsNothing: it answers 404, which must not look like a lost link.
func TestEarlierBuildLendsNothing(t *testing.T) {
	front := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(front.Close)
	earlier := &node{address: netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://"))}
	if _, err := clientOf(earlier).Borrow(context.Background(), workerID, "request"); !errors.Is(err, ErrNoNode) {
		t.Errorf("an earlier build: %v", err)
	}
}
