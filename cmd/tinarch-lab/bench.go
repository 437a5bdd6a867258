package main

import (
	"context"
	"fmt"

	"github.com/tinarch/tinarch/internal/lab/bench"
	"github.com/tinarch/tinarch/internal/lab/provenance"
)

type benchCommand struct {
	FirstToken bool   `arg:"--first-token" help:"added time to the first token at 200 requests a second"`
	Relay      bool   `arg:"--relay" help:"processor time of a relayed token against a bare copying proxy"`
	Memory     bool   `arg:"--memory" help:"memory of a node at rest and with open streams"`
	Program    string `arg:"--program" default:"bin/tinarchd" help:"node program for --memory"`
	Out        string `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedBench is the stored form of a benchmark.
type storedBench struct {
	Provenance provenance.Provenance `json:"provenance"`
	FirstToken *bench.FirstToken     `json:"first_token,omitempty"`
	Relay      *bench.Relay          `json:"relay,omitempty"`
	Memory     *bench.Memory         `json:"memory,omitempty"`
}

const (
	benchRate     = 200
	benchRequests = 4000
	benchStreams  = 200
	benchTokens   = 200
	benchRounds   = 5
	memoryStreams = 1000
)

func (c *benchCommand) run(ctx context.Context) error {
	stored := storedBench{Provenance: provenance.Collect()}
	all := !c.FirstToken && !c.Relay && !c.Memory
	if c.FirstToken || all {
		measured, err := bench.MeasureFirstToken(ctx, benchRate, benchRequests)
		if err != nil {
			return err
		}
		stored.FirstToken = &measured
		fmt.Printf("first token, p50/p95/p99 ms: direct %.2f, through a node %.2f, added %.2f\n",
			measured.DirectMillis, measured.ThroughMillis, measured.AddedMillis)
	}
	if c.Relay || all {
		measured, err := bench.MeasureRelay(ctx, benchStreams, benchTokens, benchRounds)
		if err != nil {
			return err
		}
		stored.Relay = &measured
		fmt.Printf("relay: node %.2f us a token, copying proxy %.2f us, ratio %.2f; %.0f tokens a second per core\n",
			measured.NodeMicros, measured.CopyMicros, measured.Ratio, measured.TokensPerCore)
	}
	if c.Memory || all {
		measured, err := bench.MeasureMemory(ctx, c.Program, memoryStreams)
		if err != nil {
			return err
		}
		stored.Memory = &measured
		fmt.Printf("memory: %.1f MB at rest, %.1f MB with %d streams, %.1f MB per 1,000 streams\n",
			measured.RestMegabytes, measured.StreamsMegabytes, measured.Streams, measured.MegabytesPer1000Stream)
	}
	return writeJSON(c.Out, stored)
}
