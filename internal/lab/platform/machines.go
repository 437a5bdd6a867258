package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/platform/machines"
)

// Machines is a fake machine list. A change becomes visible after a lag.
type Machines struct {
	*service
	faultState
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at   time.Time
	list []machines.Machine
}

// StartMachines serves a machine list at the address.
func StartMachines(address string, lag time.Duration) (*Machines, error) {
	m := &Machines{lag: lag}
	server, err := startService(address, http.HandlerFunc(m.serve))
	m.service = server
	return m, err
}

// Set replaces the list. The first list is visible at once, later ones after the lag.
func (m *Machines) Set(list []machines.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now()
	if len(m.versions) == 0 {
		at = at.Add(-m.lag)
	}
	m.versions = append(m.versions, listVersion{at: at, list: append([]machines.Machine(nil), list...)})
}

// Current returns the list that was set last, also if it isn't visible yet.
func (m *Machines) Current() []machines.Machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.versions) == 0 {
		return nil
	}
	return append([]machines.Machine(nil), m.versions[len(m.versions)-1].list...)
}

func (m *Machines) visibleList() []machines.Machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	visible := time.Now().Add(-m.lag)
	for len(m.versions) > 1 && !m.versions[1].at.After(visible) {
		m.versions = m.versions[1:]
	}
	if len(m.versions) == 0 {
		return nil
	}
	return m.versions[0].list
}

func (m *Machines) serve(w http.ResponseWriter, _ *http.Request) {
	if m.beforeRequest() {
		http.Error(w, "throttled", http.StatusTooManyRequests)
		return
	}
	content, err := machines.Render(m.visibleList())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}
