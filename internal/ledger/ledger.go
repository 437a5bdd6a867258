// Package ledger records claims of requests that must not run twice. It is the
// state machine of a replica group: pure, and the same on each member.
//
// Guarantee: for one key, at most one attempt at a time is on record, and a
// recorded attempt is replaced only by the word that it did not run. A gateway
// gives a request to an engine only after its claim was committed.
package ledger

import (
	"encoding/json"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// Status is the state of a claim.
type Status string

// The states.
const (
	// Running claims have been given to an engine, or are about to be.
	Running Status = "running"
	// Done claims have their answer, here or at the engine.
	Done Status = "done"
	// Lost claims may have run; their outcome can't be had any more.
	Lost Status = "lost"
)

// Location is where an attempt runs.
type Location struct {
	Pool        string            `json:"pool"`
	Engine      string            `json:"engine"`
	Address     string            `json:"address"`
	Incarnation engine.Identifier `json:"incarnation"`
}

// Answer is a stored answer. Answers longer than MaxInlineBytes are in the object
// store, under the name in Object.
type Answer struct {
	Text    string       `json:"text,omitempty"`
	Object  string       `json:"object,omitempty"`
	Usage   engine.Usage `json:"usage"`
	Created int64        `json:"created"`
}

// MaxInlineBytes is the longest answer that is kept in memory.
const MaxInlineBytes = 4 << 10

// Claim is the record of one key.
type Claim struct {
	Key string `json:"key"`
	// Digest identifies the request, so that a key that is used for another
	// request is found out.
	Digest   string            `json:"digest"`
	Attempt  engine.Identifier `json:"attempt"`
	Location Location          `json:"location"`
	Status   Status            `json:"status"`
	Answer   *Answer           `json:"answer,omitempty"`
	// ClaimedAt is when the attempt was recorded, in the group's milliseconds, and
	// AgeMillis its age at the time of the answer.
	ClaimedAt int64 `json:"claimed_at"`
	AgeMillis int64 `json:"age_ms,omitempty"`
	// ExpiresAt is when the record is dropped, in the group's milliseconds.
	ExpiresAt int64 `json:"expires_at"`
}

// CommandType is the sort of a command.
type CommandType string

// The commands.
const (
	CommandClaim    CommandType = "claim"
	CommandReplace  CommandType = "replace"
	CommandRelease  CommandType = "release"
	CommandComplete CommandType = "complete"
	CommandLost     CommandType = "lost"
	// CommandTick only lets time pass.
	CommandTick CommandType = "tick"
	// CommandForget follows the loss of a majority: keys of before are unknown.
	CommandForget CommandType = "forget"
)

// Command changes the ledger. It crosses the peer protocol and is replicated.
type Command struct {
	Type    CommandType       `json:"type"`
	Key     string            `json:"key,omitempty"`
	Digest  string            `json:"digest,omitempty"`
	Attempt engine.Identifier `json:"attempt,omitempty"`
	// Replaced is the attempt that CommandReplace knows not to have run.
	Replaced engine.Identifier `json:"replaced,omitempty"`
	Location Location          `json:"location,omitzero"`
	Answer   *Answer           `json:"answer,omitempty"`
	// WindowMillis is how long the key is remembered from its first sight.
	WindowMillis int64 `json:"window_ms,omitempty"`
	// KeyTime is the time, in Unix milliseconds, that a key of the form UUIDv7
	// (RFC 9562) carries; zero for other keys.
	KeyTime int64 `json:"key_time,omitempty"`
	// Time is the group's time in milliseconds, set by the leader.
	Time int64 `json:"time,omitempty"`
	// WallTime is the leader's Unix time in milliseconds; it is only compared
	// with the time that a key carries.
	WallTime int64 `json:"wall_time,omitempty"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Granted tells that the command's attempt is the one on record.
	Granted bool `json:"granted"`
	// Claim is the record of the key after the command, nil for none.
	Claim *Claim        `json:"claim,omitempty"`
	Error *result.Error `json:"error,omitempty"`
}

// keyTimeMargin is how far clocks of callers may be ahead.
const keyTimeMargin = 30 * time.Second

// Ledger is the state machine. It is not safe for concurrent use.
type Ledger struct {
	claims map[string]*Claim
	// expiry holds keys by the second in which they expire.
	expiry map[int64][]string
	time   int64
	// unknownUntil is the end, in the group's time, of the time in which an
	// unknown key may have been claimed before the group lost its majority.
	// Keys that carry a time after forgotAt are known to be new.
	unknownUntil  int64
	stateLostAt   int64
	longestWindow int64 // the longest window seen
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{claims: map[string]*Claim{}, expiry: map[int64][]string{}}
}

// Len returns the number of live claims.
func (l *Ledger) Len() int { return len(l.claims) }

// Time returns the group's time in milliseconds.
func (l *Ledger) Time() int64 { return l.time }

// Lookup returns the claim of a key, nil for none.
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
	case CommandForget:
		l.stateLostAt = command.WallTime
		l.unknownUntil = l.time + max(command.WindowMillis, l.longestWindow)
	}
	return Outcome{}
}

// advance lets time pass and drops expired claims. Time never goes back: a new
// leader's clock may be behind the former one's.
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

// expire drops the claims of a past second. A claim that was extended stands
// under its new second too, and is kept.
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

// replace puts a new attempt in place of one that is known not to have run.
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

// release drops the claim of an attempt that is known not to have run.
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

// copyClaim returns a copy of a claim with its age, nil for nil.
func (l *Ledger) copyClaim(claim *Claim) *Claim {
	if claim == nil {
		return nil
	}
	copied := *claim
	copied.AgeMillis = l.time - claim.ClaimedAt
	return &copied
}

// snapshot is the encoded state.
type snapshot struct {
	Time        int64    `json:"time"`
	ForgotUntil int64    `json:"forgot_until,omitempty"`
	ForgotAt    int64    `json:"forgot_at,omitempty"`
	Longest     int64    `json:"longest,omitempty"`
	Claims      []*Claim `json:"claims"`
}

// Snapshot encodes the state.
func (l *Ledger) Snapshot() []byte {
	state := snapshot{Time: l.time, ForgotUntil: l.unknownUntil, ForgotAt: l.stateLostAt, Longest: l.longestWindow}
	for _, claim := range l.claims {
		state.Claims = append(state.Claims, claim)
	}
	data, err := json.Marshal(state)
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	return data
}

// Restore replaces the state. Empty data is the empty ledger.
func (l *Ledger) Restore(data []byte) error {
	*l = *New()
	if len(data) == 0 {
		return nil
	}
	var state snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return result.Wrap(err, result.Internal, "a ledger snapshot can't be read")
	}
	l.time, l.unknownUntil, l.stateLostAt, l.longestWindow = state.Time, state.ForgotUntil, state.ForgotAt, state.Longest
	for _, claim := range state.Claims {
		l.claims[claim.Key] = claim
		second := claim.ExpiresAt / 1000
		l.expiry[second] = append(l.expiry[second], claim.Key)
	}
	return nil
}
