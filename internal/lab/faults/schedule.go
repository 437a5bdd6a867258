// Package faults runs nodes as processes of their own under seeded schedules of
// failures, and checks what callers and engines saw against what must always hold.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is a sort of failure.
type Action string

// The failures.
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

// Event is one failure of a schedule.
type Event struct {
	At     time.Duration
	Action Action
	// Target is the number of the node or engine.
	Target int
	// Length is how long the failure lasts, where it lasts.
	Length time.Duration
}

// String renders the event for a trace.
func (e Event) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %.2f s", e.At.Seconds(), e.Action, e.Target+1, e.Length.Seconds())
}

// NewSchedule draws the failures of a seed over a time.
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
