package main

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/cli"
)

func (e environment) fleetClient() tinarchv1connect.FleetServiceClient {
	return tinarchv1connect.NewFleetServiceClient(http.DefaultClient, e.server, connect.WithInterceptors(cli.BearerToken(e.token)))
}

// statusCommand prints the nodes and the cells that the called node knows. HEARD is the time
// since the node was last heard of, and PEERS is its own address for other nodes. The last table
// has a row for each cell: a cell is a replica group that places requests on a part of a pool's
// engines, so a pool with several cells has several rows, each with the leader of one of them.
type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, env environment) error {
	response, err := env.fleetClient().Status(ctx, connect.NewRequest(&tinarchv1.StatusRequest{}))
	if err != nil {
		return err
	}
	return env.printer.Message(response.Msg, func(rows *cli.Rows) {
		rows.Add("answered by", response.Msg.GetAnsweredBy())
		rows.Add("lowest revision", response.Msg.GetLowestRevision())
		rows.Add("NODE", "ZONE", "STATE", "REVISION", "HEARD", "PEERS")
		for _, node := range response.Msg.GetNodes() {
			rows.Add(node.GetName(), node.GetZone(), node.GetState(), node.GetRevision(), fmt.Sprintf("%d ms ago", node.GetHeardMsAgo()), node.GetPeerAddress())
		}
		rows.Add("POOL", "LEADER", "FENCE")
		for _, cell := range response.Msg.GetCells() {
			rows.Add(cell.GetPool(), cell.GetLeader(), cell.GetFence())
		}
	})
}

// enginesCommand prints the engines as the leaders of their cells see them. A pool is printed as
// "did not answer" once for each of its cells whose leader didn't; the engines of that cell are
// missing then.
type enginesCommand struct {
	Pool string `arg:"positional" help:"pool (default: all)"`
}

func (c *enginesCommand) run(ctx context.Context, env environment) error {
	response, err := env.fleetClient().Engines(ctx, connect.NewRequest(&tinarchv1.EnginesRequest{Pool: c.Pool}))
	if err != nil {
		return err
	}
	return env.printer.Message(response.Msg, func(rows *cli.Rows) {
		rows.Add("ENGINE", "POOL", "ZONE", "STATE", "ROLE", "MODEL", "IN FLIGHT", "PENDING", "REPORT", "LAST ERROR")
		for _, engine := range response.Msg.GetEngines() {
			rows.Add(engine.GetName(), engine.GetPool(), engine.GetZone(), engine.GetState(), engine.GetRole(), engine.GetModel(),
				engine.GetInFlight(), engine.GetPendingPromptTokens(), fmt.Sprintf("%d ms old", engine.GetReportAgeMs()), engine.GetLastError())
		}
		for _, pool := range response.Msg.GetUnansweredPools() {
			rows.Add("(the leader of pool "+pool+" did not answer)", pool)
		}
	})
}

type drainCommand struct {
	Engine string `arg:"positional,required" help:"name of the engine"`
	Undo   bool   `arg:"--undo" help:"allow work again"`
}

func (c *drainCommand) run(ctx context.Context, env environment) error {
	response, err := env.fleetClient().Drain(ctx, connect.NewRequest(&tinarchv1.DrainRequest{Engine: c.Engine, Undo: c.Undo}))
	if err != nil {
		return err
	}
	return env.printer.Message(response.Msg, func(rows *cli.Rows) { rows.Add("in flight", response.Msg.GetInFlight()) })
}
