package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/result"
)

// Methods of the peer protocol.
const (
	MethodCommand peer.Method = "ledger.command"
	MethodLookup  peer.Method = "ledger.lookup"
)

// GroupPrefix is the prefix of the names of ledger groups.
const GroupPrefix = "ledger/"

// GroupName returns the name of a ledger group.
func GroupName(number int) string { return fmt.Sprintf("%s%d", GroupPrefix, number) }

// HomeGroup returns the group that holds the claim of a key. It depends only on the key and the
// number of ledger groups, which is fixed for a cluster, so that a key keeps its group for as
// long as it is remembered.
func HomeGroup(key string, groups int) string {
	return GroupName(int(xxhash.Sum64String(key) % uint64(groups)))
}

type commandRequest struct {
	Group   string  `json:"group"`
	Command Command `json:"command"`
}

type lookupRequest struct {
	Group string `json:"group"`
	Key   string `json:"key"`
}

type lookupResponse struct {
	Claim *Claim `json:"claim,omitempty"`
}

// ReplicatedLedger is a Ledger as the state machine of a group. It also keeps the group's time.
type ReplicatedLedger struct {
	mu     sync.Mutex
	ledger *Ledger
	// leadingSince and leadingSinceGroupTime are the start of the current leadership, in this
	// process's time and in the group's.
	leadingSince          time.Time
	leadingSinceGroupTime int64
	leading               bool
	localReplica          func() *group.Replica
	log                   logrus.FieldLogger
}

// NewReplicatedLedger returns an empty ledger of a group. localReplica returns this node's
// member of the group, nil when there is none.
func NewReplicatedLedger(localReplica func() *group.Replica, log logrus.FieldLogger) *ReplicatedLedger {
	return &ReplicatedLedger{ledger: New(), localReplica: localReplica, log: log}
}

// Apply implements group.StateMachine.
func (l *ReplicatedLedger) Apply(data []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Apply(data)
}

// Snapshot implements group.StateMachine.
func (l *ReplicatedLedger) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Snapshot()
}

// Restore implements group.StateMachine.
func (l *ReplicatedLedger) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Restore(data)
}

// Lead implements group.LeadershipListener.
func (l *ReplicatedLedger) Lead(engine.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = true
	l.leadingSince = time.Now()
	l.leadingSinceGroupTime = l.ledger.Time()
}

// Follow implements group.LeadershipListener.
func (l *ReplicatedLedger) Follow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
}

// Len returns the number of claims that have not expired.
func (l *ReplicatedLedger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Len()
}

// stamp sets the times of a command. The group's time continues from the time at which this
// leadership began, so it never runs faster than the leaders' clocks and never goes back.
func (l *ReplicatedLedger) stamp(command *Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	command.Time = l.now()
	command.WallTime = time.Now().UnixMilli()
}

// execute replicates a command. It fails if this node doesn't lead the group.
func (l *ReplicatedLedger) execute(ctx context.Context, command Command) (Outcome, error) {
	r := l.localReplica()
	if r == nil {
		return Outcome{}, result.New(result.NotLeader, "this node is no member of the group")
	}
	l.stamp(&command)
	data, err := json.Marshal(command)
	if err != nil {
		return Outcome{}, result.Wrap(err, result.Internal, "encoding a ledger command")
	}
	value, err := r.Propose(ctx, data)
	if err != nil {
		return Outcome{}, err
	}
	outcome, ok := value.(Outcome)
	if !ok {
		return Outcome{}, result.New(result.Internal, "a ledger command had no outcome")
	}
	return outcome, nil
}

// now returns the group's time. The caller holds the lock, and this node leads the group.
func (l *ReplicatedLedger) now() int64 {
	return l.leadingSinceGroupTime + time.Since(l.leadingSince).Milliseconds()
}

func (l *ReplicatedLedger) lookup(key string) (*Claim, error) {
	r := l.localReplica()
	if r == nil {
		return nil, result.New(result.NotLeader, "this node is no member of the group")
	}
	var claim *Claim
	err := r.Read(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		claim = l.ledger.Lookup(key)
		if claim != nil {
			// The claim's age was computed with the time of the last command.
			claim.AgeMillis = max(claim.AgeMillis, l.now()-claim.ClaimedAt)
		}
	})
	return claim, err
}

// tickEvery is how often the group's time is advanced, so that claims expire without other
// commands.
const tickEvery = 5 * time.Second

// RunTicks advances the time of the groups that this node leads until ctx ends. Groups without
// claims need no ticks.
func RunTicks(ctx context.Context, ledgers func() []*ReplicatedLedger) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range ledgers() {
			l.mu.Lock()
			due := l.leading && l.ledger.Len() > 0
			l.mu.Unlock()
			if due {
				tickCtx, cancel := context.WithTimeout(ctx, time.Second)
				_, _ = l.execute(tickCtx, Command{Type: CommandTick})
				cancel()
			}
		}
	}
}

// StateLossCommand returns the command for a group that lost its state. longestWindow is the
// longest time for which any key may have to be remembered.
func StateLossCommand(longestWindow time.Duration) ([]byte, error) {
	return json.Marshal(Command{
		Type:         CommandStateLoss,
		WindowMillis: longestWindow.Milliseconds(),
		WallTime:     time.Now().UnixMilli(),
	})
}

// Register registers the handlers of the ledger protocol. find returns this node's ledger of a
// group, nil when the node is not a member.
func Register(server *peer.Server, find func(groupID string) *ReplicatedLedger) {
	peer.Handle(server, MethodCommand, func(ctx context.Context, _ peer.Identity, request commandRequest) (Outcome, error) {
		l := find(request.Group)
		if l == nil {
			return Outcome{}, result.New(result.NotLeader, "this node is no member of group %s", request.Group)
		}
		return l.execute(ctx, request.Command)
	})
	peer.Handle(server, MethodLookup, func(_ context.Context, _ peer.Identity, request lookupRequest) (lookupResponse, error) {
		l := find(request.Group)
		if l == nil {
			return lookupResponse{}, result.New(result.NotLeader, "this node is no member of group %s", request.Group)
		}
		claim, err := l.lookup(request.Key)
		return lookupResponse{Claim: claim}, err
	})
}

// Client gives gateways access to the ledger.
type Client struct {
	router *group.Router
	groups int
}

// NewClient returns a client for a cluster with the given number of ledger groups.
func NewClient(router *group.Router, groups int) *Client {
	return &Client{router: router, groups: groups}
}

// tryTimeout limits one try to call a leader.
const tryTimeout = 500 * time.Millisecond

// Execute runs a command at the key's home group. It may send the command more than once, which
// has the same effect as once. After an error it is not known whether the command took effect.
func (c *Client) Execute(ctx context.Context, command Command) (*Claim, bool, error) {
	home := HomeGroup(command.Key, c.groups)
	var outcome Outcome
	if err := c.router.Call(ctx, home, MethodCommand, tryTimeout, commandRequest{Group: home, Command: command}, &outcome); err != nil {
		return nil, false, err
	}
	if outcome.Error != nil {
		return nil, false, outcome.Error
	}
	return outcome.Claim, outcome.Granted, nil
}

// Lookup returns the claim of a key, or nil.
func (c *Client) Lookup(ctx context.Context, key string) (*Claim, error) {
	home := HomeGroup(key, c.groups)
	var response lookupResponse
	err := c.router.Call(ctx, home, MethodLookup, tryTimeout, lookupRequest{Group: home, Key: key}, &response)
	return response.Claim, err
}
