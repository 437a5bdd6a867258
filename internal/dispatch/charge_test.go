package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// refusingWire is a protocol without headers in which a 503 proves that a request did not run.
type refusingWire struct{ Wire }

func (refusingWire) IDHeader() string                            { return "X-Id" }
func (refusingWire) ForwardHeader(*Call, Forward) http.Header    { return http.Header{} }
func (refusingWire) AnswerHeader(header http.Header) http.Header { return header }

func (refusingWire) Reply(status int, _ http.Header) Reply {
	return Reply{NotExecuted: status == http.StatusServiceUnavailable}
}

// charged adds up what a tenant was charged for further runs.
type charged struct{ cost atomic.Int64 }

func (c *charged) repeated(charge quota.Charge) { c.cost.Add(int64(charge.Cost)) }
func (c *charged) returned(charge quota.Charge) { c.cost.Add(-int64(charge.Cost)) }

// runAgain runs a call that may have run already at the worker with an address.
func (c *charged) runAgain(address string) tryResult {
	dispatcher := New(Options{
		Registry: worker.NewRegistry(topology.Map{}), Pool: workerconn.NewPool(), Wire: refusingWire{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Nodes:   func() int { return 1 }, Repeated: c.repeated, Returned: c.returned,
	})
	call := &Call{
		ID: "1", Method: http.MethodGet, Target: "/", Host: "host", Route: &routing.Route{Kind: routing.Idempotent},
		Service: &routing.Service{Name: "s"}, Deadline: time.Now().Add(20 * time.Second),
		Charge: quota.Charge{Account: "tokens a", Cost: 10},
	}
	s := &session{Dispatcher: dispatcher, call: call, caller: &collector{}, excluded: map[string]bool{}, failed: map[string]bool{}, mayHaveRunBefore: true}
	return s.run(context.Background(), scheduling.Candidate{ID: "w", Address: address}, promptOrigin{})
}

// TestFurtherRunIsChargedBeforeItRuns checks that a further run is charged before the worker
// gets it, since a quota window must not contain a run that is charged only when its answer
// arrives, and that a run that provably did not happen is refunded.
func TestFurtherRunIsChargedBeforeItRuns(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		left   int64
	}{
		{"a worker that runs it", http.StatusOK, 10},
		{"a worker that fails", http.StatusInternalServerError, 10},
		{"a worker that proves not to have run it", http.StatusServiceUnavailable, 0},
	} {
		account := &charged{}
		atWorker := int64(-1)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			atWorker = account.cost.Load()
			writer.Header().Set("X-Id", request.Header.Get("X-Id"))
			writer.WriteHeader(c.status)
		}))
		account.runAgain(strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if atWorker != 10 || account.cost.Load() != c.left {
			t.Errorf("%s: %d charged when the worker got it, %d in the end, want 10 and %d", c.name, atWorker, account.cost.Load(), c.left)
		}
	}
	account := &charged{}
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if end := account.runAgain(address); end.verdict != notRun || account.cost.Load() != 0 {
		t.Errorf("an unreachable worker: verdict %q, %d charged, want 0", end.verdict, account.cost.Load())
	}
}

// TestCallerThatLeftBeforeAnyRun checks that a call whose caller has left counts as not run if
// all workers that got it refused it.
func TestCallerThatLeftBeforeAnyRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    tryResult
		notRun bool
	}{
		{"before a worker had it", tryResult{verdict: notRun, err: context.Canceled}, true},
		{"while it may have run", tryResult{verdict: mayHaveRun, err: context.Canceled}, false},
		{"while its answer came", tryResult{verdict: finished, code: result.CallerGone, err: errCallerWrite{context.Canceled}}, false},
	} {
		s := &session{call: &Call{Route: &routing.Route{}}, attempts: 1} // a worker has refused it before
		outcome := Outcome{}
		if c.end.verdict == finished {
			outcome = s.outcome(c.end)
		} else {
			outcome = s.givenUp(c.end)
		}
		if outcome.Code != result.CallerGone || outcome.NotRun() != c.notRun {
			t.Errorf("%s: code %d, proved not to have run: %v", c.name, outcome.Code, outcome.NotRun())
		}
	}
}
