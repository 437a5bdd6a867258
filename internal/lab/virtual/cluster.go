// Package virtual runs replica groups in virtual time, over a network that
// delays, drops, repeats and reorders, with members that pause, are cut off and
// have clocks of different rates. A run is a function of its seed.
package virtual

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/replica"
)

// StateMachine is the state machine of a member.
type StateMachine interface {
	Apply(data []byte) any
	Snapshot() []byte
	Restore(data []byte) error
}

// Node is a member with its state machine and its own clock.
type Node struct {
	ID      replica.MemberID
	Member  *replica.Member
	Machine StateMachine
	Paused  bool
	Cut     bool

	// rate and offset make the member's clock from the true time.
	rate    float64
	offset  time.Duration
	waiting map[uint64]waiter
	applied [][]byte
}

type waiter struct {
	term uint64
	done func(result any, committed bool)
}

// Clock returns the member's time at a true time.
func (n *Node) Clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

type delayed struct {
	at      time.Duration
	message replica.Message
}

// Cluster is a group in virtual time.
type Cluster struct {
	Now   time.Duration
	Nodes []*Node
	// Loss is the share of messages that are lost, and that are repeated.
	Loss float64

	random  *rand.Rand
	network []delayed
	// history is the longest applied sequence; all others must be its prefixes.
	history [][]byte
}

// MemberCount is the number of members.
const MemberCount = 3

const (
	stepLength  = 10 * time.Millisecond
	longestTrip = 30 * time.Millisecond
)

// NewCluster returns a group whose clocks drift by half the margin. settingsOf
// may give members settings of their own; nil means the same for all.
func NewCluster(seed uint64, settings replica.Settings, machine func() StateMachine, settingsOf func(int) replica.Settings) *Cluster {
	c := &Cluster{random: rand.New(rand.NewPCG(seed, 1))}
	config := replica.Config{Group: "g", Epoch: 1}
	for i := range MemberCount {
		config.Members = append(config.Members, replica.MemberID(fmt.Sprint("m", i)))
	}
	drift := float64(settings.DriftMargin) / float64(settings.Lease) / 2
	for i, id := range config.Members {
		own := settings
		if settingsOf != nil {
			own = settingsOf(i)
		}
		n := &Node{
			ID: id, Machine: machine(), rate: 1 + drift*float64(i-1), offset: time.Duration(i) * time.Hour,
			waiting: map[uint64]waiter{},
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)+2))
		n.Member = replica.New(id, config, own, replica.State{}, n.Clock(0), random, n.snapshot)
		c.Nodes = append(c.Nodes, n)
		c.ProcessReady(n)
	}
	return c
}

// snapshot keeps the applied commands beside the machine's state, for the
// comparison of histories.
func (n *Node) snapshot() []byte {
	return append(append(bytes.Join(n.applied, []byte("\n")), 0), n.Machine.Snapshot()...)
}

func (n *Node) restore(data []byte) {
	n.applied = nil
	commands, state, _ := bytes.Cut(data, []byte{0})
	if len(commands) > 0 {
		n.applied = bytes.Split(commands, []byte("\n"))
	}
	if err := n.Machine.Restore(state); err != nil {
		panic(err) // the state was made by Snapshot
	}
}

// ProcessReady does what a member wants done.
func (c *Cluster) ProcessReady(n *Node) {
	ready := n.Member.Ready()
	if ready.Restore != nil {
		n.restore(ready.Restore.Data)
	}
	for _, entry := range ready.Entries {
		var result any
		if entry.Data != nil {
			n.applied = append(n.applied, entry.Data)
			result = n.Machine.Apply(entry.Data)
		}
		if w, exists := n.waiting[entry.Index]; exists {
			delete(n.waiting, entry.Index)
			w.done(result, w.term == entry.Term)
		}
	}
	n.Member.Compact()
	for _, message := range ready.Messages {
		c.post(message)
	}
}

func (c *Cluster) post(message replica.Message) {
	if c.random.Float64() < c.Loss {
		return
	}
	copies := 1
	if c.random.Float64() < c.Loss {
		copies = 2
	}
	for range copies {
		at := c.Now + time.Duration(c.random.Int64N(int64(longestTrip)))
		c.network = append(c.network, delayed{at, message})
	}
}

func (c *Cluster) node(id replica.MemberID) *Node {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Step lets a short time pass.
func (c *Cluster) Step() {
	c.Now += stepLength
	arrived := c.network
	c.network = nil
	var later []delayed
	for _, d := range arrived {
		from, to := c.node(d.message.From), c.node(d.message.To)
		switch {
		case d.at > c.Now || to.Paused:
			later = append(later, d)
		case from.Cut != to.Cut:
		default:
			to.Member.Step(to.Clock(c.Now), d.message)
			c.ProcessReady(to)
		}
	}
	c.network = append(c.network, later...)
	for _, n := range c.Nodes {
		if !n.Paused {
			n.Member.Tick(n.Clock(c.Now))
			c.ProcessReady(n)
		}
	}
}

// LeaseHolders returns the members whose lease holds now. A paused member counts too:
// it would look at its lease when it wakes, at this very time.
func (c *Cluster) LeaseHolders() []*Node {
	var holders []*Node
	for _, n := range c.Nodes {
		if _, active := n.Member.Fence(n.Clock(c.Now)); active {
			holders = append(holders, n)
		}
	}
	return holders
}

// Leader returns the only holder of a lease, nil when there is none.
func (c *Cluster) Leader() *Node {
	if holders := c.LeaseHolders(); len(holders) == 1 {
		return holders[0]
	}
	return nil
}

// Propose gives a command to the awake leader. done is called when its fate at
// that member is known. It reports false when there is no leader.
func (c *Cluster) Propose(data []byte, done func(result any, committed bool)) bool {
	for _, n := range c.Nodes {
		if n.Paused {
			continue
		}
		if index, term, ok := n.Member.Propose(n.Clock(c.Now), data); ok {
			n.waiting[index] = waiter{term, done}
			c.ProcessReady(n)
			return true
		}
	}
	return false
}

// Check returns a description of a broken guarantee, empty when all hold.
func (c *Cluster) Check() string {
	if holders := c.LeaseHolders(); len(holders) > 1 {
		return fmt.Sprintf("%s and %s hold the lease at the same time", holders[0].ID, holders[1].ID)
	}
	for _, n := range c.Nodes {
		for i, command := range n.applied[:min(len(n.applied), len(c.history))] {
			if !bytes.Equal(command, c.history[i]) {
				return fmt.Sprintf("%s applied %s as number %d, another member applied %s", n.ID, command, i, c.history[i])
			}
		}
		if len(n.applied) > len(c.history) {
			c.history = append([][]byte(nil), n.applied...)
		}
	}
	return ""
}

// Committed returns the number of commands that some member has applied.
func (c *Cluster) Committed() int { return len(c.history) }

// Applied returns the number of commands that a member has applied.
func (n *Node) Applied() int { return len(n.applied) }

// Run lets time pass, and returns the first broken guarantee.
func (c *Cluster) Run(length time.Duration) error {
	for end := c.Now + length; c.Now < end; {
		c.Step()
		if broken := c.Check(); broken != "" {
			return fmt.Errorf("at %v: %s", c.Now, broken)
		}
	}
	return nil
}

// Heal ends all failures.
func (c *Cluster) Heal() {
	for _, n := range c.Nodes {
		n.Paused, n.Cut = false, false
	}
	c.Loss = 0
}
