package workerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/links"
	"github.com/tinarch/tinarch/internal/tunnel"
)

const key = "worker"

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// otherNode opens tunnels to an address.
type otherNode struct{ address string }

func (o otherNode) Address(string) (string, bool) { return o.address, true }
func (o otherNode) LinkLost(string) bool          { return false }
func (o otherNode) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}
func (o otherNode) Lend(ctx context.Context, _, address string) (net.Conn, error) {
	return o.Dial(ctx, address)
}

type fleet []netip.AddrPort

func (f fleet) TunnelNodes(string) []netip.AddrPort { return append([]netip.AddrPort(nil), f...) }
func (f fleet) Nodes() int                          { return len(f) + 1 }
func (f fleet) OpensTunnels(netip.AddrPort) bool    { return true }

// tunnelledPool returns a pool of a node beside another one that reaches the worker at an address. If
// that is empty, there is no other node.
func tunnelledPool(t *testing.T, address string) (*Pool, *links.Table) {
	t.Helper()
	var others fleet
	if address != "" {
		server := tunnel.NewServer(otherNode{address}, func(netip.Addr) bool { return true }, quietLogger())
		router := chi.NewRouter()
		server.Register(router)
		front := httptest.NewServer(router)
		t.Cleanup(func() { server.Close(); front.Close() })
		others = fleet{netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://"))}
	}
	table := links.New(quietLogger(), nil)
	p := NewPool()
	p.SetLinks(table)
	p.SetTunnels(tunnel.NewClient("me", others, p.Dial, quietLogger()))
	t.Cleanup(p.Close)
	return p, table
}

// refusing returns an address at which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func answering(t *testing.T) string {
	t.Helper()
	return serve(t, echo).address()
}

var lastID atomic.Uint64

