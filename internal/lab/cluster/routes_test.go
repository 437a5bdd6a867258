package cluster

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/plainhttp"
	"github.com/tinarch/tinarch/internal/platform/machines"
)

// board is a plain web application to which nodes route requests.
type board struct {
	runs, refused atomic.Int64
	refuses       atomic.Bool
	// pause is the Retry-After header of its refusals, in seconds; empty means none.
	pause string
}

func (b *board) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if b.refuses.Load() {
		b.refused.Add(1)
		writer.Header().Set(plainhttp.HeaderNotRun, "1")
		if b.pause != "" {
			writer.Header().Set("Retry-After", b.pause)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.runs.Add(1)
	body, _ := io.ReadAll(request.Body)
	_, _ = io.WriteString(writer, request.URL.RequestURI()+" "+string(body))
}

// pastBreaker is longer than the circuit breaker stays open for a worker that has rejected one
// request.
const pastBreaker = 300 * time.Millisecond

// TestPlainServicesBehindRoutes checks that plain HTTP services are served by host and path on
// the platform that also serves models.
func TestPlainServicesBehindRoutes(t *testing.T) {
	c, ctx := start(t, 2, 1)
	boards := []*board{{pause: "60"}, {}}
	for i, b := range boards {
		server := httptest.NewServer(b)
		t.Cleanup(server.Close)
		c.list = append(c.list, machines.Machine{
			Kind: machines.KindWorker, Name: "board-" + string(rune('a'+i)), Pool: "board", Zone: "a",
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	c.Machines.Set(c.list)
	put := &tinarchv1.Catalog{
		Services: []*tinarchv1.Service{{Name: "board"}},
		Routes: []*tinarchv1.Route{{
			Name: "sync", Host: "match.example", PathPrefix: "/sync/", Kind: tinarchv1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT,
			TimeoutMs: 20_000, MaxAttempts: 2, Targets: []*tinarchv1.RouteTarget{{Service: "board", Weight: 1}},
		}},
	}
	if _, err := c.Apply(ctx, put); err != nil {
		t.Fatal(err)
	}
	ask := func(node int, host, path string) (int, string) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Nodes[node].CallersAddress()+path, strings.NewReader("turn"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	for node := range c.Nodes {
		if err := c.Await(ctx, "the board is served", func() bool {
			status, body := ask(node, "match.example", "/sync/7?x=1")
			return status == http.StatusOK && body == "/sync/7?x=1 turn"
		}); err != nil {
			t.Fatal(err)
		}
	}
	boards[0].refuses.Store(true)
	before := boards[1].runs.Load()
	for range 3 {
		if status, body := ask(0, "match.example", "/sync/8"); status != http.StatusOK {
			t.Errorf("%d %s", status, body)
		}
		time.Sleep(pastBreaker)
	}
	if refused := boards[0].refused.Load(); refused > 1 {
		t.Errorf("a worker that asks to be left alone for a minute got %d further requests", refused-1)
	}
	if ran := boards[1].runs.Load() - before; ran != 3 {
		t.Errorf("the other worker ran %d of 3", ran)
	}
	if status, _ := ask(0, "match.example", "/other/"); status != http.StatusNotFound {
		t.Errorf("a path without a route: %d", status)
	}
	if _, err := c.Catalog(c.Nodes[1]).Get(ctx, connect.NewRequest(&tinarchv1.GetRequest{})); err != nil {
		t.Error(err)
	}
	if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("beside routes", 5)); err != nil {
		t.Error(err)
	}
}
