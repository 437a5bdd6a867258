// Command tinarch is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

// arguments are the command-line arguments.
type arguments struct {
	Apply      *applyCommand      `arg:"subcommand:apply" help:"change the configuration from a file"`
	Delete     *deleteCommand     `arg:"subcommand:delete" help:"delete one object of the configuration"`
	Get        *getCommand        `arg:"subcommand:get" help:"show the configuration"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show nodes, cells and the lowest revision in force"`
	Engines    *enginesCommand    `arg:"subcommand:engines" help:"show engines as their leaders see them"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"stop new work on an engine, or allow it again"`
	Watch      *watchCommand      `arg:"subcommand:watch" help:"show each revision as it comes into force"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check a configuration file offline"`
	Key        *keyCommand        `arg:"subcommand:key" help:"print the digest of an API key or operator token read from standard input"`
	Completion *completionCommand `arg:"subcommand:completion" help:"print a shell completion script"`

	Server string `arg:"--server,env:TINARCH_SERVER" default:"http://127.0.0.1:8081" help:"operators' port of any node"`
	Token  string `arg:"--token,env:TINARCH_TOKEN" help:"operator's token"`
	Output string `arg:"-o,--output" default:"table" help:"table or json"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "tinarch configures and observes a tinarch cluster.\nIt exits with 0, or with the thousands digit of the result code (docs/ERRORS.md)."
}

// Version is printed by --version.
func (arguments) Version() string { return "tinarch " + settings.Version }

// command is a subcommand.
type command interface {
	run(ctx context.Context, env environment) error
}

// environment holds what all subcommands need: the node to call, the operator's token and the
// output.
type environment struct {
	server  string
	token   string
	printer cli.Printer
}

func main() { os.Exit(run(os.Args[1:])) }

const program = "tinarch"

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
	format := cli.Format(parsed.Output)
	if format != cli.Table && format != cli.JSON {
		return cli.Fail(program, result.New(result.UsageInvalid, "--output %s is not known; use table or json", parsed.Output))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := environment{server: parsed.Server, token: parsed.Token, printer: cli.Printer{Out: os.Stdout, Format: format}}
	if err := chosen.run(ctx, env); err != nil {
		return cli.Fail(program, cli.FromRPC(err))
	}
	return 0
}
