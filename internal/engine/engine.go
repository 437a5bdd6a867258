// Package engine defines how nodes talk to engines: an OpenAI-compatible HTTP
// interface for requests, and /engine/v1/ for orders, load and streams.
package engine

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/tinarch/tinarch/internal/prefix"
)

// Identifier is a random 128-bit value in hexadecimal: a process incarnation,
// an attempt or an order.
type Identifier string

// NewIdentifier returns a random identifier.
func NewIdentifier() Identifier {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	return Identifier(hex.EncodeToString(raw[:]))
}

// Role is the sort of work that an engine does.
type Role string

// The roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Fence is a leader's authority as one rising number: an order with a lower
// fence than the highest that an engine has seen has no effect.
type Fence uint64

// Deployment is what an engine serves.
type Deployment struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Role     Role     `json:"role"`
	Adapters []string `json:"adapters,omitempty"`
}

// HasAdapter reports whether the adapter is loaded. The empty name is no
// adapter and always there.
func (d Deployment) HasAdapter(name string) bool {
	if name == "" {
		return true
	}
	for _, loaded := range d.Adapters {
		if loaded == name {
			return true
		}
	}
	return false
}

// Serves reports whether both serve the same model version in the same role.
func (d Deployment) Serves(other Deployment) bool {
	return d.Model == other.Model && d.Version == other.Version && d.Role == other.Role
}

// Ticket permits one attempt on one incarnation of one engine. The engine
// refuses a ticket that does not match its own state; such a refusal proves
// that the attempt did not run.
type Ticket struct {
	Attempt     Identifier `json:"attempt"`
	Engine      string     `json:"engine"`
	Address     string     `json:"address"`
	Incarnation Identifier `json:"incarnation"`
	Model       string     `json:"model"`
	Version     string     `json:"version"`
	Adapter     string     `json:"adapter,omitempty"`
	Role        Role       `json:"role"`
	Fence       Fence      `json:"fence"`
	// Priority is the rank of the request's class.
	Priority int32 `json:"priority"`
	// ValidMillis is how long after its receipt the ticket may be dispatched.
	ValidMillis int64 `json:"valid_ms"`
}

// Headers of a request to an engine that carry its ticket.
const (
	HeaderAttempt     = "Tinarch-Attempt"
	HeaderIncarnation = "Tinarch-Engine-Incarnation"
	HeaderModel       = "Tinarch-Model"
	HeaderVersion     = "Tinarch-Model-Version"
	HeaderAdapter     = "Tinarch-Adapter"
	HeaderRole        = "Tinarch-Role"
	HeaderPriority    = "Tinarch-Priority"
	// HeaderCode carries the number of the result code on a refusal.
	HeaderCode = "Tinarch-Code"
)

// OrderType is the sort of an order.
type OrderType string

// The orders.
const (
	// OrderClaim raises the engine's fence and changes nothing else.
	OrderClaim OrderType = "claim"
	// OrderDeploy loads a model version with adapters and takes a role.
	OrderDeploy OrderType = "deploy"
	// OrderDrain makes the engine refuse new attempts.
	OrderDrain OrderType = "drain"
	// OrderUndrain makes the engine accept attempts again.
	OrderUndrain OrderType = "undrain"
)

// Order is a fenced instruction to one incarnation of an engine.
type Order struct {
	ID    Identifier `json:"id"`
	Type  OrderType  `json:"type"`
	Fence Fence      `json:"fence"`
	// Sequence rises with each order of one fence to one engine. The engine
	// refuses an order that is not newer than the last by (fence, sequence), so
	// that a copy which was delayed on the way can't undo a later order. The
	// same order again is answered as before.
	Sequence    uint64     `json:"sequence"`
	Incarnation Identifier `json:"incarnation"`
	// Target is what a deploy order asks for.
	Target *Deployment `json:"target,omitempty"`
	// SizeBytes is the size of the weights that a deploy order loads.
	SizeBytes uint64 `json:"size_bytes,omitempty"`
}

// Status is an engine's report of itself. Load lags behind; the other fields
// are current.
type Status struct {
	Incarnation Identifier `json:"incarnation"`
	Deployment  Deployment `json:"deployment"`
	Draining    bool       `json:"draining"`
	// Fence is the highest fence seen in this incarnation.
	Fence Fence `json:"fence"`
	// Changing is the order in progress, empty when there is none.
	Changing Identifier `json:"changing,omitempty"`
	// LastOrder is the last order that took effect.
	LastOrder Identifier `json:"last_order,omitempty"`
	// Running counts the attempts accepted and not finished. It is current.
	Running int  `json:"running"`
	Load    Load `json:"load"`
}

// Load is an engine's load report, measured some time ago.
type Load struct {
	AgeMillis int64 `json:"age_ms"`
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	// PendingPromptTokens counts prompt tokens accepted and not yet read.
	PendingPromptTokens int64 `json:"pending_prompt_tokens"`
	MemoryUsedTokens    int64 `json:"memory_used_tokens"`
	MemoryTotalTokens   int64 `json:"memory_total_tokens"`
	// PrefillTokensPerSecond is the speed of reading prompts.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// DecodeStepMillis is the length of an iteration that reads no prompt, and
	// MixedStepMillis of one that reads as much of prompts as it may.
	DecodeStepMillis float64 `json:"decode_step_ms"`
	MixedStepMillis  float64 `json:"mixed_step_ms"`
}

// CacheEventType tells whether a block entered or left the prefix cache.
type CacheEventType string

// The cache events.
const (
	CacheStored  CacheEventType = "stored"
	CacheRemoved CacheEventType = "removed"
)

// CacheEvent reports a change of an engine's prefix cache. Sequence numbers
// rise by one; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Type     CacheEventType `json:"type"`
	Block    prefix.Hash    `json:"block"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Incarnation Identifier   `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Next is the sequence number to ask for next.
	Next uint64 `json:"next"`
}

// AttemptRetention is how long an engine remembers the attempts that it has accepted,
// beyond the life of their streams. Attempts that it was told to refuse it
// remembers as long as its incarnation lasts.
const AttemptRetention = time.Hour

// CancelReply answers the cancellation of an attempt. The engine remembers the
// attempt and refuses it from then on.
type CancelReply struct {
	Incarnation Identifier `json:"incarnation"`
	// Seen tells whether the attempt had been accepted before.
	Seen bool `json:"seen"`
}

// KVExport is the cached prompt of one attempt, as moved between engines.
type KVExport struct {
	Incarnation Identifier    `json:"incarnation"`
	Seed        string        `json:"seed"`
	Blocks      []prefix.Hash `json:"blocks"`
	// SizeBytes is the amount of memory that the blocks stand for.
	SizeBytes uint64 `json:"size_bytes"`
}
