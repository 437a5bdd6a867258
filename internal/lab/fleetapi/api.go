// Package fleetapi is a fake of the platform's API for tests. It receives usage reports and
// orders to scale workers, each with a fencing token. It speaks the platform's protocol,
// records what it received, and can inject faults.
package fleetapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tinarch/tinarch/internal/lab/fences"
)

// Faults are the faults that the API injects.
type Faults struct {
	// Down refuses all calls with 503.
	Down bool
	// LoseAnswers carries calls out and breaks off their connections without an answer.
	LoseAnswers bool
	// Delay is how long the API waits before it handles a call.
	Delay time.Duration
	// Late carries calls out after this time and leaves them unanswered.
	Late time.Duration
}

// active reports whether any fault is injected. An unfenced API doesn't check the fencing
// tokens of calls that come meanwhile.
func (f Faults) active() bool { return f != Faults{} }

// Order is an order that sets the number of workers of a service in a zone.
type Order struct {
	Service, Zone string
	DesiredCount  int
	Spot          bool
}

// API is a running fake API.
type API struct {
	server *httptest.Server

	fences *fences.Log
	// unfenced makes the API carry out calls with stale fencing tokens.
	unfenced bool

	mu      sync.Mutex
	faults  Faults
	reports map[int64][]usageReport
	orders  []Order
	// describe returns a description of the process that made a call.
	describe func(holder string, at time.Time) string
}

// usageReport is a report of a usage window.
type usageReport struct {
	holder string
	at     time.Time
	counts map[string]int
}

// Start starts an API on a free port. It refuses calls whose fencing token is stale.
func Start() *API { return start(false) }

// StartUnfenced starts an API that carries out every call, and records a stale fencing token as
// a violation.
func StartUnfenced() *API { return start(true) }

func start(unfenced bool) *API {
	a := &API{fences: fences.New(), unfenced: unfenced, reports: make(map[int64][]usageReport)}
	a.describe = func(holder string, _ time.Time) string { return holder }
	router := chi.NewRouter()
	router.Post("/usage", a.usage)
	router.Post("/scale", a.scale)
	a.server = httptest.NewServer(router)
	return a
}

// Address returns the API's IP:PORT.
func (a *API) Address() string { return strings.TrimPrefix(a.server.URL, "http://") }

// Close stops the API and closes its connections.
func (a *API) Close() {
	a.server.CloseClientConnections()
	a.server.Close()
}

// SetFaults replaces the injected faults.
func (a *API) SetFaults(faults Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// Fences returns the log of the calls and their fencing tokens.
func (a *API) Fences() *fences.Log { return a.fences }

// DescribeCallers sets how violations name the process that made a call, by the lease holder that
// the call stated and the time of the call.
func (a *API) DescribeCallers(describe func(holder string, at time.Time) string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.describe = describe
}

// Reports returns the reported counts per tenant, by window, in the order in which they came.
func (a *API) Reports() map[int64][]map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	reported := make(map[int64][]map[string]int, len(a.reports))
	for window, reports := range a.reports {
		for _, report := range reports {
			reported[window] = append(reported[window], report.counts)
		}
	}
	return reported
}

// Orders returns the orders for workers in the order in which they were carried out.
func (a *API) Orders() []Order {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Order(nil), a.orders...)
}

// Violations returns the violations found in the calls: windows that were reported with
// different counts, and those that the fence log found.
func (a *API) Violations(lease time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	violations := a.fences.Violations(lease)
	for window, reports := range a.reports {
		for _, other := range reports[1:] {
			if !maps.Equal(reports[0].counts, other.counts) {
				violations = append(violations, fmt.Sprintf("window %d was reported as %v and as %v (by %s at %s, and by %s at %s)", window, reports[0].counts, other.counts,
					a.describe(reports[0].holder, reports[0].at), reports[0].at.Format(clockTime), a.describe(other.holder, other.at), other.at.Format(clockTime)))
			}
		}
	}
	return violations
}

// clockTime is the format of times in violations: the time of day, as in the logs of nodes.
const clockTime = "15:04:05.000"

// admit applies the faults and checks the fencing token. It reports whether the call is to be
// carried out, and whether it is to be answered.
func (a *API) admit(writer http.ResponseWriter, request *http.Request, duty string) (done, answered bool) {
	a.mu.Lock()
	faults := a.faults
	a.mu.Unlock()
	time.Sleep(faults.Delay + faults.Late)
	fence, err := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
	call := fences.Call{Subject: duty, Holder: request.Header.Get("X-Lease-Holder"), Fence: fence, At: time.Now()}
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false, true
	case err != nil || call.Holder == "":
		a.fences.AddViolation("a call without a lease holder or fencing token")
		writer.WriteHeader(http.StatusBadRequest)
		return false, true
	case !a.unfenced && !a.fences.RecordUnlessStale(call):
		writer.WriteHeader(http.StatusConflict)
		return false, true
	case a.unfenced && !faults.active():
		a.fences.Record(call)
	}
	return true, !faults.LoseAnswers && faults.Late == 0
}

func (a *API) usage(writer http.ResponseWriter, request *http.Request) {
	var report struct {
		Window int64
		Counts map[string]int
	}
	if err := json.NewDecoder(request.Body).Decode(&report); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	done, answered := a.admit(writer, request, "usage")
	if done {
		a.mu.Lock()
		a.reports[report.Window] = append(a.reports[report.Window], usageReport{
			holder: request.Header.Get("X-Lease-Holder"), at: time.Now(), counts: report.Counts,
		})
		a.mu.Unlock()
	}
	if !answered {
		panic(http.ErrAbortHandler)
	}
}

func (a *API) scale(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	done, answered := a.admit(writer, request, "scale "+order.Service+" "+order.Zone)
	if done {
		a.mu.Lock()
		a.orders = append(a.orders, order)
		a.mu.Unlock()
	}
	if !answered {
		panic(http.ErrAbortHandler)
	}
}
