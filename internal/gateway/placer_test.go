package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// placeWith places a request in a pool of two cells and returns the cells that were asked. The
// cells in empty have no engine.
func placeWith(t *testing.T, empty map[string]bool) (asked []string, err error) {
	t.Helper()
	p := &Placer{askCell: func(_ context.Context, _ *exchange, request cell.PlaceRequest) (placement, error) {
		asked = append(asked, request.Cell)
		if empty[request.Cell] {
			return placement{}, result.New(result.NoEngine, "none").WithRetryAfter(time.Second)
		}
		return placement{cell: request.Cell}, nil
	}}
	x := &exchange{kind: &catalog.Kind{Pool: "pool"}, cells: 2, prefix: nil, deadline: time.Now().Add(time.Hour)}
	_, err = p.place(context.Background(), x, engine.NewIdentifier(), nil)
	return asked, err
}

// TestPlaceAsksOtherCellsOfAPool guards against refusing a request because one cell has no
// engine while engines move between the cells of its pool.
func TestPlaceAsksOtherCellsOfAPool(t *testing.T) {
	for _, empty := range []string{CellName("pool", 0), CellName("pool", 1)} {
		if asked, err := placeWith(t, map[string]bool{empty: true}); err != nil {
			t.Errorf("with %s empty, after asking %v: %v", empty, asked, err)
		}
	}
}

// TestPlaceRefusesWhenNoCellHasAnEngine checks that the caller gets the refusal once each cell
// has been asked, without more rounds.
func TestPlaceRefusesWhenNoCellHasAnEngine(t *testing.T) {
	asked, err := placeWith(t, map[string]bool{CellName("pool", 0): true, CellName("pool", 1): true})
	if result.CodeOf(err) != result.NoEngine {
		t.Errorf("got %v, want code %v", err, result.NoEngine)
	}
	if len(asked) < 2 || len(asked) > 8 {
		t.Errorf("asked %v", asked)
	}
}
