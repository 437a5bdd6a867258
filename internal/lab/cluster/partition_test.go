package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
)

const testCell = "cell/pool/0"

// leaderOf returns the index of the node that leads a group, or -1.
func leaderOf(c *Cluster, group string) int {
	for i, n := range c.Nodes {
		if _, leads := n.LedGroups()[group]; leads {
			return i
		}
	}
	return -1
}

// TestPartitionedLeader cuts the network between the leader of the cell and the other nodes, in
// one direction or in both, while callers send keyed and repeatable requests to all nodes.
func TestPartitionedLeader(t *testing.T) {
	cases := []struct {
		name string
		cut  func(n *Network, leader, other string)
	}{
		{"both ways", func(n *Network, leader, other string) { n.Cut(leader, other); n.Cut(other, leader) }},
		{"leader can't send", func(n *Network, leader, other string) { n.Cut(leader, other) }},
		{"leader can't hear", func(n *Network, leader, other string) { n.Cut(other, leader) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c, ctx := start(t, 3, 3)
			leader := leaderOf(c, testCell)
			if leader < 0 {
				t.Fatal("nobody leads the cell")
			}
			before := c.Nodes[leader].LedGroups()[testCell]
			for i, n := range c.Nodes {
				if i != leader {
					test.cut(c.Network, c.Nodes[leader].Name(), n.Name())
				}
			}
			sendKeyed(ctx, t, c, "cut")
			for i, n := range c.Nodes {
				if i == leader {
					continue
				}
				if _, err := caller(c, i).Chat.Completions.New(ctx, chat("repeatable by "+n.Name(), 5)); err != nil {
					t.Errorf("a repeatable request at %s while the leader is cut off: %v", n.Name(), err)
				}
			}
			if err := c.Await(ctx, "a leader on the other side", func() bool {
				now := leaderOf(c, testCell)
				return now >= 0 && now != leader && c.Nodes[now].LedGroups()[testCell] > before
			}); err != nil {
				t.Fatal(err)
			}
			c.Network.Heal()
			sendKeyed(ctx, t, c, "healed")
			checkEngines(t, c)
		})
	}
}

// sendKeyed sends a request with each key to all nodes at once. While the network is cut some
// may be refused, but none may run twice or get an answer to another request.
func sendKeyed(ctx context.Context, t *testing.T, c *Cluster, prefix string) {
	t.Helper()
	var group sync.WaitGroup
	for number := range 6 {
		for i := range c.Nodes {
			group.Add(1)
			go func() {
				defer group.Done()
				prompt := fmt.Sprintf("%s %d", prefix, number)
				options := append(verdict(prompt), option.WithRequestTimeout(3*time.Second))
				answer, err := caller(c, i).Chat.Completions.New(ctx, chat(prompt, 20), options...)
				if err == nil && answer.Choices[0].Message.Content != expected(prompt, 20) {
					t.Errorf("node %d gave %q to %q", i, answer.Choices[0].Message.Content, prompt)
				}
			}()
		}
	}
	group.Wait()
}

func checkEngines(t *testing.T, c *Cluster) {
	t.Helper()
	for seed, runs := range c.Runs() {
		if runs > 1 {
			t.Errorf("an answer with seed %x ran %d times", seed, runs)
		}
	}
	if counters := c.Counters(); counters.UnfencedOrders+counters.UnclaimedOrders > 0 {
		t.Errorf("orders without authority took effect: %+v", counters)
	}
}
