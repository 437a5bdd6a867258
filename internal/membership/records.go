// Package membership keeps each node's view of the other nodes and of which node
// leads which replica group. It follows SWIM (Das, Gupta and Motivala, DSN 2002):
// each node probes one other in each period, asks others to probe for it before
// it suspects, and spreads only changes, so that the traffic of a node does not
// grow with their number.
//
// Table is pure: time and randomness are arguments, and its driver does the
// probing. What it says about failures is a hint: nothing that must never happen
// twice depends on it.
package membership

import (
	"time"
)

// State is what is believed of a node.
type State string

// The states, in rising order of precedence within one generation.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

var statePrecedence = map[State]int{Alive: 0, Suspect: 1, Dead: 2}

// Node is the record of one process. A restarted process is a new incarnation
// with a later start.
type Node struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	// Started is the start of the process in Unix milliseconds. Of two
	// incarnations of one name, the later one holds.
	Started int64  `json:"s"`
	Address string `json:"a"`
	Zone    string `json:"z,omitempty"`
	// Generation is raised by the node itself, to refute a suspicion or to
	// spread a change.
	Generation uint64 `json:"g"`
	State      State  `json:"st"`
	// Leaving tells that the node is being stopped and takes no new work.
	Leaving bool `json:"l,omitempty"`
	// Serving tells that the node takes callers' requests.
	Serving bool `json:"v,omitempty"`
}

// newer reports whether update replaces known.
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

// Group is the record of a replica group's leadership.
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

// Update is one change that spreads.
type Update struct {
	Node  *Node  `json:"node,omitempty"`
	Group *Group `json:"group,omitempty"`
}

// Settings are the protocol's times. The defaults detect a dead node within
// about four periods.
type Settings struct {
	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is how long an answer may take before others are asked.
	ProbeTimeout time.Duration
	// SuspectFor is how long a suspicion may be refuted.
	SuspectFor time.Duration
	// ForgetAfter is how long a dead node is remembered.
	ForgetAfter time.Duration
	// IndirectProbes is the number of nodes asked to probe for us.
	IndirectProbes int
	// MaxUpdates is the most updates in one message, and BurstUpdates while more
	// than so many wait.
	MaxUpdates   int
	BurstUpdates int
}

// DefaultSettings returns the settings that nodes use.
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
