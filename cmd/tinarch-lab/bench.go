package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/tinarch/tinarch/internal/lab/bench"
	"github.com/tinarch/tinarch/internal/lab/provenance"
)

type benchCommand struct {
	FirstToken bool   `arg:"--first-token" help:"added time to the first token at 200 requests a second"`
	Relay      bool   `arg:"--relay" help:"processor time of a relayed token against a bare copying proxy"`
	Memory     bool   `arg:"--memory" help:"memory of a node, idle and with open streams"`
	Claims     bool   `arg:"--claims" help:"cost of claims of idempotency keys"`
	Failover   bool   `arg:"--failover" help:"time from the end of a leader to the next leader"`
	Slopes     bool   `arg:"--slopes" help:"processor time and memory that a node needs for each engine and request"`
	Program    string `arg:"--program" default:"bin/tinarchd" help:"node program for --memory"`
	Out        string `arg:"--out" help:"store the result as JSON" placeholder:"FILE"`
}

// storedBench is the JSON form of the results.
type storedBench struct {
	Provenance provenance.Provenance `json:"provenance"`
	FirstToken *bench.FirstToken     `json:"first_token,omitempty"`
	Relay      *bench.Relay          `json:"relay,omitempty"`
	Memory     *bench.Memory         `json:"memory,omitempty"`
	Claims     *bench.Claims         `json:"claims,omitempty"`
	Failover   *bench.Failover       `json:"failover,omitempty"`
	Slopes     *bench.Slopes         `json:"slopes,omitempty"`
}

const (
	benchRate     = 200
	benchRequests = 4000
	benchStreams  = 200
	benchTokens   = 200
	benchRounds   = 5
	memoryStreams = 1000
	failovers     = 20
)

// benchmark is one of the benchmarks that the command runs; without a selection it runs all.
type benchmark struct {
	selected bool
	measure  func(ctx context.Context, stored *storedBench) error
}

func (c *benchCommand) run(ctx context.Context) error {
	stored := storedBench{Provenance: provenance.Collect()}
	benchmarks := []benchmark{
		{c.FirstToken, measureFirstToken},
		{c.Relay, measureRelay},
		{c.Memory, c.measureMemory},
		{c.Claims, measureClaims},
		{c.Failover, measureFailover},
		{c.Slopes, c.measureSlopes},
	}
	all := !slices.ContainsFunc(benchmarks, func(p benchmark) bool { return p.selected })
	for _, p := range benchmarks {
		if !p.selected && !all {
			continue
		}
		if err := p.measure(ctx, &stored); err != nil {
			return err
		}
	}
	return writeJSON(c.Out, stored)
}

func measureFirstToken(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureFirstToken(ctx, benchRate, benchRequests)
	if err != nil {
		return err
	}
	stored.FirstToken = &measured
	fmt.Printf("first token, p50/p95/p99 ms: direct %.2f, through a node %.2f, added %.2f\n",
		measured.DirectMillis, measured.ThroughMillis, measured.AddedMillis)
	return nil
}

func measureRelay(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureRelay(ctx, benchStreams, benchTokens, benchRounds)
	if err != nil {
		return err
	}
	stored.Relay = &measured
	fmt.Printf("relay: node %.2f us a token, copying proxy %.2f us, ratio %.2f; %.0f tokens a second per core\n",
		measured.NodeMicros, measured.CopyMicros, measured.Ratio, measured.TokensPerCore)
	return nil
}

func (c *benchCommand) measureMemory(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureMemory(ctx, c.Program, memoryStreams)
	if err != nil {
		return err
	}
	stored.Memory = &measured
	fmt.Printf("memory: %.1f MB at rest, %.1f MB with %d streams, %.1f MB per 1,000 streams\n",
		measured.RestMegabytes, measured.StreamsMegabytes, measured.Streams, measured.MegabytesPer1000Stream)
	return nil
}

func measureClaims(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureClaims(ctx)
	if err != nil {
		return err
	}
	stored.Claims = &measured
	fmt.Printf("claims, p50/p95/p99 ms: peer round trip %.2f, claim %.2f, added %.2f; %.0f a second in one group; %.0f bytes a live claim\n",
		measured.RoundTripMillis, measured.ClaimMillis, measured.AddedMillis, measured.PerSecond, measured.BytesPerClaim)
	return nil
}

func measureFailover(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureFailover(ctx, failovers)
	if err != nil {
		return err
	}
	stored.Failover = &measured
	fmt.Printf("failover, %d rounds: p50/p95/p99 %.2f s\n", measured.Rounds, measured.Seconds)
	return nil
}

func (c *benchCommand) measureSlopes(ctx context.Context, stored *storedBench) error {
	measured, err := bench.MeasureSlopes(ctx, c.Program, []int{1, 16, 32, 64})
	if err != nil {
		return err
	}
	stored.Slopes = &measured
	for _, slope := range measured.Engines {
		fmt.Printf("leader of %d idle engines: %.2f %% of a core, %.1f MB\n", slope.Engines, slope.ProcessorPercent, slope.ResidentMegabyte)
	}
	for _, slope := range measured.Requests {
		fmt.Printf("request with a prompt of %d bytes: %.0f us of processor time, %.0f us with a key\n", slope.PromptBytes, slope.MicrosEach, slope.KeyedMicros)
	}
	return nil
}