func get(p *Pool, address string, directOnly bool) (*Answer, error) {
	id := strconv.FormatUint(lastID.Add(1), 10)
	answer, err := p.Do(context.Background(), key, address, 0, &Request{
		Method: http.MethodGet, Target: "/", Host: "h", DirectOnly: directOnly, Header: http.Header{"Id": {id}}, IDHeader: "Id", ID: id,
	})
	if err == nil {
		_, _ = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	return answer, err
}

// TestRefusedLinkIsNoEndedWorker guards against a network that refuses one node's connections and is
// taken for the end of workers, whose requests would be quarantined.
func TestRefusedLinkIsNoEndedWorker(t *testing.T) {
	p, table := tunnelledPool(t, answering(t))
	if got := p.Look(context.Background(), key, refusing(t)); got != Alive || !table.IsLost(key) {
		t.Errorf("the worker is %s, its link lost: %v", got, table.IsLost(key))
	}
	p, table = tunnelledPool(t, refusing(t))
	if got := p.Look(context.Background(), key, refusing(t)); got != Dead || table.IsLost(key) {
		t.Errorf("a worker at which nobody finds a listener is %s, its link lost: %v", got, table.IsLost(key))
	}
	p, table = tunnelledPool(t, "")
	table.Lose("another", "node", time.Now(), time.Now())
	if got := p.Look(context.Background(), key, refusing(t)); got != Unheard {
		t.Errorf("without another node, and with another link lost, the worker is %s", got)
	}
}

func TestRequestGoesThroughAnotherNodeAndBack(t *testing.T) {
	reached := answering(t)
	p, table := tunnelledPool(t, reached)
	own := refusing(t)
	answer, err := get(p, own, false)
	if err != nil || answer.Through == "" || !table.IsLost(key) {
		t.Fatalf("%+v, %v, lost: %v", answer, err, table.IsLost(key))
	}
	if _, err := get(p, own, true); err == nil || !Unsent(err) {
		t.Errorf("a request for this node's own link was sent through another node: %v", err)
	}
	for range 2 {
		table.Checked(key, true, time.Now())
	}
	if answer, err = get(p, reached, false); err != nil || answer.Through != "" {
		t.Errorf("a link that is back isn't used: %+v, %v", answer, err)
	}
}

func TestFailureThatNoNodeConfirmsIsMarked(t *testing.T) {
	p, _ := tunnelledPool(t, "")
	if _, err := get(p, refusing(t), false); !Unreached(err) || !OwnLink(err) || !Unsent(err) {
		t.Errorf("without another node: %v", err)
	}
	p, _ = tunnelledPool(t, refusing(t))
	if _, err := get(p, refusing(t), false); !Unreached(err) || OwnLink(err) {
		t.Errorf("another node finds the worker ended: %v", err)
	}
	if _, err := get(NewPool(), refusing(t), false); Unreached(err) || OwnLink(err) || !Unsent(err) {
		t.Errorf("links aren't tracked: %v", err)
	}
}

// TestRequestsThatTimedOutDontAccuseTheWorker guards against a node that has lost its own links and reports
// workers as failed which other nodes reach: requests that timed out are known as failures of the link, and the
// next request fails for that cause although no other node was asked.
func TestRequestsThatTimedOutDontAccuseTheWorker(t *testing.T) {
	p, table := tunnelledPool(t, answering(t))
	for range 2 {
		p.failedAfter(key, newConn(unused{}), time.Now(), &net.OpError{Op: "read", Err: syscall.ETIMEDOUT})
	}
	if table.KnownFailure(key, time.Now()) == nil {
		t.Fatal("two requests that timed out are no known failure")
	}
	if _, err := get(p, refusing(t), false); !Unsent(err) || !Unreached(err) || !OwnLink(err) {
		t.Errorf("the next request ends with %v; own link: %v", err, OwnLink(err))
	}
}

// unused is a connection on which nothing is read or written.
type unused struct{ net.Conn }

// silentNode takes the connections of tunnels and never answers.
func silentNode(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestCallerThatLeavesBetweenTheAttemptsAccusesNoWorker guards against a failure of this node's own link that
// counts as the worker's, since the caller left before another node could tell.
func TestCallerThatLeavesBetweenTheAttemptsAccusesNoWorker(t *testing.T) {
	for _, lost := range []bool{false, true} {
		table := links.New(quietLogger(), nil)
		p := NewPool()
		p.SetLinks(table)
		p.SetTunnels(tunnel.NewClient("me", fleet{silentNode(t)}, p.Dial, quietLogger()))
		t.Cleanup(p.Close)
		if lost {
			table.Lose(key, "node", time.Now(), time.Now())
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.Do(ctx, key, refusing(t), 0, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("the link is lost: %v; the error is %v", lost, err)
		}
		cancel()
	}
}

// TestIdleConnectionsAreNotTrustedAfterALinkIsLost guards against one lost request for each idle
// connection after the network was cut.
func TestIdleConnectionsAreNotTrustedAfterALinkIsLost(t *testing.T) {
	opened := make(chan struct{}, 10)
	address := serve(t, func(c net.Conn, requests *bufio.Reader) {
		opened <- struct{}{}
		echo(c, requests)
	}).address()
	p, table := tunnelledPool(t, address)
	for range 2 {
		if _, err := get(p, address, false); err != nil {
			t.Fatal(err)
		}
	}
	if len(opened) != 1 {
		t.Fatalf("%d connections for two requests in a row", len(opened))
	}
	time.Sleep(time.Millisecond)
	table.Lose("another", "node", time.Now(), time.Now())
	if _, err := get(p, address, false); err != nil || len(opened) != 2 {
		t.Errorf("%d connections, %v: the idle one was used", len(opened), err)
	}
}

func TestCallerThatLeavesEndsTheAttempts(t *testing.T) {
	p, _ := tunnelledPool(t, refusing(t))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Do(ctx, key, refusing(t), 0, &Request{Method: http.MethodGet, Target: "/", Host: "h"}); !errors.Is(err, context.Canceled) {
		t.Errorf("the error is %v", err)
	}
}
