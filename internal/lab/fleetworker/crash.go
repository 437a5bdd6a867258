package fleetworker

import (
	"bytes"
	"net"
	"net/http"
)

// crash ends the worker with everything that it runs. It does not return.
func (w *Worker) crash() {
	w.Crash()
	panic(http.ErrAbortHandler)
}

// Crash closes the listener, and then all connections in order. The kernel closes them the other
// way round for a process that was killed, within microseconds; in a busy test process that would
// take longer than probes wait.
func (w *Worker) Crash() {
	w.crashOnce.Do(func() {
		_ = w.server.Listener.Close()
		if w.options.OnCrash != nil {
			w.options.OnCrash(w)
		}
		w.closeConnections()
		go w.server.CloseClientConnections()
	})
}

// trackConnection keeps the open connections of the worker; it is the server's ConnState. Those
// on which an answer is delivered stay until that ends.
func (w *Worker) trackConnection(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.connections[c] = true
	case http.StateClosed:
		delete(w.connections, c)
	}
}

func (w *Worker) closeConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.connections {
		_ = c.Close()
	}
}

// SetCrashOn sets the text that makes a request crash the worker; empty means that none does.
func (w *Worker) SetCrashOn(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.CrashOn = text
}

// crashesOn reports whether a request crashes the worker.
func (w *Worker) crashesOn(body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.options.CrashOn != "" && bytes.Contains(body, []byte(w.options.CrashOn))
}
