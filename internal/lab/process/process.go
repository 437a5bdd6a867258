// Package process runs a node as a separate process, restarts it and sends it signals. It only
// signals processes that it started, by process id.
package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/tinarch/tinarch/internal/result"
)

// Node is a node that runs as a process and can be started again after it exited.
type Node struct {
	// Program is the path of tinarchd; Arguments precede --config.
	Program   string
	Arguments []string
	// Directory holds the settings file and the log, Name.yaml and Name.log.
	Directory string
	Name      string
	// Settings are written as YAML before each start.
	Settings any
	// ReadyURL answers 200 when the node accepts requests.
	ReadyURL string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	runs    []run
	panics  atomic.Int64
}

// panicked is the exit code of a Go program that ends by a panic or a fatal error of the runtime.
const panicked = 2

// Panics returns how many incarnations have ended by a panic or a fatal error.
func (n *Node) Panics() int { return int(n.panics.Load()) }

// run is one incarnation of a node.
type run struct {
	at      time.Time
	program string
	pid     int
}

const killTimeout = 5 * time.Second

// SetProgram sets the program that the next start runs.
func (n *Node) SetProgram(path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Program = path
}

// ProgramAt returns the program of the incarnation that had been started last at a time.
func (n *Node) ProgramAt(at time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, started := range slices.Backward(n.runs) {
		if !started.at.After(at) {
			return started.program
		}
	}
	return ""
}

// Runs reports whether the next start, like the running process, has the program at a path.
func (n *Node) Runs(program string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Program == program
}

// SetSettings sets the settings that the next start writes.
func (n *Node) SetSettings(settings any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Settings = settings
}

// Starts returns the number of incarnations started so far.
func (n *Node) Starts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.runs)
}

// IncarnationAt describes the incarnation that had been started last at a time: its number, its
// process ID and the program that it ran.
func (n *Node) IncarnationAt(at time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, started := range slices.Backward(n.runs) {
		if !started.at.After(at) {
			return fmt.Sprintf("%s, start %d, process %d of %s", n.Name, i+1, started.pid, started.program)
		}
	}
	return n.Name + " before its first start"
}

// Start starts a new incarnation unless one is running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running() {
		return nil // another fault injected on the same node has already restarted it
	}
	content, err := yaml.Marshal(n.Settings)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding settings")
	}
	path := filepath.Join(n.Directory, n.Name+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return result.Wrap(err, result.Internal, "writing settings")
	}
	log, err := os.OpenFile(filepath.Join(n.Directory, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return result.Wrap(err, result.Internal, "opening a log")
	}
	begun := time.Now()
	process := exec.Command(n.Program, append(append([]string(nil), n.Arguments...), "--config", path)...)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return result.New(result.SettingsInvalid, "%s can't be started: %v; build it with go build -o bin/ ./cmd/...", n.Program, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		if process.ProcessState.ExitCode() == panicked {
			n.panics.Add(1)
		}
		_ = log.Close()
		close(exited)
	}()
	n.process, n.exited = process, exited
	n.runs = append(n.runs, run{at: begun, program: n.Program, pid: process.Process.Pid})
	return nil
}

// running reports whether the incarnation has not exited. The caller holds the lock.
func (n *Node) running() bool {
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

// Memory returns the resident memory of the incarnation in bytes, zero if it isn't running.
func (n *Node) Memory() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running() {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.process.Process.Pid))
	var size, resident int64
	if _, scanErr := fmt.Sscan(string(content), &size, &resident); err != nil || scanErr != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Signal sends a signal to the last incarnation, if there is one.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// Wait waits until the incarnation has exited or ctx is done, and reports whether it exited.
func (n *Node) Wait(ctx context.Context) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return false
	}
}

// Kill kills the incarnation, even if it is paused, and waits for its exit.
func (n *Node) Kill() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	n.Wait(ctx)
}

// Ready reports whether the node accepts requests.
func (n *Node) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ReadyURL, nil)
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
