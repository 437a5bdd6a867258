// Package fleetapi is a stand-in for the API of the users' platform: reports of usage
// and orders for workers, under fences that rise. It speaks the platform's protocol,
// remembers what it was told, and can be told to fail.
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

// Faults are what the API can be told to do.
type Faults struct {
	// Down refuses all calls with 503.
	Down bool
	// LoseAnswers carries calls out and doesn't answer them.
	LoseAnswers bool
	// Delay is how long a call takes.
	Delay time.Duration
	// Late leaves calls unanswered, and carries them out after that time.
	Late time.Duration
}

// disrupted reports whether the API is in trouble: calls that come meanwhile don't count.
func (f Faults) disrupted() bool { return f != Faults{} }

// Order is an order for workers.
type Order struct {
	Service, Zone string
	DesiredCount  int
	Spot          bool
}

// API is a running stand-in.
type API struct {
	server *httptest.Server

	fences *fences.Log
	// unfenced tells that lower fences aren't refused.
	unfenced bool

	mu      sync.Mutex
	faults  Faults
	reports map[int64][]map[string]int
	orders  []Order
}

// Start runs an API on a port of its own, that refuses lower fences.
func Start() *API { return start(false) }

// StartUnfenced runs an API that carries out whatever comes, and remembers lower fences as
// broken promises.
func StartUnfenced() *API { return start(true) }

func start(unfenced bool) *API {
	a := &API{fences: fences.New(), unfenced: unfenced, reports: make(map[int64][]map[string]int)}
	router := chi.NewRouter()
	router.Post("/usage", a.usage)
	router.Post("/scale", a.scale)
	a.server = httptest.NewServer(router)
	return a
}

// Address returns IP:PORT.
func (a *API) Address() string { return strings.TrimPrefix(a.server.URL, "http://") }

// Close ends the API.
func (a *API) Close() {
	a.server.CloseClientConnections()
	a.server.Close()
}

// SetFaults replaces the faults.
func (a *API) SetFaults(faults Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// Fences is the log of the calls.
func (a *API) Fences() *fences.Log { return a.fences }

// Reports returns the counts that were reported, by window, in order.
func (a *API) Reports() map[int64][]map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.reports)
}

// Orders returns the orders for workers, in order.
func (a *API) Orders() []Order {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Order(nil), a.orders...)
}

// Violations returns the promises that the calls broke: two truths of a window, and those of
// fences.
func (a *API) Violations(lease time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	problems := a.fences.Violations(lease)
	for window, reports := range a.reports {
		for _, other := range reports[1:] {
			if !maps.Equal(reports[0], other) {
				problems = append(problems, fmt.Sprintf("window %d was reported as %v and as %v", window, reports[0], other))
			}
		}
	}
	return problems
}

// admit applies the faults and checks the fence. It reports whether the call is carried
// out, and whether it is to be answered.
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
		a.fences.AddViolation("a call without a holder or fence")
		writer.WriteHeader(http.StatusBadRequest)
		return false, true
	case !a.unfenced && !a.fences.RecordUnlessStale(call):
		writer.WriteHeader(http.StatusConflict)
		return false, true
	case a.unfenced && !faults.disrupted():
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
		a.reports[report.Window] = append(a.reports[report.Window], report.Counts)
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
