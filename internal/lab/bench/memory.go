package bench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/result"
)

// Memory is the memory of a node's process.
type Memory struct {
	RestMegabytes          float64 `json:"rest_mb"`
	Streams                int     `json:"streams"`
	StreamsMegabytes       float64 `json:"with_streams_mb"`
	MegabytesPer1000Stream float64 `json:"mb_per_1000_streams"`
}

// MeasureMemory starts a node as a process of its own, reads its resident memory
// at rest and with open streams.
func MeasureMemory(ctx context.Context, program string, streams int) (Memory, error) {
	model := fastModel()
	model.StepBase = 100 * time.Millisecond
	model.MaxSequences = streams
	model.MemoryTokens = 100_000_000
	c, err := startCluster(ctx, 2, 1, model, true)
	if err != nil {
		return Memory{}, err
	}
	defer c.Close()
	process, address, err := startProcess(ctx, c, program)
	if err != nil {
		return Memory{}, err
	}
	defer func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	}()
	time.Sleep(3 * time.Second)
	rest, err := resident(process.Process.Pid)
	if err != nil {
		return Memory{}, err
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	caller := newCaller()
	defer caller.close()
	opened := make(chan error, streams)
	for range streams {
		go func() {
			response, err := caller.open(streamCtx, address, "x", 1_500)
			opened <- err
			if err == nil {
				buffer := make([]byte, 4096)
				for {
					if _, err := response.Body.Read(buffer); err != nil {
						_ = response.Body.Close()
						return
					}
				}
			}
		}()
	}
	for range streams {
		if err := <-opened; err != nil {
			return Memory{}, err
		}
	}
	time.Sleep(3 * time.Second)
	loaded, err := resident(process.Process.Pid)
	if err != nil {
		return Memory{}, err
	}
	return Memory{
		RestMegabytes: rest, Streams: streams, StreamsMegabytes: loaded,
		MegabytesPer1000Stream: (loaded - rest) / float64(streams) * 1000,
	}, nil
}

// startProcess starts a node as a process and waits until it serves.
func startProcess(ctx context.Context, c *cluster.Cluster, program string) (*exec.Cmd, string, error) {
	process, callers, _, err := launch(ctx, c, program)
	if err != nil {
		return nil, "", err
	}
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = c.Await(waitCtx, "the node process", func() bool { return answersReady(waitCtx, callers) })
	return process, callers, err
}

// launch starts a node as a process, and returns the addresses of its callers' and
// operators' ports.
func launch(ctx context.Context, c *cluster.Cluster, program string) (process *exec.Cmd, callers, operators string, err error) {
	configured := c.NodeSettings("node-process", "a")
	addresses, err := platform.FreeAddresses(3)
	if err != nil {
		return nil, "", "", err
	}
	configured.Listen.Callers, configured.Listen.Operators, configured.Listen.Peers = addresses[0], addresses[1], addresses[2]
	configured.Log.Level = "warn"
	content, err := yaml.Marshal(configured)
	if err != nil {
		return nil, "", "", result.Wrap(err, result.Internal, "encoding settings")
	}
	path := filepath.Join(os.TempDir(), "tinarch-bench-"+strconv.Itoa(os.Getpid())+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, "", "", result.Wrap(err, result.Internal, "writing settings")
	}
	process = exec.CommandContext(ctx, program, "--config", path)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return nil, "", "", result.New(result.SettingsInvalid, "%s can't be started: %v; build it with go build -o bin/ ./cmd/...", program, err)
	}
	return process, configured.Listen.Callers, configured.Listen.Operators, nil
}

// resident returns the resident memory of a process in megabytes.
func resident(pid int) (float64, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, result.Wrap(err, result.Internal, "reading the memory of process %d", pid)
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kilobytes / 1024, err
		}
	}
	return 0, result.New(result.Internal, "process %d shows no resident memory", pid)
}
