package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/tinarch/tinarch/internal/lab/soak"
	"github.com/tinarch/tinarch/internal/result"
)

type soakCommand struct {
	Program string  `arg:"--program" default:"bin/tinarchd" help:"path of tinarchd"`
	Seed    uint64  `arg:"--seed" help:"first seed (default: from the clock)"`
	Count   int     `arg:"--count" default:"1" help:"number of seeds, one after the other"`
	Seconds float64 `arg:"--seconds" default:"30" help:"duration of the faults for each seed"`
	// Each flag below changes what a seed does: to repeat a run, give the same seed and the
	// same flags.
	Unfenced bool   `arg:"--unfenced" help:"neither the platform's API nor the engines compare fences"`
	Quotas   bool   `arg:"--quotas" help:"give one tenant a limit, and check that it holds"`
	Poison   bool   `arg:"--poison" help:"one caller sends a request that crashes each worker that runs it"`
	Parts    bool   `arg:"--parts" help:"one caller sends requests that share a part of their prompts, which crashes each worker that runs it, and nothing else"`
	Crowds   bool   `arg:"--crowds" help:"all callers come to one node for some seconds, again and again"`
	Unending bool   `arg:"--unending" help:"some workers answer with bytes without end, and the memory of the nodes is checked"`
	Broken   bool   `arg:"--broken" help:"some workers send answers that aren't in the protocol, and other writers leave odd entries; whether callers get them, and whether nodes end by themselves, is checked"`
	Limits   bool   `arg:"--limits" help:"workers state a limit of requests, and the requests that they get are checked against it"`
	Notices  bool   `arg:"--notices" help:"workers announce that they are about to end, or ask for a pause, and the requests that they get are checked"`
	Storms   bool   `arg:"--storms" help:"the configuration changes in quick succession while the store rejects a share of the nodes, and the time until each node has it is checked; with odd seeds it is too large for a datagram"`
	Restores bool   `arg:"--restores" help:"the store fails repeatedly, and is restored from a backup that is some seconds old"`
	Handover bool   `arg:"--handovers" help:"all nodes are restarted one after the other after a usage report, and then the store is restored from an older backup"`
	Uneven   bool   `arg:"--uneven" help:"workers state the slowdown of their hosts, which differ and change"`
	Overload bool   `arg:"--overload" help:"like --uneven, and one tenant sends bursts that the engines can't read in time; who is served and who is kept waiting is checked"`
	Unframed bool   `arg:"--unframed" help:"workers answer in all framings, break answers off in order and with a reset, and crash while they answer"`
	Cuts     bool   `arg:"--cuts" help:"some nodes are cut off from all or some workers while others reach them; whether they serve their callers like the others is checked"`
	Versions bool   `arg:"--versions" help:"engines have several software versions and are replaced by others, and callers take streams up again; whether streams hold events of one version and go on is checked"`
	Ends     bool   `arg:"--ends" help:"with --versions: all nodes are killed around releases, and engines of one version end while they are down"`
	Nodes    int    `arg:"--nodes" default:"3" help:"number of nodes, each a process"`
	Earlier  string `arg:"--earlier" help:"path of tinarchd of an earlier build: half of the nodes start with it, and nodes are upgraded and downgraded"`
	Logs     string `arg:"--logs" help:"directory for settings and logs (default: a new one, kept only if a promise was broken)"`
	Verbose  bool   `arg:"--verbose" help:"print each fault"`
	Out      string `arg:"--out" help:"store the reports as JSON"`
}

func (c *soakCommand) run(ctx context.Context) error {
	first := c.Seed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	var reports []*soak.Report
	broken := 0
	for number := range c.Count {
		report, err := c.runSeed(ctx, first+uint64(number))
		if err != nil {
			return err
		}
		reports = append(reports, report)
		broken += len(report.Broken)
	}
	if err := writeJSON(c.Out, reports); err != nil {
		return err
	}
	if broken > 0 {
		return result.New(result.Internal, "%d promises were broken", broken)
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (*soak.Report, error) {
	directory, err := c.logDirectory(seed)
	if err != nil {
		return nil, err
	}
	out := io.Discard
	if c.Verbose {
		out = os.Stdout
	}
	report, err := soak.Run(ctx, soak.Options{
		Program: c.Program, Directory: directory, Seed: seed, Length: time.Duration(c.Seconds * float64(time.Second)), Out: out,
		Unfenced: c.Unfenced, Quotas: c.Quotas, Poison: c.Poison, Parts: c.Parts, Crowds: c.Crowds, Unending: c.Unending, Broken: c.Broken, Limits: c.Limits, Notices: c.Notices, Storms: c.Storms, Restores: c.Restores, Handovers: c.Handover, Uneven: c.Uneven, Overload: c.Overload, Unframed: c.Unframed, Cuts: c.Cuts, Versions: c.Versions, Ends: c.Ends, Nodes: c.Nodes, Earlier: c.Earlier,
	})
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d (unfenced %v): %d requests, %d served, %d of %d in the quiet time, %d starts, %d workers ended, %d limits, %d announced ends, %d pauses, %v, %d promises broken\n",
		seed, report.Unfenced, report.Sent, report.Served, report.QuietServed, report.QuietSent, report.Starts, report.Ended, report.Limited, report.Leaving, report.Paused, report.Statuses, len(report.Broken))
	if report.Storm != nil {
		fmt.Printf("  storm: %+v\n", *report.Storm)
	}
	if report.Streams != nil {
		fmt.Printf("  streams: %+v\n", *report.Streams)
	}
	if c.Quotas {
		fmt.Printf("  quota: at most %d requests in a window\n", report.LimitedPeak)
	}
	for _, line := range report.Broken {
		fmt.Println("  broken:", line)
	}
	if len(report.Broken) > 0 {
		fmt.Println("  logs:", directory)
	} else if c.Logs == "" {
		_ = os.RemoveAll(directory)
	}
	return report, nil
}

func (c *soakCommand) logDirectory(seed uint64) (string, error) {
	if c.Logs == "" {
		return os.MkdirTemp("", "tinarch-soak-")
	}
	directory := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return "", result.New(result.SettingsInvalid, "the logs can't be stored: %v", err)
	}
	return directory, nil
}
