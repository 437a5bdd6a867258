package bench

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/gateway"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// Failover is the time from a leader's death to the next leader.
type Failover struct {
	Rounds        int        `json:"rounds"`
	SecondsSorted []float64  `json:"seconds_sorted"`
	Seconds       [3]float64 `json:"seconds_p50_p95_p99"`
}

// MeasureFailover ends the leader of a cell again and again, and measures until
// another node holds the lease with a higher fence. A new node takes the place of
// the lost one before the next round.
func MeasureFailover(ctx context.Context, rounds int) (Failover, error) {
	c, err := startCluster(ctx, 4, 1, fastModel(), true)
	if err != nil {
		return Failover{}, err
	}
	defer c.Close()
	group := gateway.CellName("pool", 0)
	measured := Failover{Rounds: rounds}
	histogram := newHistogram()
	whole := engine.Fence(0)
	for range rounds {
		if _, _, err := awaitLeader(ctx, c, group, whole); err != nil {
			return measured, err
		}
		time.Sleep(time.Second) // a leader by hand-over may follow the first one
		leader, fence, err := awaitLeader(ctx, c, group, whole)
		if err != nil {
			return measured, err
		}
		began := time.Now()
		go c.Nodes[leader].Close()
		c.Nodes = append(c.Nodes[:leader:leader], c.Nodes[leader+1:]...)
		if _, _, err := awaitLeader(ctx, c, group, fence); err != nil {
			return measured, err
		}
		taken := time.Since(began)
		_ = histogram.RecordValue(taken.Microseconds())
		measured.SecondsSorted = insertSorted(measured.SecondsSorted, taken.Seconds())
		if _, err := c.AddNode(); err != nil {
			return measured, err
		}
		// The next round begins when the group has three live members again, in
		// an epoch of its own.
		whole = replica.FenceOf(replica.EpochOf(fence)+1, 0)
	}
	for i, millis := range quantiles(histogram) {
		measured.Seconds[i] = millis / 1000
	}
	return measured, nil
}

func insertSorted(sorted []float64, value float64) []float64 {
	at := len(sorted)
	for at > 0 && sorted[at-1] > value {
		at--
	}
	sorted = append(sorted, 0)
	copy(sorted[at+1:], sorted[at:])
	sorted[at] = value
	return sorted
}

// awaitLeader returns the node that leads a group under a fence above the given.
func awaitLeader(ctx context.Context, c *cluster.Cluster, group string, above engine.Fence) (int, engine.Fence, error) {
	waitCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for waitCtx.Err() == nil {
		for i, n := range c.Nodes {
			if fence := n.LedGroups()[group]; fence > above {
				return i, fence, nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, 0, result.New(result.Internal, "no leader of %s above fence %d within 30 s", group, above)
}
