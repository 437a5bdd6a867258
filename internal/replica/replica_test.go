package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine is a state machine that keeps the list of its commands.
type machine struct{ commands [][]byte }

func (s *machine) snapshot() []byte { return bytes.Join(s.commands, []byte("\n")) }

func (s *machine) restore(data []byte) {
	s.commands = nil
	if len(data) > 0 {
		s.commands = bytes.Split(data, []byte("\n"))
	}
}

// node is a member with its state machine and its own clock.
type node struct {
	member  *Member
	machine *machine
	// rate and offset make the member's clock from the true time.
	rate   float64
	offset time.Duration
	paused bool
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

type delayed struct {
	at      time.Duration
	message Message
}

// cluster runs members over a network that delays, drops, repeats and reorders.
type cluster struct {
	now      time.Duration
	random   *rand.Rand
	nodes    map[MemberID]*node
	order    []MemberID
	network  []delayed
	cut      map[MemberID]bool
	loss     float64
	accepted int
	// history is the longest applied sequence; all others must be its prefixes.
	history [][]byte
}

const memberCount = 3

func newCluster(seed uint64, settings Settings) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), nodes: map[MemberID]*node{}, cut: map[MemberID]bool{}}
	config := Config{Group: "g", Epoch: 1}
	for i := range memberCount {
		config.Members = append(config.Members, MemberID(fmt.Sprint("m", i)))
	}
	drift := float64(settings.DriftMargin) / float64(settings.Lease) / 2
	for i, id := range config.Members {
		m := &machine{}
		n := &node{machine: m, rate: 1 + drift*float64(i-1), offset: time.Duration(i) * time.Hour}
		n.member = New(id, config, settings, State{}, n.clock(0), rand.New(rand.NewPCG(seed, uint64(i))), m.snapshot)
		c.nodes[id] = n
		c.order = append(c.order, id)
	}
	return c
}

// collect takes what a member wants done.
func (c *cluster) collect(n *node) {
	ready := n.member.Ready()
	if ready.Restore != nil {
		n.machine.restore(ready.Restore.Data)
	}
	for _, entry := range ready.Entries {
		if entry.Data != nil {
			n.machine.commands = append(n.machine.commands, entry.Data)
		}
	}
	n.member.Compact()
	for _, message := range ready.Messages {
		if c.random.Float64() < c.loss {
			continue
		}
		copies := 1
		if c.random.Float64() < c.loss {
			copies = 2
		}
		for range copies {
			at := c.now + time.Duration(c.random.Int64N(int64(30*time.Millisecond)))
			c.network = append(c.network, delayed{at, message})
		}
	}
}

// step lets a short time pass.
func (c *cluster) step() {
	c.now += 10 * time.Millisecond
	var later []delayed
	arrived := c.network
	c.network = nil
	for _, d := range arrived {
		target := c.nodes[d.message.To]
		switch {
		case d.at > c.now || target.paused:
			later = append(later, d)
		case c.cut[d.message.From] != c.cut[d.message.To]:
		default:
			target.member.Step(target.clock(c.now), d.message)
			c.collect(target)
		}
	}
	c.network = append(c.network, later...)
	for _, id := range c.order {
		n := c.nodes[id]
		if !n.paused {
			n.member.Tick(n.clock(c.now))
			c.collect(n)
		}
	}
}

// holders returns the members whose lease holds now. A paused member counts too:
// it would look at its lease when it wakes, at this very time.
func (c *cluster) holders() []MemberID {
	var holders []MemberID
	for _, id := range c.order {
		n := c.nodes[id]
		if _, active := n.member.Fence(n.clock(c.now)); active {
			holders = append(holders, id)
		}
	}
	return holders
}

func (c *cluster) propose() bool {
	for _, id := range c.order {
		n := c.nodes[id]
		if n.paused {
			continue
		}
		data := fmt.Appendf(nil, "command-%d", c.accepted)
		if _, _, ok := n.member.Propose(n.clock(c.now), data); ok {
			c.accepted++
			c.collect(n)
			return true
		}
	}
	return false
}

// check returns a description of a broken guarantee, empty when all hold.
func (c *cluster) check() string {
	if holders := c.holders(); len(holders) > 1 {
		return fmt.Sprintf("%v hold the lease at the same time", holders)
	}
	for _, id := range c.order {
		commands := c.nodes[id].machine.commands
		for i, command := range commands {
			if i < len(c.history) && !bytes.Equal(command, c.history[i]) {
				return fmt.Sprintf("%s applied %s as number %d, another member applied %s", id, command, i, c.history[i])
			}
		}
		if len(commands) > len(c.history) {
			c.history = append([][]byte(nil), commands...)
		}
	}
	return ""
}

func (c *cluster) run(t interface{ Fatalf(string, ...any) }, duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.step()
		if broken := c.check(); broken != "" {
			t.Fatalf("at %v: %s", c.now, broken)
		}
	}
}

