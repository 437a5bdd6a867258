package fleetworker

import (
	"bytes"
	"net/http"
)

// crash ends the worker with all that it runs. Nobody listens at its address any more once
// the first of its connections breaks off. It does not return.
func (w *Worker) crash() {
	w.crashed.Do(func() {
		_ = w.server.Listener.Close()
		if w.options.OnCrash != nil {
			w.options.OnCrash(w)
		}
		go w.server.CloseClientConnections()
	})
	panic(http.ErrAbortHandler)
}

// SetCrashOn changes which requests crash the worker, none where the text is empty.
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
