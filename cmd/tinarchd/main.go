// Command tinarchd is a node of tinarch.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/node"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

func main() { os.Exit(run()) }

func run() int {
	var flags settings.Flags
	parser, err := arg.NewParser(arg.Config{Program: "tinarchd"}, &flags)
	if err != nil {
		return fail(err)
	}
	switch err := parser.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(os.Stdout)
		return 0
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(flags.Version())
		return 0
	case err != nil:
		return fail(result.New(result.UsageInvalid, "%v; see tinarchd --help", err))
	}
	configured, err := flags.Resolve()
	if err != nil {
		return fail(err)
	}
	if flags.CheckOnly {
		fmt.Println("the settings are valid")
		return 0
	}
	if err := serve(configured); err != nil {
		return fail(err)
	}
	return 0
}

// serve runs the node until a signal asks for a planned stop. A second signal
// ends it at once.
func serve(configured settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, err := node.Start(configured, node.Options{Log: node.NewLogger(configured.Log)})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(configured.Limits.StopTimeoutMillis))
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return running.Stop(ctx)
}

func fail(err error) int {
	failure := result.From(err)
	fmt.Fprintf(os.Stderr, "tinarchd: %s\n", failure)
	if failure.Code == result.Internal {
		fmt.Fprintln(os.Stderr, eris.ToString(err, true))
	}
	return failure.Code.ExitStatus()
}
