package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/faults"
	"github.com/tinarch/tinarch/internal/lab/provenance"
	"github.com/tinarch/tinarch/internal/lab/virtual"
	"github.com/tinarch/tinarch/internal/result"
)

type faultsCommand struct {
	Seed     uint64  `arg:"--seed" default:"1" help:"first seed"`
	Count    int     `arg:"--count" default:"1" help:"number of seeds"`
	Parallel int     `arg:"--parallel" default:"1" help:"schedules run at the same time"`
	Seconds  float64 `arg:"--seconds" default:"12" help:"length of a schedule, without the time to settle after it"`
	Events   int     `arg:"--events" default:"8" help:"failures in a schedule"`
	Virtual  bool    `arg:"--virtual" help:"run groups in virtual time instead of processes"`
	Without  string  `arg:"--without" help:"with --virtual: remove a guard (promise or claim), to see the checker report a violation"`
	Program  string  `arg:"--program" default:"bin/tinarchd" help:"node program"`
	Logs     string  `arg:"--logs" default:"out/faults" help:"folder for settings and logs of nodes"`
	Out      string  `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedFaults is the JSON form of the results.
type storedFaults struct {
	Provenance provenance.Provenance `json:"provenance"`
	Outcomes   []faults.Outcome      `json:"outcomes"`
}

func (c *faultsCommand) run(ctx context.Context) error {
	if c.Virtual {
		return c.runVirtual()
	}
	outcomes := make([]faults.Outcome, c.Count)
	errs := make([]error, c.Count)
	slots := make(chan struct{}, max(c.Parallel, 1))
	var group sync.WaitGroup
	for i := range c.Count {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			seed := c.Seed + uint64(i)
			outcomes[i], errs[i] = faults.Execute(ctx, faults.Options{
				Seed: seed, Program: c.Program, Directory: faults.DirectoryFor(c.Logs, seed),
				Length: time.Duration(c.Seconds * float64(time.Second)), Events: c.Events,
			})
			o := outcomes[i]
			fmt.Printf("seed %d: %d requests, %d whole, %d not run, %d unknown, %d node starts, revision %d, %d problems\n",
				seed, o.Requests, o.Whole, o.NotRun, o.Unknown, o.Starts, o.Revision, len(o.Problems))
		}()
	}
	group.Wait()
	bad := 0
	for i, outcome := range outcomes {
		if errs[i] != nil {
			bad++
			fmt.Printf("seed %d did not run: %v\n", c.Seed+uint64(i), errs[i])
		}
		if len(outcome.Problems) > 0 {
			bad++
			fmt.Print(outcome.Trace())
		}
	}
	if err := writeJSON(c.Out, storedFaults{provenance.Collect(), outcomes}); err != nil {
		return err
	}
	if bad > 0 {
		return result.New(result.Internal, "%d of %d schedules had problems", bad, c.Count)
	}
	return nil
}

// storedVirtual is the JSON form of the results of schedules in virtual time.
type storedVirtual struct {
	Provenance provenance.Provenance `json:"provenance"`
	FirstSeed  uint64                `json:"first_seed"`
	Schedules  int                   `json:"schedules"`
	Claims     int                   `json:"claims"`
	Granted    int                   `json:"granted"`
	Problems   []string              `json:"problems"`
}

func (c *faultsCommand) runVirtual() error {
	stored := storedVirtual{Provenance: provenance.Collect(), FirstSeed: c.Seed, Schedules: c.Count, Problems: []string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, max(c.Parallel, 1))
	for i := range c.Count {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			outcome := virtual.RunClaims(c.Seed+uint64(i), virtual.Guard(c.Without))
			mu.Lock()
			defer mu.Unlock()
			stored.Claims += outcome.Claims
			stored.Granted += outcome.Granted
			if outcome.Problem != "" {
				stored.Problems = append(stored.Problems, outcome.String())
			}
		}()
	}
	group.Wait()
	fmt.Printf("%d schedules from seed %d: %d claims, %d granted, %d problems\n", c.Count, c.Seed, stored.Claims, stored.Granted, len(stored.Problems))
	for _, problem := range stored.Problems[:min(len(stored.Problems), 3)] {
		fmt.Print(problem)
	}
	if err := writeJSON(c.Out, stored); err != nil {
		return err
	}
	if len(stored.Problems) > 0 {
		return result.New(result.Internal, "%d of %d schedules had problems", len(stored.Problems), c.Count)
	}
	return nil
}
