package engine

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

func startEngine(t *testing.T, without Guards) (*Engine, *engine.Client, engine.Status) {
	t.Helper()
	e, err := Start("127.0.0.1:0", Options{Name: "e", Model: SmallModel(), TimeScale: 0.01, Without: without})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := engine.NewClient()
	t.Cleanup(client.Close)
	status, err := client.Status(context.Background(), e.Address())
	if err != nil {
		t.Fatal(err)
	}
	return e, client, status
}

func order(kind engine.OrderType, fence engine.Fence, sequence uint64, incarnation engine.Identifier) engine.Order {
	return engine.Order{ID: engine.NewIdentifier(), Type: kind, Fence: fence, Sequence: sequence, Incarnation: incarnation}
}

// sendStaleOrder sends a claim with a fence and then an order with a lower one, and returns the
// code of the answer to the order.
func sendStaleOrder(t *testing.T, e *Engine, client *engine.Client, incarnation engine.Identifier) result.Code {
	t.Helper()
	ctx := context.Background()
	if _, err := client.Order(ctx, e.Address(), order(engine.OrderClaim, 9, 1, incarnation)); err != nil {
		t.Fatal(err)
	}
	_, err := client.Order(ctx, e.Address(), order(engine.OrderDrain, 8, 5, incarnation))
	return result.CodeOf(err)
}

func TestStaleFenceIsRefused(t *testing.T) {
	e, client, status := startEngine(t, Guards{})
	if code := sendStaleOrder(t, e, client, status.Incarnation); code != result.FenceStale {
		t.Errorf("order with a lower fence than a claim: code %s", code)
	}
	if e.Counters().UnfencedOrders != 0 {
		t.Error("a refused order counts as one that took effect")
	}
}

// TestCheckerSeesOrdersWithoutAuthority shows that the counters of orders that must never take
// effect count them when the engine's checks are disabled.
func TestCheckerSeesOrdersWithoutAuthority(t *testing.T) {
	e, client, status := startEngine(t, Guards{Fence: true})
	sendStaleOrder(t, e, client, status.Incarnation)
	if counters := e.Counters(); counters.UnfencedOrders != 1 || counters.UnclaimedOrders != 1 {
		t.Errorf("without the fence check: %+v", counters)
	}
	e, client, status = startEngine(t, Guards{Incarnation: true})
	if _, err := client.Order(context.Background(), e.Address(), order(engine.OrderClaim, 9, 1, status.Incarnation)); err != nil {
		t.Fatal(err)
	}
	e.Crash(0)
	if _, err := client.Order(context.Background(), e.Address(), order(engine.OrderDrain, 8, 5, status.Incarnation)); err != nil {
		t.Fatal(err)
	}
	if counters := e.Counters(); counters.UnfencedOrders != 1 {
		t.Errorf("without the incarnation check: %+v", counters)
	}
}

func TestDelayedCopyDoesNotUndoALaterOrder(t *testing.T) {
	e, client, status := startEngine(t, Guards{})
	ctx := context.Background()
	drain := order(engine.OrderDrain, 1, 1, status.Incarnation)
	for _, sent := range []engine.Order{drain, order(engine.OrderUndrain, 1, 2, status.Incarnation)} {
		if _, err := client.Order(ctx, e.Address(), sent); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := client.Order(ctx, e.Address(), drain); result.CodeOf(err) != result.FenceStale {
		t.Errorf("delayed copy of an order: %v", err)
	}
	after, err := client.Status(ctx, e.Address())
	if err != nil || after.Draining {
		t.Errorf("status %+v, error %v", after, err)
	}
}

func TestRefusedUnseenAttemptNeverRuns(t *testing.T) {
	e, client, status := startEngine(t, Guards{})
	ctx := context.Background()
	target := engine.Deployment{Model: "m", Version: "v", Role: engine.RoleMixed}
	for sequence, sent := range []engine.Order{order(engine.OrderClaim, 1, 1, status.Incarnation), order(engine.OrderDeploy, 1, 2, status.Incarnation)} {
		if sent.Type == engine.OrderDeploy {
			sent.Target = &target
		}
		if _, err := client.Order(ctx, e.Address(), sent); err != nil {
			t.Fatalf("order %d: %v", sequence, err)
		}
	}
	for {
		now, err := client.Status(ctx, e.Address())
		if err != nil {
			t.Fatal(err)
		}
		if now.Deployment.Serves(target) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	ticket := engine.Ticket{
		Attempt: engine.NewIdentifier(), Engine: "e", Address: e.Address(), Incarnation: status.Incarnation, Model: "m", Version: "v", Role: engine.RoleMixed,
	}
	reply, err := client.RefuseUnseen(ctx, e.Address(), status.Incarnation, ticket.Attempt)
	if err != nil || reply.Seen {
		t.Fatalf("reply %+v, error %v", reply, err)
	}
	body := []byte(`{"model":"m","prompt":"x","max_tokens":2,"stream":true}`)
	if _, err := client.Start(ctx, ticket, string(openai.Completions), body); result.CodeOf(err) != result.TicketRefused {
		t.Errorf("the refused attempt: %v", err)
	}
	ticket.Attempt = engine.NewIdentifier()
	stream, err := client.Start(ctx, ticket, string(openai.Completions), body)
	if err != nil {
		t.Fatal(err)
	}
	_ = stream.Close()
	if reply, err := client.RefuseUnseen(ctx, e.Address(), status.Incarnation, ticket.Attempt); err != nil || !reply.Seen {
		t.Errorf("an accepted attempt: reply %+v, error %v", reply, err)
	}
	// After the stream is removed, the engine must still know that the attempt ran: otherwise a
	// retry with the same key would run again.
	for e.Counters().Finished == 0 {
		time.Sleep(time.Millisecond)
	}
	e.expire(time.Now().Add(engine.AttemptRetention / 2))
	if _, err := client.Resume(ctx, e.Address(), status.Incarnation, ticket.Attempt, 1); result.CodeOf(err) != result.StreamUnknown {
		t.Errorf("removed stream: %v", err)
	}
	if reply, err := client.RefuseUnseen(ctx, e.Address(), status.Incarnation, ticket.Attempt); err != nil || !reply.Seen {
		t.Errorf("a finished attempt: reply %+v, error %v", reply, err)
	}
}
