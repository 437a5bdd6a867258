// Command tinarch-lab runs emulated engines and a stand-in for the platform, sends load, and
// runs experiments and fault tests.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

type arguments struct {
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a whole deployment in this process under its workload"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a workload to nodes"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure the overhead of a node against a baseline"`
	Faults     *faultsCommand     `arg:"subcommand:faults" help:"run nodes as processes under seeded failures and check invariants"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run routed nodes as processes under seeded external faults and check their promises"`
	Abuse      *abuseCommand      `arg:"subcommand:abuse" help:"run routed nodes as processes beside clients that misbehave and check that they go on serving"`
	Scale      *scaleCommand      `arg:"subcommand:scale" help:"measure the cost of hollow nodes, which have no callers, and of rollouts to them"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"simulate a deployment in virtual time and compare placement policies over several seeds"`
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run a deployment's engines and platform as servers"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "tinarch-lab runs tinarch against emulated engines and a stand-in platform."
}

// Version is printed by --version.
func (arguments) Version() string { return "tinarch-lab " + settings.Version }

type command interface {
	run(ctx context.Context) error
}

func main() { os.Exit(run(os.Args[1:])) }

const program = "tinarch-lab"

func run(parameters []string) int {
	var parsed arguments
	parser, status, proceed := cli.Parse(program, &parsed, parameters)
	if !proceed {
		return status
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		return cli.Fail(program, cli.NoCommand(program))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := chosen.run(ctx); err != nil {
		return cli.Fail(program, err)
	}
	return 0
}

// writeJSON writes a result to a file, or does nothing if the path is empty.
func writeJSON(path string, value any) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding the result")
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return result.New(result.SettingsInvalid, "the result can't be stored: %v", err)
	}
	return nil
}
