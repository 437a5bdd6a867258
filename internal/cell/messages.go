// Package cell implements the scheduler of a cell, a group of engines of one pool. Its leader
// queues requests, places them on engines, and brings the engines into the state that the
// configuration asks for. State makes the decisions and does no I/O; Service connects it to the
// clock and the network.
package cell

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// Machine is an engine as it appears in the machine list.
type Machine struct {
	Name    string
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// PlaceRequest asks a cell's leader to place a request on an engine. It is sent over the peer
// protocol.
type PlaceRequest struct {
	Cell    string            `json:"cell"`
	Attempt engine.Identifier `json:"attempt"`
	// Revision is the configuration revision that the gateway used. A leader whose revision is
	// lower waits for that one first.
	Revision     uint64        `json:"revision"`
	Tenant       string        `json:"tenant"`
	Kind         string        `json:"kind"`
	PromptTokens int           `json:"prompt_tokens"`
	OutputTokens int           `json:"output_tokens"`
	Prefix       []prefix.Hash `json:"prefix,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	// DeadlineMillis is the time left until the whole answer must have been given.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Excluded names the engines that have already refused the request.
	Excluded []string `json:"excluded,omitempty"`
	// Retry is set when the tenant has already been charged, by an earlier attempt.
	Retry bool `json:"retry,omitempty"`
	// AnyMember allows a group member that doesn't hold the lease to place the request.
	AnyMember bool `json:"any_member,omitempty"`
}

// ProgressType is an event in the course of an attempt.
type ProgressType string

// Events that gateways report to the node that placed the attempt.
const (
	// ProgressFirstToken means that the prompt has been prefilled.
	ProgressFirstToken ProgressType = "first_token"
	// ProgressDone means that the attempt has ended, with or without an answer.
	ProgressDone ProgressType = "done"
)

// Progress is one progress report. It is sent over the peer protocol.
type Progress struct {
	Attempt engine.Identifier `json:"attempt"`
	Type    ProgressType      `json:"type"`
}

// ProgressBatch carries the reports of one gateway to one cell.
type ProgressBatch struct {
	Cell    string     `json:"cell"`
	Reports []Progress `json:"reports"`
}

// TicketValidity is how long after it was received a ticket may be dispatched.
const TicketValidity = 2 * time.Second
