package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/result"
)

// Options configure a run.
type Options struct {
	Seed    uint64
	Program string
	// Directory is where the nodes' settings and logs are written.
	Directory string
	Length    time.Duration
	Events    int
}

const (
	nodeCount         = 4
	engineCount       = 5
	callerKey         = "member"
	requestsPerSecond = 40
	// settleTime is the time without faults at the end of a run, within which everything must
	// recover.
	settleTime       = 12 * time.Second
	startTimeout     = 20 * time.Second
	maxStartAttempts = 3
	listLag          = 500 * time.Millisecond
)

// Outcome is the result of a run.
type Outcome struct {
	Seed     uint64   `json:"seed"`
	Events   []string `json:"events"`
	Problems []string `json:"problems,omitempty"`
	Requests int      `json:"requests"`
	Whole    int      `json:"whole"`
	Unknown  int      `json:"outcome_unknown"`
	NotRun   int      `json:"not_run"`
	Starts   int      `json:"node_starts"`
	Revision uint64   `json:"revision"`
}

type run struct {
	options  Options
	lab      *cluster.Cluster
	nodes    []*nodeProcess
	schedule []Event

	mu       sync.Mutex
	problems []string
	// leavingSince holds the times at which engines were marked leaving.
	leavingSince map[int]time.Time
}

// Execute runs the schedule of one seed.
func Execute(ctx context.Context, options Options) (Outcome, error) {
	r := &run{options: options, leavingSince: map[int]time.Time{}}
	r.schedule = NewSchedule(options.Seed, options.Length, options.Events, nodeCount, engineCount)
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return Outcome{}, result.Wrap(err, result.Internal, "making %s", options.Directory)
	}
	var err error
	for range maxStartAttempts {
		// Another process may have taken a free port before a node listens on it.
		if err = r.start(ctx); err == nil {
			defer r.close()
			return r.drive(ctx)
		}
		r.close()
		r.nodes, r.lab = nil, nil
	}
	return Outcome{Seed: options.Seed}, err
}

func faultCatalog() *tinarchv1.Catalog {
	return &tinarchv1.Catalog{
		Classes:  []*tinarchv1.PriorityClass{{Name: "urgent", Rank: 2, Weight: 10}, {Name: "calm", Rank: 1, Weight: 1}},
		Pools:    []*tinarchv1.Pool{{Name: "pool"}},
		Models:   []*tinarchv1.Model{{Name: "model", Pool: "pool", ContextTokens: 100_000, DefaultVersion: "v"}},
		Versions: []*tinarchv1.ModelVersion{{Model: "model", Name: "v", Weights: "w", SizeBytes: 1e9}},
		Kinds: []*tinarchv1.RequestKind{
			{Name: "screen", PriorityClass: "urgent", Model: "model", Repeatable: true, DeadlineMs: 15_000, MaxOutputTokens: 200},
			{Name: "verdict", PriorityClass: "calm", Model: "model", DeadlineMs: 15_000, MaxOutputTokens: 200},
		},
		Tenants: []*tinarchv1.Tenant{{Name: "member", PriorityClass: "calm", KeySha256: []string{catalog.KeyDigest(callerKey)}}},
	}
}

func (r *run) start(ctx context.Context) error {
	lab, err := cluster.Start(cluster.Options{
		Name: "faults", Zones: []string{"a", "b", "c"}, TimeScale: 0.3, LedgerGroups: 2,
		ReportLag: 200 * time.Millisecond, ListLag: listLag,
		Pools: []cluster.Pool{{Name: "pool", Count: engineCount, Model: labengine.SmallModel()}},
	})
	if err != nil {
		return err
	}
	r.lab = lab
	if err := r.configureNodes(); err != nil {
		return err
	}
	for _, n := range r.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := lab.Await(startCtx, "the first revision", func() bool { return r.apply(startCtx, 0, "first", 0, faultCatalog()) == nil }); err != nil {
		return err
	}
	return lab.Await(startCtx, "ready nodes and engines", func() bool {
		for _, n := range r.nodes {
			if !n.Ready(startCtx) {
				return false
			}
		}
		return r.servingEngines(startCtx) == engineCount
	})
}

func (r *run) configureNodes() error {
	var seeds []string
	for i := range nodeCount {
		configured := r.lab.NodeSettings(fmt.Sprintf("node-%d", i+1), string(rune('a'+i%3)))
		addresses, err := platform.FreeAddresses(3)
		if err != nil {
			return err
		}
		configured.Listen.Callers, configured.Listen.Operators, configured.Listen.Peers = addresses[0], addresses[1], addresses[2]
		seeds = append(seeds, addresses[2])
		r.nodes = append(r.nodes, newNodeProcess(r.options.Program, r.options.Directory, configured))
	}
	for _, n := range r.nodes {
		n.settings.Cluster.Seeds = seeds
	}
	return nil
}

