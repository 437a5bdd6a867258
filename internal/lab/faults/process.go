package faults

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

// nodeProcess is a node that runs as a process, and is started again after it
// ended.
type nodeProcess struct {
	program   string
	directory string
	settings  settings.Settings

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// starts counts the incarnations.
	starts int
}

func (n *nodeProcess) callers() string { return n.settings.Listen.Callers }

// start runs a new incarnation.
func (n *nodeProcess) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running() {
		return nil // another failure of the same node has started it already
	}
	content, err := yaml.Marshal(n.settings)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding settings")
	}
	path := filepath.Join(n.directory, n.settings.Node.Name+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return result.Wrap(err, result.Internal, "writing settings")
	}
	log, err := os.OpenFile(filepath.Join(n.directory, n.settings.Node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return result.Wrap(err, result.Internal, "opening a log")
	}
	process := exec.Command(n.program, "--config", path)
	process.Stderr = log
	if err := process.Start(); err != nil {
		return result.New(result.SettingsInvalid, "%s can't be started: %v; build it with go build -o bin/ ./cmd/...", n.program, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.process, n.exited = process, exited
	n.starts++
	return nil
}

// running reports whether the incarnation has not ended. The caller holds the lock.
func (n *nodeProcess) running() bool {
	if n.exited == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the running incarnation.
func (n *nodeProcess) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(signal)
}

// wait waits until the incarnation has ended, or for ctx.
func (n *nodeProcess) wait(ctx context.Context) {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-ctx.Done():
	}
}

// kill ends the incarnation at once.
func (n *nodeProcess) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.wait(ctx)
}

func (n *nodeProcess) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
