// Package virtual simulates a replica group in virtual time. The network delays, drops,
// duplicates and reorders messages; members can be paused or partitioned, and their clocks run
// at different rates. A run depends on its seed only.
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

// Node is a member with its state machine and its clock.
type Node struct {
	ID      replica.MemberID
	Member  *replica.Member
	Machine StateMachine
	Paused  bool
	// Cut puts the member on the other side of a network partition: messages pass
	// only between members with the same value.
	Cut bool

	// The member's clock shows offset + rate * true time.
	rate    float64
	offset  time.Duration
	waiting map[uint64]waiter
	applied [][]byte
}

type waiter struct {
	term uint64
	done func(result any, committed bool)
}

// Clock returns what the member's clock shows at the true time now.
func (n *Node) Clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

type delayedMessage struct {
	at      time.Duration
	message replica.Message
}

// Cluster is a replica group in virtual time.
type Cluster struct {
	Now   time.Duration
	Nodes []*Node
	// Loss is the probability that a message is dropped and, of those that are not, that a
	// message is delivered twice.
	Loss float64

	random  *rand.Rand
	network []delayedMessage
	// history is the longest sequence of commands that a member has applied; what the others
	// have applied must be a prefix of it.
	history [][]byte
}

// MemberCount is the number of members of a group.
const MemberCount = 3

const (
	stepLength      = 10 * time.Millisecond
	maxNetworkDelay = 30 * time.Millisecond
)

// NewCluster returns a group whose fastest and slowest clocks differ from true time by half the
// drift margin over one lease. settingsFor returns the settings of each member; nil gives all
// the same.
func NewCluster(seed uint64, settings replica.Settings, newMachine func() StateMachine, settingsFor func(int) replica.Settings) *Cluster {
	c := &Cluster{random: rand.New(rand.NewPCG(seed, 1))}
	config := replica.Config{Group: "g", Epoch: 1}
	for i := range MemberCount {
		config.Members = append(config.Members, replica.MemberID(fmt.Sprint("m", i)))
	}
	drift := float64(settings.DriftMargin) / float64(settings.Lease) / 2
	for i, id := range config.Members {
		own := settings
		if settingsFor != nil {
			own = settingsFor(i)
		}
		n := &Node{
			ID: id, Machine: newMachine(), rate: 1 + drift*float64(i-1), offset: time.Duration(i) * time.Hour,
			waiting: map[uint64]waiter{},
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)+2))
		n.Member = replica.New(id, config, own, replica.State{}, n.Clock(0), random, n.snapshot)
		c.Nodes = append(c.Nodes, n)
		c.ProcessReady(n)
	}
	return c
}

// snapshot returns the applied commands and the state machine's snapshot. The commands are
// included so that Check can still compare them after a member has restored a snapshot.
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
		panic(err) // the data comes from snapshot
	}
}

// ProcessReady carries out what the member asks for in its Ready: restores a snapshot, applies
// committed commands and sends messages.
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
		c.send(message)
	}
}

func (c *Cluster) send(message replica.Message) {
	if c.random.Float64() < c.Loss {
		return
	}
	copies := 1
	if c.random.Float64() < c.Loss {
		copies = 2
	}
	for range copies {
		at := c.Now + time.Duration(c.random.Int64N(int64(maxNetworkDelay)))
		c.network = append(c.network, delayedMessage{at, message})
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

// Step advances the time by stepLength, delivers the messages that are due and ticks the
// members.
func (c *Cluster) Step() {
	c.Now += stepLength
	arrived := c.network
	c.network = nil
	var later []delayedMessage
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

// LeaseHolders returns the members that hold an unexpired lease by their own clocks. Paused
// members count too: one that resumed now would check its lease at this time and go on as
// leader.
func (c *Cluster) LeaseHolders() []*Node {
	var holders []*Node
	for _, n := range c.Nodes {
		if _, active := n.Member.Fence(n.Clock(c.Now)); active {
			holders = append(holders, n)
		}
	}
	return holders
}

// Leader returns the member that holds the lease, or nil if there is none or more than one.
func (c *Cluster) Leader() *Node {
	if holders := c.LeaseHolders(); len(holders) == 1 {
		return holders[0]
	}
	return nil
}

// Propose proposes a command at the first running member that accepts it as leader. done is
// called with the result when that member has applied an entry at the command's index;
// committed tells whether that entry is the command. Propose reports false if no member accepts
// it.
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

// Check describes the first violated guarantee; it returns an empty string if all hold.
func (c *Cluster) Check() string {
	if holders := c.LeaseHolders(); len(holders) > 1 {
		return fmt.Sprintf("%s and %s hold the lease at the same time", holders[0].ID, holders[1].ID)
	}
	for _, n := range c.Nodes {
		for i, command := range n.applied[:min(len(n.applied), len(c.history))] {
			if !bytes.Equal(command, c.history[i]) {
				return fmt.Sprintf("%s applied %s at position %d, another member applied %s", n.ID, command, i, c.history[i])
			}
		}
		if len(n.applied) > len(c.history) {
			c.history = append([][]byte(nil), n.applied...)
		}
	}
	return ""
}

// Committed returns the largest number of commands that a member had applied at the last Check.
func (c *Cluster) Committed() int { return len(c.history) }

// Applied returns the number of commands that the member has applied.
func (n *Node) Applied() int { return len(n.applied) }

// Run advances the time by length. It stops at the first violated guarantee and returns it as
// an error.
func (c *Cluster) Run(length time.Duration) error {
	for end := c.Now + length; c.Now < end; {
		c.Step()
		if broken := c.Check(); broken != "" {
			return fmt.Errorf("at %v: %s", c.Now, broken)
		}
	}
	return nil
}

// Heal resumes paused members and ends the partition and the message loss.
func (c *Cluster) Heal() {
	for _, n := range c.Nodes {
		n.Paused, n.Cut = false, false
	}
	c.Loss = 0
}
