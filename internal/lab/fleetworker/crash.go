package fleetworker

import (
	"bytes"
	"net/http"
	"time"
)

// listenerDelay is how long the listener outlives the connections of a worker that crashes. The
// kernel closes what a process opened last first.
const listenerDelay = 2 * time.Millisecond

// crash ends the worker with everything that it runs. It does not return.
func (w *Worker) crash() {
	w.Crash()
	panic(http.ErrAbortHandler)
}

// Crash closes all connections in order, and then the listener, as the kernel does for a process
// that was killed.
func (w *Worker) Crash() {
	w.crashOnce.Do(func() {
		if w.options.OnCrash != nil {
			w.options.OnCrash(w)
		}
		w.closeDeliveries()
		go func() {
			time.Sleep(listenerDelay)
			_ = w.server.Listener.Close()
			w.server.CloseClientConnections() // also those that were accepted meanwhile
		}()
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
