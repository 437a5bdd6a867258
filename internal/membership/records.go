// Package membership keeps each node's view of the other nodes, and of which node leads which
// replica group. It implements SWIM (Das, Gupta and Motivala, DSN 2002): in each period a node
// probes one other node, and asks others to probe it before it suspects it. Messages carry
// changes only, so the traffic of a node doesn't grow with the number of nodes.
//
// Table does no I/O and reads no clock; its Driver does the probing. What it says about
// failures is a hint: nothing that must never happen twice may depend on it.
package membership

import (
	"time"
)

// State is what a node believes about another.
type State string

// States of a node, in rising order of precedence within one generation.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

var statePrecedence = map[State]int{Alive: 0, Suspect: 1, Dead: 2}

// Node describes one process of a node. After a restart, the process is a new incarnation with
// a later start time.
type Node struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	// Started is the start time of the process in Unix milliseconds. Of two incarnations with
	// the same name, the one that started later is valid.
	Started int64  `json:"s"`
	Address string `json:"a"`
	Zone    string `json:"z,omitempty"`
	// Generation is increased only by the node itself, to refute a suspicion or to announce a
	// change.
	Generation uint64 `json:"g"`
	State      State  `json:"st"`
	// Leaving means that the node is stopping and takes no new work.
	Leaving bool `json:"l,omitempty"`
	// Serving means that the node takes callers' requests.
	Serving bool `json:"v,omitempty"`
}

// newer reports whether update supersedes known.
func newer(update, known Node) bool {
	if update.Started != known.Started {
		return update.Started > known.Started
	}
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	if update.Generation != known.Generation {
		return update.Generation > known.Generation
	}
	return statePrecedence[update.State] > statePrecedence[known.State]
}

// Group describes which node leads a replica group.
type Group struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"e"`
	Term  uint64 `json:"t"`
	// Members are the names of the members' nodes.
	Members []string `json:"m"`
	// Leader is the name of the leader's node, empty while there is none.
	Leader string `json:"l,omitempty"`
}

func (g Group) newer(than Group) bool {
	if g.Epoch != than.Epoch {
		return g.Epoch > than.Epoch
	}
	if g.Term != than.Term {
		return g.Term > than.Term
	}
	return g.Leader != "" && than.Leader == ""
}

// Update is a changed record that nodes pass on to each other: either of a node or of a group.
type Update struct {
	Node  *Node  `json:"node,omitempty"`
	Group *Group `json:"group,omitempty"`
}

// Settings are the protocol's parameters. With the defaults, a dead node is detected within
// about four periods.
type Settings struct {
	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is how long an answer to a probe may take before other nodes are asked to
	// probe.
	ProbeTimeout time.Duration
	// SuspectFor is how long a suspected node has to refute the suspicion before it is
	// considered dead.
	SuspectFor time.Duration
	// ForgetAfter is how long a dead node is remembered.
	ForgetAfter time.Duration
	// IndirectProbes is the number of nodes that are asked to probe a node that did not answer.
	IndirectProbes int
	// MaxUpdates is the maximum number of updates in one message. While more than BurstUpdates
	// updates are queued, messages carry BurstUpdates of them.
	MaxUpdates   int
	BurstUpdates int
}

// DefaultSettings returns the settings of production nodes.
func DefaultSettings() Settings {
	return Settings{
		Period:         time.Second,
		ProbeTimeout:   400 * time.Millisecond,
		SuspectFor:     3 * time.Second,
		ForgetAfter:    10 * time.Minute,
		IndirectProbes: 3,
		MaxUpdates:     12,
		BurstUpdates:   64,
	}
}
