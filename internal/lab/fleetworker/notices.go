package fleetworker

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// SetLimit makes the worker state a limit in its answers; empty means that it states none.
func (w *Worker) SetLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// recordArrival records a request from a node and sets the headers that announce the worker's
// limit and coming shutdown.
func (w *Worker) recordArrival(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrival := Arrival{
		ID: request.Header.Get("X-Request-Id"), Prompt: request.Header.Get("X-Prompt-Prefix"), At: time.Now(), Leaving: w.leaving,
	}
	if w.backoff != "" {
		seconds, _ := strconv.ParseFloat(w.backoff, 64)
		arrival.Backoff = time.Duration(seconds * float64(time.Second))
	}
	w.arrivals = append(w.arrivals, arrival)
	if w.limit != "" {
		writer.Header().Set("Server-Limit", w.limit)
	}
	if w.leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
}

// SetLeaving sets whether the worker's answers announce that it is about to end.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetBackoff makes the worker reject all requests with a backoff of this many seconds in
// Retry-After; empty means that it accepts them.
func (w *Worker) SetBackoff(seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoff = seconds
}

// rejectsForBackoff reports whether the worker rejects requests, and if so sets Retry-After.
func (w *Worker) rejectsForBackoff(writer http.ResponseWriter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.backoff != "" {
		writer.Header().Set("Retry-After", w.backoff)
	}
	return w.backoff != ""
}

// Arrival is a request from a node that reached the worker.
type Arrival struct {
	// ID is the request's id; empty if it has none.
	ID string
	At time.Time
	// Prompt is the prompt's parts as the request states them.
	Prompt string
	// Leaving reports whether the answer announced that the worker is about to end. Backoff is
	// the time for which the worker asked to get no requests, zero if none.
	Leaving bool
	Backoff time.Duration
}

// Arrivals returns the requests of all kinds that reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// MaxInWindow returns the largest number of the given times, which are sorted, that lie within
// one window.
func MaxInWindow(times []time.Time, window time.Duration) int {
	busiest, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}