func (c *cluster) leader() *node {
	if holders := c.holders(); len(holders) == 1 {
		return c.nodes[holders[0]]
	}
	return nil
}

func TestLeaderIsElectedAndCommits(t *testing.T) {
	c := newCluster(1, DefaultSettings())
	c.run(t, 3*time.Second)
	if !c.propose() {
		t.Fatal("no leader within three seconds")
	}
	c.run(t, time.Second)
	for _, id := range c.order {
		if got := len(c.nodes[id].machine.commands); got != 1 {
			t.Errorf("%s applied %d commands, want 1", id, got)
		}
	}
}

func TestPausedLeaderLosesItsLease(t *testing.T) {
	c := newCluster(2, DefaultSettings())
	c.run(t, 3*time.Second)
	old := c.leader()
	before, _ := old.member.Fence(old.clock(c.now))
	old.paused = true
	c.run(t, 3*time.Second)
	next := c.leader()
	if next == nil || next == old {
		t.Fatal("nobody took over from the paused leader")
	}
	if after, _ := next.member.Fence(next.clock(c.now)); after <= before {
		t.Errorf("fence %d after %d", after, before)
	}
	old.paused = false
	if _, _, ok := old.member.Propose(old.clock(c.now), []byte("stale")); ok {
		t.Error("the woken leader accepted a command")
	}
	c.run(t, time.Second)
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := newCluster(6, DefaultSettings())
	c.run(t, 3*time.Second)
	old := c.leader()
	for _, id := range c.order {
		c.nodes[id].paused = c.nodes[id] != old
	}
	c.run(t, 4*time.Second)
	if old.member.IsLeader() || old.member.Leader() != "" {
		t.Error("a member cut off from the others still calls itself the leader")
	}
}

func TestHandOverIsQuick(t *testing.T) {
	c := newCluster(3, DefaultSettings())
	c.run(t, 3*time.Second)
	old := c.leader()
	if !old.member.HandOver(old.clock(c.now)) {
		t.Fatal("no follower to hand over to")
	}
	c.collect(old)
	c.run(t, 300*time.Millisecond)
	if next := c.leader(); next == nil || next == old {
		t.Error("the lease was not taken over within a few round trips")
	}
}

func TestLaggingFollowerGetsSnapshot(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxLog = 8
	c := newCluster(4, settings)
	c.run(t, 3*time.Second)
	leader := c.leader()
	var lagging *node
	for _, id := range c.order {
		if c.nodes[id] != leader {
			lagging = c.nodes[id]
			c.cut[id] = true
			break
		}
	}
	for range 100 {
		c.propose()
		c.run(t, 20*time.Millisecond)
	}
	c.cut = map[MemberID]bool{}
	c.run(t, 3*time.Second)
	if got := len(lagging.machine.commands); got != c.accepted {
		t.Errorf("the lagging follower has %d commands of %d", got, c.accepted)
	}
}

func TestSealedMajorityKeepsWhatWasCommitted(t *testing.T) {
	c := newCluster(5, DefaultSettings())
	c.run(t, 3*time.Second)
	for range 20 {
		c.propose()
		c.run(t, 50*time.Millisecond)
	}
	committed := len(c.history)
	var best State
	for _, id := range c.order[:2] {
		n := c.nodes[id]
		state, _ := n.member.Seal(n.clock(c.now))
		if state.Newer(best) {
			best = state
		}
	}
	if best.LastIndex() < uint64(committed) {
		t.Errorf("the sealed states end at %d, %d commands were committed", best.LastIndex(), committed)
	}
	c.run(t, 5*time.Second)
	if c.leader() != nil || len(c.history) != committed {
		t.Error("the sealed epoch went on")
	}
}

// TestGuaranteesUnderFaults meets random pauses, partitions, losses and
// repetitions.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxLog = 16
		c := newCluster(rapid.Uint64().Draw(t, "seed"), settings)
		c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			id := c.order[rapid.IntRange(0, memberCount-1).Draw(t, "member")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				c.nodes[id].paused = !c.nodes[id].paused
			case 1:
				c.cut[id] = !c.cut[id]
			case 2:
				n := c.nodes[id]
				n.member.HandOver(n.clock(c.now))
				c.collect(n)
			default:
				c.propose()
			}
			c.run(t, time.Duration(rapid.IntRange(10, 1500).Draw(t, "milliseconds"))*time.Millisecond)
		}
		for _, n := range c.nodes {
			n.paused = false
		}
		c.cut = map[MemberID]bool{}
		c.loss = 0
		c.run(t, 10*time.Second)
		if !c.propose() {
			t.Fatalf("the group did not recover")
		}
		c.run(t, time.Second)
		for _, id := range c.order {
			if !bytes.Equal(c.nodes[id].machine.snapshot(), bytes.Join(c.history, []byte("\n"))) {
				t.Fatalf("%s does not agree after recovery", id)
			}
		}
	})
}
