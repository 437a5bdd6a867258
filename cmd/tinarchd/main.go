// Command tinarchd runs a node of tinarch.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/node"
	"github.com/tinarch/tinarch/internal/settings"
)

func main() { os.Exit(run()) }

const program = "tinarchd"

func run() int {
	var flags settings.Flags
	if _, status, proceed := cli.Parse(program, &flags, os.Args[1:]); !proceed {
		return status
	}
	if flags.Routed {
		return runRouted(flags)
	}
	configured, err := flags.Resolve()
	if err != nil {
		return cli.Fail(program, err)
	}
	if flags.CheckOnly {
		fmt.Println("the settings are valid")
		return 0
	}
	if configured.Limits.MemoryMegabytes > 0 {
		limitMemory(configured.Limits.MemoryMegabytes)
	}
	if err := serve(configured); err != nil {
		return cli.Fail(program, err)
	}
	return 0
}

// limitMemory sets the memory limit of the Go runtime to a share of the machine's memory.
func limitMemory(megabytes int) {
	const memoryShare = 0.6
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
}

// serve runs the node until a signal requests a planned stop. A second signal ends the stop at
// once.
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
