package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/result"
)

// Methods of the peer protocol that the members of cells serve.
const (
	MethodPlace    peer.Method = "cell.place"
	MethodProgress peer.Method = "cell.progress"
)

// placement is a ticket, the node that issued it, and when it was received.
type placement struct {
	ticket   engine.Ticket
	cell     string
	placedBy string
	received time.Time
}

// expired reports whether the ticket must not be dispatched any more. This catches a gateway
// that was suspended in between; the engine refuses a ticket that expires after the check.
func (p placement) expired() bool {
	return time.Since(p.received) > time.Duration(p.ticket.ValidMillis)*time.Millisecond
}

// Placer asks the leaders of cells to place requests.
type Placer struct {
	client *peer.Client
	router *group.Router
	zone   string
	// askCell asks one cell. Tests replace it.
	askCell func(ctx context.Context, x *exchange, request cell.PlaceRequest) (placement, error)
}

// NewPlacer returns a placer for a gateway in a zone.
func NewPlacer(client *peer.Client, router *group.Router, zone string) *Placer {
	p := &Placer{client: client, router: router, zone: zone}
	p.askCell = p.ask
	return p
}

const placeRetryPause = 30 * time.Millisecond

// place waits until a cell has placed or refused an attempt. If a cell has no suitable engine,
// the pool's other cells are asked before the request is refused, since engines may be moving
// between cells.
func (p *Placer) place(ctx context.Context, x *exchange, attempt engine.Identifier, excluded []string) (placement, error) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	request := cell.PlaceRequest{
		Attempt:      attempt,
		Revision:     x.revision,
		Tenant:       x.tenant.GetName(),
		Kind:         x.kind.Name,
		PromptTokens: x.promptTokens,
		OutputTokens: x.outputTokens,
		Prefix:       x.prefix,
		Zone:         p.zone,
		Excluded:     excluded,
		Retry:        attempt != x.attempt,
	}
	// unplaced is the error if the deadline passes, or the caller leaves, before the attempt is
	// placed or refused. Its message names the usual cause, that the groups of the pool's cells
	// have no leaders; a cell may also have been stopping, or have lost its leader while the
	// request waited. The error of the last try is dropped.
	unplaced := result.New(result.NoEngine, "no cell of pool %s answers; its group has no leader", x.kind.Pool).WithRetryAfter(time.Second)
	withoutEngine := make(map[string]bool)
	first := firstCell(x)
	for try := 0; ; try++ {
		request.Cell = CellName(x.kind.Pool, (first+try)%x.cells)
		request.DeadlineMillis = time.Until(x.deadline).Milliseconds()
		placed, err := p.askCell(ctx, x, request)
		if err == nil {
			return placed, nil
		}
		failure := result.From(err)
		if failure.Code == result.NoEngine {
			withoutEngine[request.Cell] = true
			if len(withoutEngine) < x.cells {
				continue
			}
		}
		if !mayPlaceElsewhere(failure.Code) {
			return placement{}, failure
		}
		select {
		case <-ctx.Done():
			return placement{}, unplaced
		case <-time.After(placeRetryPause + rand.N(placeRetryPause)):
		}
	}
}

// mayPlaceElsewhere reports whether after this error another node may still place the request.
func mayPlaceElsewhere(code result.Code) bool {
	switch code {
	case result.NotLeader, result.PeerUnavailable, result.Stopping:
		return true
	}
	return false
}

// firstCell returns the cell to ask first. Requests with the same prefix go to the same cell of
// a pool, where engines have that prefix in their caches. Requests without a prefix get a
// random cell.
func firstCell(x *exchange) int {
	switch {
	case len(x.prefix) > 0:
		return int(x.prefix[0] % uint64(x.cells))
	case x.cells > 1:
		return rand.IntN(x.cells)
	}
	return 0
}

// CellPrefix is the prefix of the names of cells, which are also the names of their groups.
const CellPrefix = "cell/"

// CellName returns the name of a pool's cell and of its group.
func CellName(pool string, number int) string {
	return fmt.Sprintf("%s%s/%d", CellPrefix, pool, number)
}

// ask asks the cell's leader. While there is none, any other member may place a repeatable
// request: its view of the load is less exact than a leader's, but engines refuse what they
// can't take.
func (p *Placer) ask(ctx context.Context, x *exchange, request cell.PlaceRequest) (placement, error) {
	if address := p.router.Leader(ctx, request.Cell); address != "" {
		placed, err := p.askLeader(ctx, address, request)
		if err == nil || !mayPlaceElsewhere(result.CodeOf(err)) {
			return placed, err
		}
		p.router.Forget(request.Cell, address)
	}
	if !x.kind.Repeatable {
		return placement{}, result.New(result.NotLeader, "cell %s has no leader now", request.Cell)
	}
	request.AnyMember = true
	for _, address := range p.router.Members(request.Cell) {
		placed, err := p.askAt(ctx, address, request)
		if err == nil || !mayPlaceElsewhere(result.CodeOf(err)) && result.CodeOf(err) != result.NoEngine {
			return placed, err
		}
	}
	return placement{}, result.New(result.NotLeader, "cell %s has no leader now", request.Cell)
}

// confirmEvery is how often a waiting request checks that the leader it waits for still
// answers.
const confirmEvery = 400 * time.Millisecond

// askLeader asks the leader, and stops waiting when the leader no longer answers. A request may
// wait in a queue for long, and must not do so at a suspended process.
func (p *Placer) askLeader(ctx context.Context, address string, request cell.PlaceRequest) (placement, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watching := make(chan struct{})
	defer close(watching)
	go func() {
		ticker := time.NewTicker(confirmEvery)
		defer ticker.Stop()
		for {
			select {
			case <-watching:
				return
			case <-ticker.C:
			}
			if !p.router.Confirm(callCtx, request.Cell, address) {
				cancel(result.New(result.NotLeader, "the leader of cell %s does not answer any more", request.Cell))
				return
			}
		}
	}()
	return p.askAt(callCtx, address, request)
}

func (p *Placer) askAt(ctx context.Context, address string, request cell.PlaceRequest) (placement, error) {
	var ticket engine.Ticket
	if err := p.client.Call(ctx, address, MethodPlace, request, &ticket); err != nil {
		return placement{}, err
	}
	if ticket.Attempt != request.Attempt {
		return placement{}, result.New(result.PeerProtocol, "a ticket for attempt %s came for %s", ticket.Attempt, request.Attempt)
	}
	return placement{ticket: ticket, cell: request.Cell, placedBy: address, received: time.Now()}, nil
}
