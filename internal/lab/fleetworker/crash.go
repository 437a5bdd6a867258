package fleetworker

import (
	"bytes"
	"net/http"
)

// crash ends the worker with everything that it runs. It closes the listener before it breaks
// off the first connection, so a new connection is refused by then. It does not return.
func (w *Worker) crash() {
	w.end()
	panic(http.ErrAbortHandler)
}

// end closes the listener, and then the connections.
func (w *Worker) end() {
	w.crashOnce.Do(func() {
		_ = w.server.Listener.Close()
		if w.options.OnCrash != nil {
			w.options.OnCrash(w)
		}
		go w.server.CloseClientConnections()
	})
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
