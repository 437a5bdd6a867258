package main

import (
	"context"
	"fmt"

	"github.com/tinarch/tinarch/internal/lab/provenance"
	"github.com/tinarch/tinarch/internal/lab/scale"
)

type scaleCommand struct {
	Nodes []int  `arg:"--nodes" help:"numbers of hollow nodes to measure (default: 40 120 370)"`
	Out   string `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedScale is the JSON form of the results.
type storedScale struct {
	Provenance provenance.Provenance `json:"provenance"`
	Nodes      []scale.NodeCosts     `json:"nodes"`
}

func (c *scaleCommand) run(ctx context.Context) error {
	counts := c.Nodes
	if len(counts) == 0 {
		counts = []int{40, 120, 370}
	}
	stored := storedScale{Provenance: provenance.Collect()}
	for _, count := range counts {
		measured, err := scale.MeasureNodeCosts(ctx, count, func(line string) { fmt.Println("  ", line) })
		if err != nil {
			// The results before the failure are stored too.
			stored.Nodes = append(stored.Nodes, measured)
			if writeErr := writeJSON(c.Out, stored); writeErr != nil {
				return writeErr
			}
			return err
		}
		fmt.Printf("%d nodes: %.3f %% of a core, sent %.0f B/s, received %.0f B/s, %.1f MB each; table %.1f requests/s; rollouts %.2f s\n",
			count, measured.ProcessorPercent, measured.SentBytes, measured.ReceivedBytes, measured.MemoryMegabytes, measured.TableRequests, measured.Rollouts)
		stored.Nodes = append(stored.Nodes, measured)
	}
	return writeJSON(c.Out, stored)
}
