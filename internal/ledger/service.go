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

// GroupPrefix begins the names of ledger groups.
const GroupPrefix = "ledger/"

// GroupName returns the name of a ledger group.
func GroupName(number int) string { return fmt.Sprintf("%s%d", GroupPrefix, number) }

// HomeGroup returns the group that keeps a key. It depends on nothing that an
// operator can change while the key is remembered.
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

// ReplicatedLedger is the ledger as a group's state machine, with the group's clock.
type ReplicatedLedger struct {
	mu     sync.Mutex
	ledger *Ledger
	// leadingSince and ledTime are the moment of the current leadership's start, in
	// this process's time and in the group's.
	leadingSince          time.Time
	leadingSinceGroupTime int64
	leading               bool
	localReplica          func() *group.Replica
	log                   logrus.FieldLogger
}

// NewReplicatedLedger returns the machine of a group. handle returns the group's member on
// this node.
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

// Lead implements group.Leadership.
func (l *ReplicatedLedger) Lead(engine.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = true
	l.leadingSince = time.Now()
	l.leadingSinceGroupTime = l.ledger.Time()
}

// Follow implements group.Leadership.
func (l *ReplicatedLedger) Follow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
}

// Len returns the number of live claims.
func (l *ReplicatedLedger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Len()
}

// stamp gives a command the group's time: it goes on from where the former
// leader's last command left it, so it never runs fast and never goes back.
func (l *ReplicatedLedger) stamp(command *Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	command.Time = l.now()
	command.WallTime = time.Now().UnixMilli()
}

// execute replicates a command under this node's leadership.
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

// now returns the group's time. The caller holds the lock and leads.
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
			// Time has passed since the last command.
			claim.AgeMillis = max(claim.AgeMillis, l.now()-claim.ClaimedAt)
		}
	})
	return claim, err
}

// tickEvery is how often time passes in a group without commands.
const tickEvery = 5 * time.Second

// RunTicks lets time pass in the groups that this node leads, until ctx ends.
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

// StateLossCommand returns the command for a group that lost its memory.
func StateLossCommand(longestWindow time.Duration) ([]byte, error) {
	return json.Marshal(Command{
		Type:         CommandForget,
		WindowMillis: longestWindow.Milliseconds(),
		WallTime:     time.Now().UnixMilli(),
	})
}

// Register serves the ledger groups of a node. find returns the machine of a
// group, nil when this node is no member.
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

// Client reaches the ledger from a gateway.
type Client struct {
	router *group.Router
	groups int
}

// NewClient returns a client for a cluster with the given number of groups.
func NewClient(router *group.Router, groups int) *Client {
	return &Client{router: router, groups: groups}
}

// tryTimeout bounds one try to reach a leader.
const tryTimeout = 500 * time.Millisecond

// Execute runs a command at the key's home group. The command may be tried more
// than once, which changes nothing. An error leaves open whether it took effect.
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

// Lookup returns the claim of a key, nil for none.
func (c *Client) Lookup(ctx context.Context, key string) (*Claim, error) {
	home := HomeGroup(key, c.groups)
	var response lookupResponse
	err := c.router.Call(ctx, home, MethodLookup, tryTimeout, lookupRequest{Group: home, Key: key}, &response)
	return response.Claim, err
}
