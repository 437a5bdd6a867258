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
)

// Faults are what the API can be told to do.
type Faults struct {
	// Down refuses all calls with 503.
	Down bool
	// LoseAnswers carries calls out and doesn't answer them.
	LoseAnswers bool
	// Delay is how long a call takes.
	Delay time.Duration
}

// Call is a call that was carried out.
type Call struct {
	Duty   string
	Holder string
	Fence  uint64
	At     time.Time
}

// Order is an order for workers.
type Order struct {
	Service, Zone string
	DesiredCount  int
	Spot          bool
}

// API is a running stand-in.
type API struct {
	server *httptest.Server

	mu      sync.Mutex
	faults  Faults
	highest map[string]uint64
	calls   []Call
	reports map[int64][]map[string]int
	orders  []Order
	broken  []string
}

// Start runs an API on a port of its own.
func Start() *API {
	a := &API{highest: make(map[string]uint64), reports: make(map[int64][]map[string]int)}
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

// Problems returns the promises that the calls broke: two truths of a window, one fence of
// two holders, and holders that took turns within the life of a lease.
func (a *API) Problems(lease time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	problems := append([]string(nil), a.broken...)
	for window, reports := range a.reports {
		for _, other := range reports[1:] {
			if !maps.Equal(reports[0], other) {
				problems = append(problems, fmt.Sprintf("window %d was reported as %v and as %v", window, reports[0], other))
			}
		}
	}
	holders := make(map[string]string)
	for _, call := range a.calls {
		name := fmt.Sprint(call.Duty, " ", call.Fence)
		if holder, known := holders[name]; known && holder != call.Holder {
			problems = append(problems, fmt.Sprintf("%s and %s used the same fence for %s", holder, call.Holder, name))
		}
		holders[name] = call.Holder
	}
	return append(problems, turns(a.calls, lease)...)
}

// turns finds holders that acted A, B, A within a time.
func turns(calls []Call, within time.Duration) []string {
	var problems []string
	for i := range calls {
		other := false
		for j := i + 1; j < len(calls) && calls[j].At.Sub(calls[i].At) < within; j++ {
			other = other || calls[j].Holder != calls[i].Holder
			if other && calls[j].Holder == calls[i].Holder {
				problems = append(problems, fmt.Sprintf("%s acted before and after another within %v", calls[i].Holder, within))
				break
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
	time.Sleep(faults.Delay)
	fence, err := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
	holder := request.Header.Get("X-Lease-Holder")
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false, true
	case err != nil || holder == "":
		a.broken = append(a.broken, "a call without a holder or fence")
		writer.WriteHeader(http.StatusBadRequest)
		return false, true
	case fence < a.highest[duty]:
		writer.WriteHeader(http.StatusConflict)
		return false, true
	}
	a.highest[duty] = fence
	a.calls = append(a.calls, Call{Duty: duty, Holder: holder, Fence: fence, At: time.Now()})
	return true, !faults.LoseAnswers
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
