// Package scale measures how the costs of a node grow with the number of nodes. All nodes run
// in one process, serve no callers and share a throttled table.
package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"connectrpc.com/connect"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/result"
)

// NodeCosts holds the costs of nodes that serve no callers.
type NodeCosts struct {
	Count int `json:"nodes"`
	// ProcessorPercent is the CPU time of a node in percent of one core.
	ProcessorPercent float64 `json:"processor_percent_per_node"`
	SentBytes        float64 `json:"sent_bytes_per_second_per_node"`
	ReceivedBytes    float64 `json:"received_bytes_per_second_per_node"`
	MemoryMegabytes  float64 `json:"heap_mb_per_node"`
	TableRequests    float64 `json:"table_requests_per_second"`
	// Rollouts are the times in seconds until a revision was in force at all nodes that were
	// not restarted.
	Rollouts []float64 `json:"rollout_seconds"`
	// Restarted is the number of nodes that were replaced during the rollouts.
	Restarted int `json:"restarted"`
}

const (
	tableRequestsPerSecond = 10
	startBatchSize         = 20
	idleTime               = 12 * time.Second
	settleTimePerNode      = 150 * time.Millisecond
	rolloutCount           = 5
	joinTimeout            = 4 * time.Minute
	nodesPerRestart        = 10
	maxApplyAttempts       = 5
	rolloutTimeout         = 30 * time.Second
	replacementWindow      = 20 * time.Second
)

// MeasureNodeCosts starts count nodes and measures their costs while they are idle. Then it
// applies revisions and measures how long they take to reach all nodes while one node in ten is
// replaced.
func MeasureNodeCosts(ctx context.Context, count int, show func(string)) (NodeCosts, error) {
	c, err := cluster.Start(cluster.Options{Name: "scale", Zones: zones(19), LedgerGroups: max(1, count/24)})
	if err != nil {
		return NodeCosts{}, err
	}
	defer c.Close()
	if err := join(ctx, c, count); err != nil {
		return NodeCosts{}, err
	}
	show(fmt.Sprintf("%d nodes know each other", count))
	c.Table.SetFaults(platform.Faults{RequestsPerSecond: tableRequestsPerSecond})
	measured := NodeCosts{Count: count}
	if err := applyOnce(ctx, c, 0); err != nil {
		return measured, err
	}
	// News of the joins goes on spreading for a while after all nodes are known.
	sleep(ctx, 5*time.Second+time.Duration(count)*settleTimePerNode)
	measureIdle(ctx, c, &measured)
	show(fmt.Sprintf("idle: %.2f %% of a core, %.0f B/s sent, %.1f MB a node", measured.ProcessorPercent, measured.SentBytes, measured.MemoryMegabytes))
	return measured, measureRollouts(ctx, c, &measured)
}

func zones(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%02d", i+1)
	}
	return names
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// join starts the nodes and waits until each node knows all others.
func join(ctx context.Context, c *cluster.Cluster, count int) error {
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for i := range count {
		if _, err := c.AddNode(); err != nil {
			return err
		}
		if i%startBatchSize == 0 {
			sleep(joinCtx, 200*time.Millisecond)
		}
	}
	return c.Await(joinCtx, "all nodes to know each other", func() bool {
		sleep(joinCtx, 500*time.Millisecond)
		return c.CaughtUp()
	})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func traffic(c *cluster.Cluster) (sent, received int64) {
	for _, n := range c.Nodes {
		sent += n.PeerCounters().BytesSent.Load()
		received += n.PeerCounters().BytesReceived.Load()
	}
	return sent, received
}

func measureIdle(ctx context.Context, c *cluster.Cluster, measured *NodeCosts) {
	usedBefore := processorTime()
	sentBefore, receivedBefore := traffic(c)
	tableBefore := c.Table.Requests()
	began := time.Now()
	sleep(ctx, idleTime)
	seconds, count := time.Since(began).Seconds(), float64(measured.Count)
	sent, received := traffic(c)
	measured.ProcessorPercent = 100 * (processorTime() - usedBefore).Seconds() / seconds / count
	measured.SentBytes = float64(sent-sentBefore) / seconds / count
	measured.ReceivedBytes = float64(received-receivedBefore) / seconds / count
	measured.TableRequests = float64(c.Table.Requests()-tableBefore) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	measured.MemoryMegabytes = float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / count
}

// measureRollouts times the rollouts of several revisions while nodes are replaced.
func measureRollouts(ctx context.Context, c *cluster.Cluster, measured *NodeCosts) error {
	replaced := make(chan error, 1)
	kept := slices.Clone(c.Nodes)
	replacedCount := len(c.Nodes) / nodesPerRestart
	go func() { replaced <- replaceNodes(ctx, c, replacedCount) }()
	kept = kept[replacedCount:]
	for number := 1; number <= rolloutCount; number++ {
		seconds, err := timeRollout(ctx, c, number, func() bool {
			revision := c.Nodes[len(c.Nodes)-1].Revision()
			for _, n := range kept {
				if n.Revision() < max(revision, uint64(number+1)) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		measured.Rollouts = append(measured.Rollouts, seconds)
		sleep(ctx, replacementWindow/rolloutCount)
	}
	measured.Restarted = replacedCount
	return <-replaced
}

// replaceNodes stops the first nodes, one after the other, and starts a node of a new name in
// place of each.
func replaceNodes(ctx context.Context, c *cluster.Cluster, count int) error {
	if count == 0 {
		return nil
	}
	pause := replacementWindow / time.Duration(count)
	for i := range count {
		c.Nodes[i].Close()
		replacement, err := c.StartNode(fmt.Sprintf("replacement-%d", i), "zone-01")
		if err != nil {
			return err
		}
		c.Nodes[i] = replacement
		sleep(ctx, pause)
	}
	return nil
}

func timeRollout(ctx context.Context, c *cluster.Cluster, number int, everywhere func() bool) (float64, error) {
	began := time.Now()
	if err := applyOnce(ctx, c, number); err != nil {
		return 0, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	err := c.Await(waitCtx, "the revision to be in force at all nodes", everywhere)
	return time.Since(began).Seconds(), err
}

// applyOnce applies a change of one tenant at the last node.
func applyOnce(ctx context.Context, c *cluster.Cluster, number int) error {
	last := c.Nodes[len(c.Nodes)-1]
	request := &tinarchv1.ApplyRequest{
		ExpectedRevision: last.Revision(), OperationId: string(engine.NewIdentifier()),
		Put: &tinarchv1.Catalog{
			Classes: []*tinarchv1.PriorityClass{{Name: "class", Weight: 1}},
			Tenants: []*tinarchv1.Tenant{{Name: fmt.Sprint("tenant-", number), PriorityClass: "class", KeySha256: []string{catalog.KeyDigest(fmt.Sprint(number))}}},
		},
	}
	var err error
	for range maxApplyAttempts {
		// The throttled table may refuse the write. The retry has the same operation ID, as an
		// operator's would, so that the change is applied once.
		if _, err = c.Catalog(last).Apply(ctx, connect.NewRequest(request)); err == nil {
			return nil
		}
	}
	return result.Wrap(err, result.Internal, "applying revision %d", number)
}
