// Package ledger records which attempt runs a request that must not run twice. A record is
// called a claim. The ledger is the state machine of a replica group: it does no I/O, and every
// member computes the same state.
//
// Guarantee: at any time at most one attempt is recorded for a key, and it is replaced by
// another only after a gateway has learned that it did not run. A gateway sends a request to an
// engine only after its claim has been committed.
package ledger

import (
	"encoding/json"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// Status is the status of a claim.
type Status string

// Statuses of a claim.
const (
	// Running means that the attempt has been sent to an engine, or is about to be.
	Running Status = "running"
	// Done means that the request has been answered. The answer is in the claim, or only at the
	// engine.
	Done Status = "done"
	// Lost means that the request may have run and its outcome can no longer be found out.
	Lost Status = "lost"
)

// Location identifies the engine process that runs an attempt.
type Location struct {
	Pool        string            `json:"pool"`
	Engine      string            `json:"engine"`
	Address     string            `json:"address"`
	Incarnation engine.Identifier `json:"incarnation"`
}

// Answer is a stored answer. An answer longer than MaxInlineBytes is in the object store, under
// the name Object.
type Answer struct {
	Text    string       `json:"text,omitempty"`
	Object  string       `json:"object,omitempty"`
	Usage   engine.Usage `json:"usage"`
	Created int64        `json:"created"`
}

// MaxInlineBytes is the length of the longest answer that the ledger itself stores.
const MaxInlineBytes = 4 << 10

// Claim records the attempt that runs the request with a key.
type Claim struct {
	Key string `json:"key"`
	// Digest identifies the request's content, to detect a key that is used for another
	// request.
	Digest   string            `json:"digest"`
	Attempt  engine.Identifier `json:"attempt"`
	Location Location          `json:"location"`
	Status   Status            `json:"status"`
	Answer   *Answer           `json:"answer,omitempty"`
	// ClaimedAt is when the attempt was recorded, in the group's time in milliseconds.
	// AgeMillis is the age of the attempt's record when the claim is read.
	ClaimedAt int64 `json:"claimed_at"`
	AgeMillis int64 `json:"age_ms,omitempty"`
	// ExpiresAt is when the claim is removed, in the group's time in milliseconds.
	ExpiresAt int64 `json:"expires_at"`
}

// CommandType is the type of a command.
type CommandType string

// Types of commands.
const (
	CommandClaim    CommandType = "claim"
	CommandReplace  CommandType = "replace"
	CommandRelease  CommandType = "release"
	CommandComplete CommandType = "complete"
	CommandLost     CommandType = "lost"
	// CommandTick only advances the group's time.
	CommandTick CommandType = "tick"
	// CommandStateLoss records that the group lost its state with a majority of its members, so
	// that keys claimed before may be missing. It removes no claim.
	CommandStateLoss CommandType = "forget"
)

// Command changes the ledger. It is sent over the peer protocol and replicated.
type Command struct {
	Type    CommandType       `json:"type"`
	Key     string            `json:"key,omitempty"`
	Digest  string            `json:"digest,omitempty"`
	Attempt engine.Identifier `json:"attempt,omitempty"`
	// Replaced is the attempt that the sender of a CommandReplace knows not to have run.
	Replaced engine.Identifier `json:"replaced,omitempty"`
	Location Location          `json:"location,omitzero"`
	Answer   *Answer           `json:"answer,omitempty"`
	// WindowMillis is how long after its first claim a key is remembered.
	WindowMillis int64 `json:"window_ms,omitempty"`
	// KeyTime is the Unix time in milliseconds contained in a key that is a UUIDv7 (RFC 9562),
	// and zero for other keys.
	KeyTime int64 `json:"key_time,omitempty"`
	// Time is the group's time in milliseconds, set by the leader.
	Time int64 `json:"time,omitempty"`
	// WallTime is the leader's Unix time in milliseconds. It is only compared with KeyTime.
	WallTime int64 `json:"wall_time,omitempty"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Granted means that the command's attempt is the recorded one.
	Granted bool `json:"granted"`
	// Claim is the claim of the key after the command, nil if there is none.
	Claim *Claim        `json:"claim,omitempty"`
	Error *result.Error `json:"error,omitempty"`
}

// keyTimeMargin is how far the callers' clocks may be ahead.
const keyTimeMargin = 30 * time.Second

// Ledger is the state machine of a ledger group. It is not safe for concurrent use.
type Ledger struct {
	claims map[string]*Claim
	// expiry holds the keys that expire in each second of the group's time.
	expiry map[int64][]string
	time   int64
	// unknownUntil is the group's time until which an unknown key may have been claimed before
	// the group lost its state. stateLostAt is the Unix time of the loss in milliseconds: a key
	// whose own time is at least keyTimeMargin later is known to be new.
	unknownUntil  int64
	stateLostAt   int64
	longestWindow int64 // the longest window of any command, in milliseconds
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{claims: map[string]*Claim{}, expiry: map[int64][]string{}}
}

// Len returns the number of claims that have not expired.
func (l *Ledger) Len() int { return len(l.claims) }

// Time returns the group's time in milliseconds.
func (l *Ledger) Time() int64 { return l.time }

// Lookup returns the claim of a key, or nil.
func (l *Ledger) Lookup(key string) *Claim {
	return l.copyClaim(l.claims[key])
}

// Apply executes a committed command.
func (l *Ledger) Apply(data []byte) Outcome {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Outcome{Error: result.New(result.Internal, "a ledger command can't be read: %v", err)}
	}
	l.advance(command.Time)
	switch command.Type {
	case CommandClaim:
		return l.claim(command)
	case CommandReplace:
		return l.replace(command)
	case CommandRelease:
		return l.release(command)
	case CommandComplete:
		return l.finish(command, Done)
	case CommandLost:
		return l.finish(command, Lost)
	case CommandStateLoss:
		l.stateLostAt = command.WallTime
		l.unknownUntil = l.time + max(command.WindowMillis, l.longestWindow)
	}
	return Outcome{}
}

// advance sets the group's time and removes expired claims. Time never goes back, also when a
// new leader's clock is behind the former one's.
func (l *Ledger) advance(to int64) {
	if to <= l.time {
		return
	}
	from := l.time / 1000
	l.time = to
	if to/1000-from > int64(len(l.expiry)) {
		for second := range l.expiry {
			l.expire(second)
		}
		return
	}
	for second := from; second < to/1000; second++ {
		l.expire(second)
	}
}

// expire removes the claims that expired in a past second. A claim that now expires in a later
// second is listed there too, and is kept.
func (l *Ledger) expire(second int64) {
	if second >= l.time/1000 {
		return
	}
	for _, key := range l.expiry[second] {
		if claim := l.claims[key]; claim != nil && claim.ExpiresAt/1000 <= second {
			delete(l.claims, key)
		}
	}
	delete(l.expiry, second)
}

func (l *Ledger) claim(command Command) Outcome {
	if existing := l.claims[command.Key]; existing != nil {
		return l.existingClaim(existing, command)
	}
	if l.time < l.unknownUntil && command.KeyTime < l.stateLostAt+keyTimeMargin.Milliseconds() {
		// The group's "memory" is its replicated state, with which it may have lost this key's
		// claim. So it is unknown whether the request ran before.
		return Outcome{Error: result.New(result.OutcomeUnknown,
			"the group that keeps this key lost its memory; whether the request ran before can't be told")}
	}
	l.longestWindow = max(l.longestWindow, command.WindowMillis)
	claim := &Claim{
		Key:       command.Key,
		Digest:    command.Digest,
		Attempt:   command.Attempt,
		Location:  command.Location,
		Status:    Running,
		ClaimedAt: l.time,
		ExpiresAt: l.time + command.WindowMillis,
	}
	l.claims[command.Key] = claim
	second := claim.ExpiresAt / 1000
	l.expiry[second] = append(l.expiry[second], command.Key)
	return l.outcome(claim, true)
}

func (l *Ledger) existingClaim(claim *Claim, command Command) Outcome {
	if claim.Digest != command.Digest {
		return Outcome{Error: result.New(result.KeyReused, "the idempotency key was used for another request; use a new key")}
	}
	return l.outcome(claim, claim.Attempt == command.Attempt && claim.Status == Running)
}

// replace records a new attempt in place of one that is known not to have run.
func (l *Ledger) replace(command Command) Outcome {
	claim := l.claims[command.Key]
	if claim == nil {
		return Outcome{Error: result.New(result.OutcomeUnknown, "the key's record has expired")}
	}
	if claim.Status == Running && claim.Attempt == command.Replaced {
		claim.Attempt = command.Attempt
		claim.Location = command.Location
		claim.ClaimedAt = l.time
	}
	return l.outcome(claim, claim.Attempt == command.Attempt && claim.Status == Running)
}

// release removes the claim of an attempt that is known not to have run.
func (l *Ledger) release(command Command) Outcome {
	claim := l.claims[command.Key]
	if claim == nil || claim.Attempt != command.Attempt || claim.Status != Running {
		return Outcome{Claim: l.copyClaim(claim)}
	}
	delete(l.claims, command.Key)
	return Outcome{Granted: true}
}

func (l *Ledger) finish(command Command, status Status) Outcome {
	claim := l.claims[command.Key]
	if claim == nil || claim.Attempt != command.Attempt || claim.Status != Running {
		return Outcome{Claim: l.copyClaim(claim)}
	}
	claim.Status = status
	claim.Answer = command.Answer
	return l.outcome(claim, true)
}

func (l *Ledger) outcome(claim *Claim, granted bool) Outcome {
	return Outcome{Granted: granted, Claim: l.copyClaim(claim)}
}

// copyClaim returns a copy of a claim with its age set, or nil for nil.
func (l *Ledger) copyClaim(claim *Claim) *Claim {
	if claim == nil {
		return nil
	}
	copied := *claim
	copied.AgeMillis = l.time - claim.ClaimedAt
	return &copied
}

// snapshot is the encoded form of the ledger.
type snapshot struct {
	Time         int64    `json:"time"`
	UnknownUntil int64    `json:"forgot_until,omitempty"`
	StateLostAt  int64    `json:"forgot_at,omitempty"`
	Longest      int64    `json:"longest,omitempty"`
	Claims       []*Claim `json:"claims"`
}

// Snapshot encodes the ledger.
func (l *Ledger) Snapshot() []byte {
	state := snapshot{Time: l.time, UnknownUntil: l.unknownUntil, StateLostAt: l.stateLostAt, Longest: l.longestWindow}
	for _, claim := range l.claims {
		state.Claims = append(state.Claims, claim)
	}
	data, err := json.Marshal(state)
	if err != nil {
		panic(err) // these types can always be encoded
	}
	return data
}

// Restore replaces the ledger by that of a snapshot. Empty data means the empty ledger.
func (l *Ledger) Restore(data []byte) error {
	*l = *New()
	if len(data) == 0 {
		return nil
	}
	var state snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return result.Wrap(err, result.Internal, "a ledger snapshot can't be read")
	}
	l.time, l.unknownUntil, l.stateLostAt, l.longestWindow = state.Time, state.UnknownUntil, state.StateLostAt, state.Longest
	for _, claim := range state.Claims {
		l.claims[claim.Key] = claim
		second := claim.ExpiresAt / 1000
		l.expiry[second] = append(l.expiry[second], claim.Key)
	}
	return nil
}
