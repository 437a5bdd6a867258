package bench

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/cluster"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// EngineSlope is what a leader's process costs with a number of idle engines.
type EngineSlope struct {
	Engines          int     `json:"engines"`
	ProcessorPercent float64 `json:"processor_percent"`
	ResidentMegabyte float64 `json:"resident_mb"`
}

// RequestSlope is what one request of few tokens costs a process that is gateway
// and leader at once.
type RequestSlope struct {
	PerSecond     float64 `json:"requests_per_second"`
	MicrosEach    float64 `json:"processor_us_per_request"`
	PromptBytes   int     `json:"prompt_bytes"`
	OutputTokens  int     `json:"output_tokens"`
	KeyedMicros   float64 `json:"processor_us_per_keyed_request"`
	MeasuredCount int     `json:"requests"`
}

// Slopes are the costs that capacity is worked out from.
type Slopes struct {
	Engines  []EngineSlope  `json:"engines"`
	Requests []RequestSlope `json:"requests"`
}

const (
	clockTicksPerSecond = 100 // sysconf(_SC_CLK_TCK) on Linux
	slopeSeconds        = 8
	slopeRequests       = 3000
	slopeWorkers        = 16
)

// cpuOf returns the processor time that a process has used (proc(5), fields 14
// and 15 of stat).
func cpuOf(pid int) (time.Duration, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, result.Wrap(err, result.Internal, "reading the processor time of process %d", pid)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, result.New(result.Internal, "process %d shows no processor time", pid)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// MeasureSlopes measures one node process that leads everything.
func MeasureSlopes(ctx context.Context, program string, engineCounts []int) (Slopes, error) {
	var measured Slopes
	for _, count := range engineCounts {
		slope, err := measureEngines(ctx, program, count)
		if err != nil {
			return measured, err
		}
		measured.Engines = append(measured.Engines, slope)
	}
	for _, promptBytes := range []int{100, 32_000} {
		slope, err := measureRequests(ctx, program, promptBytes)
		if err != nil {
			return measured, err
		}
		measured.Requests = append(measured.Requests, slope)
	}
	return measured, nil
}

// loneProcess starts a deployment whose only node is a process.
func loneProcess(ctx context.Context, program string, engines int, model labengine.Model) (*cluster.Cluster, *exec.Cmd, string, error) {
	c, err := cluster.Start(cluster.Options{
		Name: "slopes", Zones: []string{"a"}, TimeScale: 1,
		Pools: []cluster.Pool{{Name: "pool", Count: engines, Model: model}},
	})
	if err != nil {
		return nil, nil, "", err
	}
	process, address, operators, err := launch(ctx, c, program)
	if err != nil {
		c.Close()
		return nil, nil, "", err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = c.Await(startCtx, "the first revision", func() bool { return c.ApplyAt(startCtx, operators, 0, benchCatalog(false)) == nil })
	if err == nil {
		err = c.Await(startCtx, "ready engines", func() bool {
			return answersReady(startCtx, address) && c.ReadyEnginesAt(startCtx, operators) == engines
		})
	}
	if err != nil {
		stop(process)
		c.Close()
	}
	return c, process, address, err
}

func stop(process *exec.Cmd) {
	_ = process.Process.Kill()
	_ = process.Wait()
}

func measureEngines(ctx context.Context, program string, count int) (EngineSlope, error) {
	c, process, _, err := loneProcess(ctx, program, count, fastModel())
	if err != nil {
		return EngineSlope{}, err
	}
	defer c.Close()
	defer stop(process)
	time.Sleep(2 * time.Second)
	before, err := cpuOf(process.Process.Pid)
	if err != nil {
		return EngineSlope{}, err
	}
	began := time.Now()
	time.Sleep(slopeSeconds * time.Second)
	after, err := cpuOf(process.Process.Pid)
	if err != nil {
		return EngineSlope{}, err
	}
	memory, err := resident(process.Process.Pid)
	return EngineSlope{
		Engines: count, ProcessorPercent: 100 * (after - before).Seconds() / time.Since(began).Seconds(), ResidentMegabyte: memory,
	}, err
}

func measureRequests(ctx context.Context, program string, promptBytes int) (RequestSlope, error) {
	const tokens = 4
	c, process, address, err := loneProcess(ctx, program, 4, fastModel())
	if err != nil {
		return RequestSlope{}, err
	}
	defer c.Close()
	defer stop(process)
	caller := newCaller()
	defer caller.close()
	prompt := strings.Repeat("prompt ", promptBytes/7+1)[:promptBytes]
	slope := RequestSlope{PromptBytes: promptBytes, OutputTokens: tokens, MeasuredCount: slopeRequests}
	for _, keyed := range []bool{false, true} {
		before, err := cpuOf(process.Process.Pid)
		if err != nil {
			return slope, err
		}
		began := time.Now()
		if err := sendMany(ctx, caller, address, prompt, tokens, keyed); err != nil {
			return slope, err
		}
		after, err := cpuOf(process.Process.Pid)
		if err != nil {
			return slope, err
		}
		each := float64((after - before).Microseconds()) / slopeRequests
		if keyed {
			slope.KeyedMicros = each
		} else {
			slope.MicrosEach = each
			slope.PerSecond = slopeRequests / time.Since(began).Seconds()
		}
	}
	return slope, nil
}

func sendMany(ctx context.Context, caller *caller, address, prompt string, tokens int, keyed bool) error {
	errs := make(chan error, slopeWorkers)
	var group sync.WaitGroup
	for worker := range slopeWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := worker; i < slopeRequests; i += slopeWorkers {
				key := ""
				if keyed {
					key = fmt.Sprintf("slope-%d-%d", len(prompt), i)
				}
				if err := caller.drainOne(ctx, address, fmt.Sprint(i, prompt), tokens, key); err != nil {
					errs <- err
					return
				}
			}
		}()
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}
