// Package cell holds the work of a cell's leader: it queues requests, places
// them on engines, and keeps the engines in the state that the configuration
// asks for. State is the pure part; Service drives it with clock and network.
package cell

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// Machine is an engine as the machine list shows it.
type Machine struct {
	Name    string
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// PlaceRequest asks a cell's leader for an engine. It crosses the peer protocol.
type PlaceRequest struct {
	Cell    string            `json:"cell"`
	Attempt engine.Identifier `json:"attempt"`
	// Revision is the configuration that the gateway used. A leader with a lower
	// one catches up first.
	Revision     uint64        `json:"revision"`
	Tenant       string        `json:"tenant"`
	Kind         string        `json:"kind"`
	PromptTokens int           `json:"prompt_tokens"`
	OutputTokens int           `json:"output_tokens"`
	Prefix       []prefix.Hash `json:"prefix,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	// DeadlineMillis is the time left for the whole answer.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Excluded names engines that refused the request before.
	Excluded []string `json:"excluded,omitempty"`
	// Retry tells that the tenant was charged already.
	Retry bool `json:"retry,omitempty"`
	// AnyMember allows a group member without the lease to place the request.
	AnyMember bool `json:"any_member,omitempty"`
}

// ProgressType is a step in an attempt's life.
type ProgressType string

// The steps that gateways report to the leader.
const (
	// ProgressFirstToken says that the prompt has been read.
	ProgressFirstToken ProgressType = "first_token"
	// ProgressDone says that the attempt is over, however it ended.
	ProgressDone ProgressType = "done"
)

// Progress is one report. It crosses the peer protocol.
type Progress struct {
	Attempt engine.Identifier `json:"attempt"`
	Type    ProgressType      `json:"type"`
}

// ProgressBatch carries the reports of one gateway to one cell.
type ProgressBatch struct {
	Cell    string     `json:"cell"`
	Reports []Progress `json:"reports"`
}

// TicketValidity is how long after its receipt a ticket may be dispatched.
const TicketValidity = 2 * time.Second
