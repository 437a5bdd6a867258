package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/lab/provenance"
	"github.com/tinarch/tinarch/internal/lab/sim"
	"github.com/tinarch/tinarch/internal/placement"
)

type experimentCommand struct {
	Deployment string  `arg:"positional" default:"examples/verifica-norte/deployment.yaml" help:"deployment file"`
	Seeds      int     `arg:"--seeds" default:"10" help:"number of seeds"`
	Parallel   int     `arg:"--parallel" default:"4" help:"simulations run at the same time"`
	Seconds    float64 `arg:"--seconds" help:"length of the workload (default: as in its file)"`
	Rate       float64 `arg:"--rate" default:"1" help:"multiplies all arrival rates"`
	Fleets     []int   `arg:"--fleets" help:"instead, measure the cost of simulating this many copies of the deployment at once"`
	Out        string  `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedExperiment is the JSON form of the results.
type storedExperiment struct {
	Provenance provenance.Provenance `json:"provenance"`
	Workload   string                `json:"workload"`
	FirstSeed  uint64                `json:"first_seed"`
	Seeds      int                   `json:"seeds"`
	Rate       float64               `json:"rate"`
	Policies   []sim.Outcome         `json:"policies,omitempty"`
	Sizes      []sim.SimulationCost  `json:"sizes,omitempty"`
}

func (c *experimentCommand) run(context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	stored := storedExperiment{
		Provenance: provenance.Collect(), Workload: options.Workload.Name, FirstSeed: options.Workload.Seed, Seeds: c.Seeds, Rate: c.Rate,
	}
	if len(c.Fleets) > 0 {
		stored.Sizes, err = measureSizes(options, c.Fleets)
	} else {
		stored.Policies, err = sim.Compare(options,
			[]placement.Policy{placement.PolicyPredicted, placement.PolicyLeastLoaded, placement.PolicyRoundRobin}, c.Seeds, c.Parallel)
		printOutcomes(stored.Policies)
	}
	if err != nil {
		return err
	}
	return writeJSON(c.Out, stored)
}

func (c *experimentCommand) options() (sim.Options, error) {
	deployment, err := cluster.ReadDeployment(c.Deployment)
	if err != nil {
		return sim.Options{}, err
	}
	source, err := catalog.ReadFile(deployment.CatalogPath())
	if err != nil {
		return sim.Options{}, err
	}
	workload, err := load.ReadWorkload(deployment.WorkloadPath())
	if err != nil {
		return sim.Options{}, err
	}
	options := sim.Options{Zones: deployment.Zones, Catalog: source, Workload: workload.Scaled(c.Rate, c.Seconds)}
	for _, pool := range deployment.Options().Pools {
		options.Pools = append(options.Pools, sim.Pool{Name: pool.Name, Count: pool.Count, Model: pool.Model})
	}
	return options, nil
}

func measureSizes(options sim.Options, fleets []int) ([]sim.SimulationCost, error) {
	var sizes []sim.SimulationCost
	for _, count := range fleets {
		size, err := sim.MeasureSimulationCost(options, count)
		if err != nil {
			return sizes, err
		}
		fmt.Printf("%d engines: %d requests in %.2f s, %.0f us each, %.1f times real time, goodput %.2f %%\n",
			size.Engines, size.Requests, size.Seconds, size.MicrosEach, size.TimesRealTime, 100*size.Goodput)
		sizes = append(sizes, size)
	}
	return sizes, nil
}

func printOutcomes(outcomes []sim.Outcome) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tstream\tgoodput median\tlowest\tfirst token p95\tbetween tokens p95")
	for _, outcome := range outcomes {
		fmt.Fprintf(table, "%s\tall\t%.2f %%\t%.2f %%\t\t\n", outcome.Policy, 100*outcome.Median, 100*outcome.Goodputs[0])
		for _, stream := range outcome.Streams {
			fmt.Fprintf(table, "\t%s\t%.2f %%\t%.2f %%\t%.0f ms\t%.1f ms\n", stream.Name, 100*stream.Goodput, 100*stream.LowestGoodput, stream.FirstTokenMillis, stream.GapMillis)
		}
	}
	_ = table.Flush()
}
