// Package engine defines the protocol between nodes and engines: an OpenAI-compatible HTTP API
// for completions, and /engine/v1/ for orders, status, streams, cache events and KV cache
// transfer.
package engine

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/tinarch/tinarch/internal/prefix"
)

// Identifier is a random 128-bit value in hexadecimal. It identifies an incarnation of an
// engine process, an attempt or an order.
type Identifier string

// NewIdentifier returns a random identifier.
func NewIdentifier() Identifier {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	return Identifier(hex.EncodeToString(raw[:]))
}

// Role says which phases of inference an engine runs: prefill, decode, or both.
type Role string

// The roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Fence is a leader's fencing token. It is higher for each new leader, and engines refuse
// orders whose token is lower than the highest that they have seen.
type Fence uint64

// Deployment is the model version that an engine serves, with its role and adapters.
type Deployment struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Role     Role     `json:"role"`
	Adapters []string `json:"adapters,omitempty"`
}

// HasAdapter reports whether the adapter is loaded. The empty name stands for no adapter, for
// which the answer is always true.
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

// Serves reports whether d and other have the same model version and role. Adapters are not
// compared.
func (d Deployment) Serves(other Deployment) bool {
	return d.Model == other.Model && d.Version == other.Version && d.Role == other.Role
}

// Ticket permits one attempt of a request on one incarnation of one engine. An engine refuses a
// ticket that does not match its current state; such a refusal proves that the attempt did not
// run.
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
	// Priority is the rank of the request's priority class.
	Priority int32 `json:"priority"`
	// ValidMillis is the time within which the receiver of the ticket may send the request.
	ValidMillis int64 `json:"valid_ms"`
}

// Headers by which a request to an engine carries its ticket.
const (
	HeaderAttempt     = "Tinarch-Attempt"
	HeaderIncarnation = "Tinarch-Engine-Incarnation"
	HeaderModel       = "Tinarch-Model"
	HeaderVersion     = "Tinarch-Model-Version"
	HeaderAdapter     = "Tinarch-Adapter"
	HeaderRole        = "Tinarch-Role"
	HeaderPriority    = "Tinarch-Priority"
	// HeaderCode carries the numeric result code when the engine refuses the request.
	HeaderCode = "Tinarch-Code"
)

// OrderType says what an order asks for.
type OrderType string

// The order types.
const (
	// OrderClaim raises the fencing token that the engine has seen, and changes nothing else.
	OrderClaim OrderType = "claim"
	// OrderDeploy makes the engine load a model version with adapters and take a role.
	OrderDeploy OrderType = "deploy"
	// OrderDrain makes the engine refuse new attempts.
	OrderDrain OrderType = "drain"
	// OrderUndrain makes the engine accept attempts again.
	OrderUndrain OrderType = "undrain"
)

// Order is an instruction to one incarnation of an engine, protected by a fencing token.
type Order struct {
	ID    Identifier `json:"id"`
	Type  OrderType  `json:"type"`
	Fence Fence      `json:"fence"`
	// Sequence rises with each order that a leader sends to an engine. The engine refuses an
	// order unless its (fence, sequence) is higher than that of the last one, so that a copy of
	// an order that was delayed in the network can't undo a later order. A repetition of the
	// last order is answered as it was the first time.
	Sequence    uint64     `json:"sequence"`
	Incarnation Identifier `json:"incarnation"`
	// Target is the deployment that an OrderDeploy asks for.
	Target *Deployment `json:"target,omitempty"`
	// SizeBytes is the size of the weights that an OrderDeploy loads.
	SizeBytes uint64 `json:"size_bytes,omitempty"`
}

// Status is what an engine reports of itself. Load was measured some time before the report;
// the other fields are current.
type Status struct {
	Incarnation Identifier `json:"incarnation"`
	Deployment  Deployment `json:"deployment"`
	Draining    bool       `json:"draining"`
	// Fence is the highest fencing token that this incarnation has seen.
	Fence Fence `json:"fence"`
	// Changing is the order in progress, empty if there is none.
	Changing Identifier `json:"changing,omitempty"`
	// LastOrder is the last order that took effect.
	LastOrder Identifier `json:"last_order,omitempty"`
	// Running counts the attempts that were accepted and have not finished.
	Running int  `json:"running"`
	Load    Load `json:"load"`
}

// Load is an engine's load report, measured AgeMillis before it was sent.
type Load struct {
	AgeMillis int64 `json:"age_ms"`
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	// PendingPromptTokens counts the accepted prompt tokens whose prefill is not done. The two
	// memory fields are the used and the total size of the KV cache, in tokens.
	PendingPromptTokens int64 `json:"pending_prompt_tokens"`
	MemoryUsedTokens    int64 `json:"memory_used_tokens"`
	MemoryTotalTokens   int64 `json:"memory_total_tokens"`
	// PrefillTokensPerSecond is the prefill throughput.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// DecodeStepMillis is the duration of an iteration of the batch that only decodes, and
	// MixedStepMillis that of one that also prefills as many prompt tokens as fit into it.
	DecodeStepMillis float64 `json:"decode_step_ms"`
	MixedStepMillis  float64 `json:"mixed_step_ms"`
}

// CacheEventType says whether a block was added to or removed from the prefix cache.
type CacheEventType string

// The types of cache events.
const (
	CacheStored  CacheEventType = "stored"
	CacheRemoved CacheEventType = "removed"
)

// CacheEvent reports a change of an engine's prefix cache. Sequence numbers increase by one; a
// gap means that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Type     CacheEventType `json:"type"`
	Block    prefix.Hash    `json:"block"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Incarnation Identifier   `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Next is the sequence number from which to read the next page.
	Next uint64 `json:"next"`
}

// AttemptRetention is how long an engine remembers that it has accepted an attempt, even after
// the attempt's stream is gone. It remembers until it restarts which attempts it was told to
// refuse.
const AttemptRetention = time.Hour

// CancelReply answers Client.Cancel and Client.RefuseUnseen. After Cancel, the engine refuses
// the attempt from now on. After RefuseUnseen it does so only if Seen is false; an attempt that
// it had accepted is left as it is.
type CancelReply struct {
	Incarnation Identifier `json:"incarnation"`
	// Seen says whether the engine had accepted the attempt before.
	Seen bool `json:"seen"`
}

// KVExport is the KV cache of one attempt's prompt, as transferred between engines.
type KVExport struct {
	Incarnation Identifier    `json:"incarnation"`
	Seed        string        `json:"seed"`
	Blocks      []prefix.Hash `json:"blocks"`
	// SizeBytes is the size of the KV cache for these blocks.
	SizeBytes uint64 `json:"size_bytes"`
}
