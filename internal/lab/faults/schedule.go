// Package faults runs each node in a process of its own, injects faults by a schedule drawn
// from a seed, and checks that what callers and engines saw violates no guarantee.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is a kind of fault.
type Action string

// The faults, with the names that traces show.
const (
	KillNode         Action = "kill node"
	PauseNode        Action = "pause node"
	StopNode         Action = "planned stop of node"
	TableDown        Action = "table down"
	TableSlow        Action = "table slow"
	TableLosesAnswer Action = "table loses answers"
	ObjectsDown      Action = "object store down"
	ListDown         Action = "machine list down"
	CrashEngine      Action = "crash engine"
	LoseOrderAnswers Action = "engine loses answers to orders"
	LoseAccepts      Action = "engine loses answers to requests"
	BreakStreams     Action = "engine breaks and crosses streams"
	EngineLeaves     Action = "engine is marked leaving"
	DrainEngine      Action = "operator drains engine"
	RaceOperators    Action = "operators race"
)

var actions = []Action{
	KillNode, KillNode, PauseNode, PauseNode, StopNode, TableDown, TableSlow, TableLosesAnswer, ObjectsDown, ListDown,
	CrashEngine, CrashEngine, LoseOrderAnswers, LoseAccepts, BreakStreams, EngineLeaves, DrainEngine, RaceOperators,
}

// Event is one fault of a schedule.
type Event struct {
	At     time.Duration
	Action Action
	// Target is the index of the node or engine. Actions that concern neither ignore it.
	Target int
	// Length is how long a fault lasts; faults without a duration ignore it.
	Length time.Duration
}

// String formats the event for a trace.
func (e Event) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %.2f s", e.At.Seconds(), e.Action, e.Target+1, e.Length.Seconds())
}

// NewSchedule draws count faults at random times within length. The schedule depends on its
// arguments only.
func NewSchedule(seed uint64, length time.Duration, count, nodes, engines int) []Event {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	schedule := make([]Event, 0, count)
	for range count {
		action := actions[random.IntN(len(actions))]
		targets := nodes
		switch action {
		case CrashEngine, LoseOrderAnswers, LoseAccepts, BreakStreams, EngineLeaves, DrainEngine:
			targets = engines
		}
		schedule = append(schedule, Event{
			At:     time.Duration(random.Int64N(int64(length))),
			Action: action,
			Target: random.IntN(targets),
			Length: 200*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
		})
	}
	slices.SortFunc(schedule, func(left, right Event) int { return int(left.At - right.At) })
	return schedule
}
