package replica_test

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/virtual"
	"github.com/tinarch/tinarch/internal/replica"
)

// counter is a state machine that stores nothing.
type counter struct{}

func (counter) Apply([]byte) any     { return nil }
func (counter) Snapshot() []byte     { return nil }
func (counter) Restore([]byte) error { return nil }

func newCluster(t *testing.T, seed uint64, settings replica.Settings) *virtual.Cluster {
	t.Helper()
	c := virtual.NewCluster(seed, settings, func() virtual.StateMachine { return counter{} }, nil)
	run(t, c, 3*time.Second)
	if c.Leader() == nil {
		t.Fatal("no leader within three seconds")
	}
	return c
}

func run(t *testing.T, c *virtual.Cluster, length time.Duration) {
	t.Helper()
	if err := c.Run(length); err != nil {
		t.Fatal(err)
	}
}

func propose(c *virtual.Cluster) bool { return c.Propose([]byte("command"), func(any, bool) {}) }

func fence(c *virtual.Cluster, n *virtual.Node) uint64 {
	held, _ := n.Member.Fence(n.Clock(c.Now))
	return uint64(held)
}

func TestLeaderCommitsAtAllMembers(t *testing.T) {
	c := newCluster(t, 1, replica.DefaultSettings())
	if !propose(c) {
		t.Fatal("the leader refused a command")
	}
	run(t, c, time.Second)
	for _, n := range c.Nodes {
		if n.Applied() != 1 {
			t.Errorf("%s applied %d commands, want 1", n.ID, n.Applied())
		}
	}
}

func TestPausedLeaderLosesItsLease(t *testing.T) {
	c := newCluster(t, 2, replica.DefaultSettings())
	old := c.Leader()
	before := fence(c, old)
	old.Paused = true
	run(t, c, 3*time.Second)
	next := c.Leader()
	if next == nil || next == old {
		t.Fatal("nobody took over from the paused leader")
	}
	if after := fence(c, next); after <= before {
		t.Errorf("the new leader's fence %d is not above %d", after, before)
	}
	old.Paused = false
	if _, _, ok := old.Member.Propose(old.Clock(c.Now), []byte("stale")); ok {
		t.Error("the former leader accepted a command after its pause")
	}
	run(t, c, time.Second)
}

// TestLeaderWithoutMajorityStepsDown guards against a leader that is cut off and goes on
// reporting itself as leader: then the members of its group were never replaced.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := newCluster(t, 6, replica.DefaultSettings())
	old := c.Leader()
	for _, n := range c.Nodes {
		n.Paused = n != old
	}
	run(t, c, 4*time.Second)
	if old.Member.IsLeader() || old.Member.Leader() != "" {
		t.Error("a member cut off from the others still calls itself the leader")
	}
}

func TestHandOverIsQuick(t *testing.T) {
	c := newCluster(t, 3, replica.DefaultSettings())
	old := c.Leader()
	if !old.Member.HandOver(old.Clock(c.Now)) {
		t.Fatal("no follower to transfer the leadership to")
	}
	c.ProcessReady(old)
	run(t, c, 300*time.Millisecond)
	if next := c.Leader(); next == nil || next == old {
		t.Error("no other member became leader within a few round trips")
	}
}

func TestLaggingFollowerGetsSnapshot(t *testing.T) {
	settings := replica.DefaultSettings()
	settings.MaxLog = 8
	c := newCluster(t, 4, settings)
	leader := c.Leader()
	lagging := c.Nodes[0]
	if lagging == leader {
		lagging = c.Nodes[1]
	}
	lagging.Cut = true
	for range 100 {
		propose(c)
		run(t, c, 20*time.Millisecond)
	}
	c.Heal()
	run(t, c, 3*time.Second)
	if c.Committed() != 100 || lagging.Applied() != c.Committed() {
		t.Errorf("the lagging follower has %d commands of %d", lagging.Applied(), c.Committed())
	}
}

func TestSealedMajorityKeepsWhatWasCommitted(t *testing.T) {
	c := newCluster(t, 5, replica.DefaultSettings())
	for range 20 {
		propose(c)
		run(t, c, 50*time.Millisecond)
	}
	committed := c.Committed()
	var best replica.State
	for _, n := range c.Nodes[:2] {
		state, _ := n.Member.Seal(n.Clock(c.Now))
		if state.Newer(best) {
			best = state
		}
	}
	if best.LastIndex() < uint64(committed) {
		t.Errorf("the sealed states end at %d, %d commands were committed", best.LastIndex(), committed)
	}
	run(t, c, 5*time.Second)
	if c.Leader() != nil || c.Committed() != committed {
		t.Error("the sealed epoch elected a leader or committed a command")
	}
}
