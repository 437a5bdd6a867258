package fleetworker

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
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

// SetCrashOn sets the text that makes a request crash the worker, and SetCrashOnPart the prompt
// part; empty means that none does.
func (w *Worker) SetCrashOn(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.CrashOn = text
}

// SetCrashOnPart: see SetCrashOn.
func (w *Worker) SetCrashOnPart(part string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.CrashOnPart = part
}

// crashesOn reports whether a request crashes the worker.
func (w *Worker) crashesOn(body []byte, prompt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.options.CrashOn != "" && bytes.Contains(body, []byte(w.options.CrashOn)) || HasPart(prompt, w.options.CrashOnPart)
}

// crashMidway writes the first events of an answer and then crashes the worker.
func (w *Worker) crashMidway(writer http.ResponseWriter, id string) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := range w.options.CrashAfter {
		_, _ = io.WriteString(writer, w.event(id, event+1))
	}
	_ = http.NewResponseController(writer).Flush()
	time.Sleep(w.options.Pause)
	w.crash()
}

// HasPart reports whether a prompt has a part other than as the last.
func HasPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	return part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(field string) bool {
		id, _, _ := strings.Cut(field, ":")
		return id == part
	})
}

// Connections returns the number of open connections.
func (w *Worker) Connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.connections)
}