// drive sends requests while the schedule runs, waits for the recovery and does the checks.
func (r *run) drive(ctx context.Context) (Outcome, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newRevisionWatch(r)
	go watch.watch(runCtx)
	callers := newCallers(r)
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		callers.send(runCtx, r.options.Length)
	}()
	r.injectSchedule(runCtx)
	sending.Wait()
	r.checkRecovery(ctx)
	watch.stop()
	r.checkEngines()
	callers.check()
	outcome := Outcome{Seed: r.options.Seed, Problems: r.problems, Revision: watch.highest()}
	for _, event := range r.schedule {
		outcome.Events = append(outcome.Events, event.String())
	}
	for _, n := range r.nodes {
		outcome.Starts += n.Starts()
	}
	callers.addTo(&outcome)
	return outcome, nil
}

// injectSchedule injects the faults at their times and waits until the last has ended.
func (r *run) injectSchedule(ctx context.Context) {
	began := time.Now()
	var playing sync.WaitGroup
	for _, event := range r.schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(event.At))):
		}
		playing.Add(1)
		go func() {
			defer playing.Done()
			r.inject(ctx, event)
		}()
	}
	playing.Wait()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(began.Add(r.options.Length))):
	}
}

func (r *run) inject(ctx context.Context, event Event) {
	pause := func() {
		select {
		case <-ctx.Done():
		case <-time.After(event.Length):
		}
	}
	switch event.Action {
	case KillNode, PauseNode, StopNode:
		r.injectNodeFault(ctx, event, pause)
	case TableDown, TableSlow, TableLosesAnswer, ObjectsDown, ListDown:
		r.injectPlatformFault(event, pause)
	case RaceOperators:
		r.raceOperators(ctx, event)
	default:
		r.injectEngineFault(ctx, event, pause)
	}
}

func (r *run) injectNodeFault(ctx context.Context, event Event, pause func()) {
	n := r.nodes[event.Target]
	switch event.Action {
	case PauseNode:
		n.Signal(syscall.SIGSTOP)
		pause()
		n.Signal(syscall.SIGCONT)
		return
	case KillNode:
		n.Kill()
	case StopNode:
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGTERM)
		n.Wait(ctx)
	}
	pause()
	if err := n.Start(); err != nil {
		r.addProblem("node %d could not be restarted: %v", event.Target+1, err)
	}
}

func (r *run) injectPlatformFault(event Event, pause func()) {
	switch event.Action {
	case TableDown:
		r.lab.Table.SetFaults(platform.Faults{Down: true})
	case TableSlow:
		r.lab.Table.SetFaults(platform.Faults{Delay: 700 * time.Millisecond, RequestsPerSecond: 10})
	case TableLosesAnswer:
		r.lab.Table.SetFaults(platform.Faults{LoseAnswers: 3})
	case ObjectsDown:
		r.lab.Objects.SetFaults(platform.Faults{Down: true})
	case ListDown:
		r.lab.Machines.SetFaults(platform.Faults{Down: true})
	}
	pause()
	switch event.Action {
	case ObjectsDown:
		r.lab.Objects.SetFaults(platform.Faults{})
	case ListDown:
		r.lab.Machines.SetFaults(platform.Faults{})
	default:
		r.lab.Table.SetFaults(platform.Faults{})
	}
}

func (r *run) injectEngineFault(ctx context.Context, event Event, pause func()) {
	e := r.lab.Engines[event.Target]
	switch event.Action {
	case CrashEngine:
		e.Crash(event.Length / 2)
	case LoseOrderAnswers:
		e.SetFaults(labengine.Faults{LoseOrderReplies: 3})
	case LoseAccepts:
		e.SetFaults(labengine.Faults{LoseAcceptReplies: 3})
	case BreakStreams:
		e.SetFaults(labengine.Faults{BreakAfter: 5, CrossEvents: 3, RepeatEvents: 4})
		pause()
		e.SetFaults(labengine.Faults{})
	case EngineLeaves:
		r.markLeaving(event.Target, true)
		pause()
		r.checkLeaving(event.Target)
		r.markLeaving(event.Target, false)
	case DrainEngine:
		r.drain(ctx, e.Name(), false)
		pause()
		r.drain(ctx, e.Name(), true)
	}
}

func (r *run) addProblem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

func (r *run) close() {
	for _, n := range r.nodes {
		n.Kill()
	}
	if r.lab != nil {
		r.lab.Close()
	}
}

// Trace formats a failed run with its faults and problems.
func (o Outcome) Trace() string {
	text := fmt.Sprintf("seed %d\n", o.Seed)
	for _, event := range o.Events {
		text += "  " + event + "\n"
	}
	for _, problem := range o.Problems {
		text += "  PROBLEM: " + problem + "\n"
	}
	return text
}

// DirectoryFor returns the directory for the files of the seed's run.
func DirectoryFor(base string, seed uint64) string {
	return filepath.Join(base, fmt.Sprintf("seed-%d", seed))
}

// expectedText returns the answer that engines generate for the prompt, and the seed of that
// text.
func expectedText(prompt string, tokens int) (string, uint64) {
	seed := labengine.TextSeed("model", "v", "", prompt)
	return labengine.Text(seed, tokens), seed
}
