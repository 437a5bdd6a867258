package fleetworker

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// SetLimit has the worker name a limit in its answers, and none where it is empty.
func (w *Worker) SetLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// arrive counts a request of a node, and names in its answer what the worker says of itself.
func (w *Worker) arrive(writer http.ResponseWriter, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrival := Arrival{ID: id, At: time.Now(), Leaving: w.leaving}
	if w.pause != "" {
		seconds, _ := strconv.ParseFloat(w.pause, 64)
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

// SetLeaving has the worker's answers say that it is about to end, or not.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetBackoff has the worker reject all requests and ask to be left alone for so many seconds, and
// take them where that is empty.
func (w *Worker) SetBackoff(seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = seconds
}

// pauses reports whether the worker rejects requests, and names the time in the answer.
func (w *Worker) pauses(writer http.ResponseWriter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pause != "" {
		writer.Header().Set("Retry-After", w.pause)
	}
	return w.pause != ""
}

// Arrival is a request of a node that reached a worker.
type Arrival struct {
	// ID is the request's, empty where it has none.
	ID string
	At time.Time
	// Leaving tells that the answer said the worker is about to end, and Pause for how long the
	// worker asked to be left alone then.
	Leaving bool
	Backoff time.Duration
}

// Arrivals returns the requests of any kind that came.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// MaxInWindow returns the most of some times, in rising order, that lie in one window.
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
