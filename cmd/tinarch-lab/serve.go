package main

import (
	"context"
	"fmt"

	"github.com/tinarch/tinarch/internal/lab/cluster"
)

type serveCommand struct {
	Deployment string `arg:"positional" default:"examples/verifica-norte/deployment.yaml" help:"deployment file"`
	BasePort   int    `arg:"--base-port" default:"9000" help:"first port, for the table; objects, machine list and faults have the next ones, and engines those from ten later"`
}

func (c *serveCommand) run(ctx context.Context) error {
	deployment, err := cluster.ReadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	running, err := cluster.Serve(deployment, c.BasePort)
	if err != nil {
		return err
	}
	defer running.Close()
	faults, err := running.ServeFaults(c.BasePort)
	if err != nil {
		return err
	}
	defer faults.Close()
	fmt.Printf("table %s, objects %s, machine list %s\n", running.Table.URL(), running.Objects.URL(), running.Machines.URL())
	for _, engine := range running.Engines {
		fmt.Printf("engine %s http://%s\n", engine.Name(), engine.Address())
	}
	<-ctx.Done()
	return nil
}
