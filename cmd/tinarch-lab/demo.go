package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/demo"
	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/lab/provenance"
	"github.com/tinarch/tinarch/internal/placement"
)

type demoCommand struct {
	Deployment string  `arg:"positional" default:"examples/verifica-norte/deployment.yaml" help:"deployment file"`
	Compare    bool    `arg:"--compare" help:"also run the same arrivals under round robin and least-loaded placement"`
	StoresDown bool    `arg:"--stores-down" help:"also run the same arrivals with table service and object store down"`
	Seconds    float64 `arg:"--seconds" help:"length of the workload (default: as in its file)"`
	Rate       float64 `arg:"--rate" default:"1" help:"multiplies all arrival rates"`
	Out        string  `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedDemo is the JSON form of the results.
type storedDemo struct {
	Provenance provenance.Provenance `json:"provenance"`
	Runs       []demo.Run            `json:"runs"`
}

func (c *demoCommand) run(ctx context.Context) error {
	deployment, err := cluster.ReadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	policies := []placement.Policy{placement.PolicyPredicted}
	if c.Compare {
		policies = append(policies, placement.PolicyRoundRobin, placement.PolicyLeastLoaded)
	}
	runs, err := demo.Execute(ctx, demo.Options{
		Deployment: deployment, Policies: policies, Seconds: c.Seconds, Rate: c.Rate, StoresDown: c.StoresDown, Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	if err := writeJSON(c.Out, storedDemo{provenance.Collect(), runs}); err != nil {
		return err
	}
	return demo.Summary(os.Stdout, runs)
}

type loadCommand struct {
	Workload string   `arg:"positional,required" help:"workload file"`
	Address  []string `arg:"--address,separate,required" help:"callers' port of a node; may be repeated"`
	Seconds  float64  `arg:"--seconds" help:"length of the workload (default: as in its file)"`
	Rate     float64  `arg:"--rate" default:"1" help:"multiplies all arrival rates"`
	Out      string   `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

func (c *loadCommand) run(ctx context.Context) error {
	workload, err := load.ReadWorkload(c.Workload)
	if err != nil {
		return err
	}
	report := load.Run(ctx, workload.Scaled(c.Rate, c.Seconds), load.Options{
		Addresses: c.Address,
		Progress: func(elapsed time.Duration, sent, ended int) {
			fmt.Printf("\r   %3.0f s: %d sent, %d ended ", elapsed.Seconds(), sent, ended)
		},
	})
	fmt.Println()
	report.Print(os.Stdout)
	fmt.Printf("answers lost, cut or crossed: %d; goodput: %.2f %%\n", report.Wrong(), 100*report.Goodput())
	return writeJSON(c.Out, struct {
		Provenance provenance.Provenance `json:"provenance"`
		Report     *load.Report          `json:"report"`
	}{provenance.Collect(), report})
}
