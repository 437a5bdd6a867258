// Package demo runs a lab deployment under its workload, with one or several placement
// policies, and prints the results that callers saw.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/result"

	labengine "github.com/tinarch/tinarch/internal/lab/engine"
)

// Options configure a demo.
type Options struct {
	Deployment cluster.Deployment
	// Policies are run one after the other, each with the same request arrivals.
	Policies []placement.Policy
	// Seconds replaces the workload's length; zero keeps it.
	Seconds float64
	// Rate multiplies all arrival rates.
	Rate float64
	// StoresDown runs the first policy a second time with the table service and the
	// object store down from the start of the load to its end.
	StoresDown bool
	Out        io.Writer
}

// Run holds the results of one run.
type Run struct {
	Policy     placement.Policy   `json:"policy"`
	StoresDown bool               `json:"stores_down"`
	Report     *load.Report       `json:"report"`
	Counters   labengine.Counters `json:"engines"`
	// Doubled is the number of requests that must run at most once and ran more often.
	Doubled int `json:"doubled"`
}

const startTimeout = 2 * time.Minute

// Execute runs the demo and returns the runs that were completed, also if one fails.
func Execute(ctx context.Context, options Options) ([]Run, error) {
	workload, err := load.ReadWorkload(options.Deployment.WorkloadPath())
	if err != nil {
		return nil, err
	}
	workload = workload.Scaled(options.Rate, options.Seconds)
	var runs []Run
	for number, policy := range options.Policies {
		for _, storesDown := range []bool{false, true} {
			if storesDown && (!options.StoresDown || number > 0) {
				continue // only the first policy is also run without the stores
			}
			run, err := executePolicy(ctx, options, workload, policy, storesDown)
			if err != nil {
				return runs, err
			}
			runs = append(runs, run)
		}
	}
	return runs, nil
}

func executePolicy(ctx context.Context, options Options, workload load.Workload, policy placement.Policy, storesDown bool) (Run, error) {
	clusterOptions := options.Deployment.Options()
	clusterOptions.Policy = policy
	fmt.Fprintf(options.Out, "\n== placement policy %s: starting %d nodes and %d engines\n", policy, options.Deployment.Nodes, options.Deployment.EngineCount())
	lab, err := cluster.Start(clusterOptions)
	if err != nil {
		return Run{}, err
	}
	defer lab.Close()
	if err := configure(ctx, options, lab); err != nil {
		return Run{}, err
	}
	if storesDown {
		lab.Table.SetFaults(platform.Faults{Down: true})
		lab.Objects.SetFaults(platform.Faults{Down: true})
		fmt.Fprintln(options.Out, "   table service and object store are down from now on")
	}
	var addresses []string
	for _, node := range lab.Nodes {
		addresses = append(addresses, node.CallersAddress())
	}
	report := load.Run(ctx, workload, load.Options{
		Addresses: addresses,
		Progress: func(elapsed time.Duration, sent, ended int) {
			fmt.Fprintf(options.Out, "\r   %3.0f s: %d sent, %d ended ", elapsed.Seconds(), sent, ended)
		},
	})
	fmt.Fprintln(options.Out)
	run := Run{Policy: policy, StoresDown: storesDown, Report: report, Counters: lab.Counters(), Doubled: report.Doubled(lab.Runs())}
	report.Print(options.Out)
	fmt.Fprintf(options.Out, "answers lost, cut or crossed: %d; requests run twice that must not be: %d; goodput: %.2f %%\n",
		report.Wrong(), run.Doubled, 100*report.Goodput())
	return run, nil
}

// configure applies the deployment's catalog and waits until its engines are ready.
func configure(ctx context.Context, options Options, lab *cluster.Cluster) error {
	deployed, err := catalog.ReadFile(options.Deployment.CatalogPath())
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := lab.Await(startCtx, "all nodes to know each other and the current revision", func() bool { return lab.CaughtUp() }); err != nil {
		return err
	}
	revision, err := lab.Apply(startCtx, deployed)
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "   revision %d in force at all nodes; engines load their models\n", revision)
	return lab.AwaitEngines(startCtx, options.Deployment.EngineCount())
}

func (r Run) columnLabel() string {
	if r.StoresDown {
		return "stores down"
	}
	return string(r.Policy)
}

// Summary prints the goodput of each stream by run. It returns an error if a run had wrong
// answers or ran requests twice that must run at most once.
func Summary(out io.Writer, runs []Run) error {
	if len(runs) == 0 {
		return result.New(result.Internal, "no run was completed")
	}
	if len(runs) > 1 {
		fmt.Fprintln(out, "\n== goodput by stream, with the same arrivals")
		fmt.Fprintf(out, "%-18s", "stream")
		for _, run := range runs {
			fmt.Fprintf(out, "%14s", run.columnLabel())
		}
		fmt.Fprintln(out)
		for i, stream := range runs[0].Report.Streams {
			fmt.Fprintf(out, "%-18s", stream.Name)
			for _, run := range runs {
				fmt.Fprintf(out, "%12.1f %%", 100*run.Report.Streams[i].GoodputOf())
			}
			fmt.Fprintln(out)
		}
		fmt.Fprintf(out, "%-18s", "all")
		for _, run := range runs {
			fmt.Fprintf(out, "%12.1f %%", 100*run.Report.Goodput())
		}
		fmt.Fprintln(out)
	}
	for _, run := range runs {
		if run.Report.Wrong() > 0 || run.Doubled > 0 {
			return result.New(result.Internal, "policy %s: %d answers were wrong and %d requests ran twice", run.Policy, run.Report.Wrong(), run.Doubled)
		}
	}
	return nil
}
