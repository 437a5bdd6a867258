package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/result"
)

// Cluster is what a keeper needs to know of the other nodes.
type Cluster interface {
	// Candidates returns the nodes that may be members: alive and not leaving.
	Candidates() []Member
	// KnownLeader returns the highest epoch of a group that any node has spoken of, the
	// leader's node, and whether that node is alive.
	KnownLeader(groupID string) (epoch uint64, leader string, leaderAlive bool)
	// HasEnded reports whether the process of a member is proved to have ended: a
	// later incarnation of its node runs, or the machine list has dropped it.
	HasEnded(member Member) bool
	// MinEpoch returns the epoch that a group led here must at least have: its
	// engines may have seen higher fences under another group.
	MinEpoch(groupID string) uint64
	// DesiredGroups returns the groups that should exist.
	DesiredGroups() []string
}

// Manager makes groups exist and replaces members that are lost or leaving.
type Manager struct {
	self    Member
	host    *Host
	records records
	client  *peer.Client
	view    Cluster
	log     logrus.FieldLogger
	// forgetCommand returns the command that tells a group's state machine that
	// its memory was lost with a majority.
	forgetCommand func(groupID string) ([]byte, error)

	mu sync.Mutex
	// since notes when each group was first seen in need, by reason.
	since map[string]need
}

// reason is why a group's members should change.
type reason int

const (
	reasonNone reason = iota
	// reasonMissing: nobody speaks of the group, or its leader is lost and no
	// other came.
	reasonMissing
	// reasonLost: a member is gone, dead or leaving.
	reasonLost
	// reasonSpread: the members could stand in more zones, or be more.
	reasonSpread
)

type need struct {
	reason reason
	since  time.Time
}

// The patience before a need is acted on. Nodes act one after the other in the
// group's rendezvous order, so that usually one does.
const (
	checkEvery       = 250 * time.Millisecond
	patienceNew      = 200 * time.Millisecond
	patienceMissing  = 2 * time.Second
	patienceOutsider = 5 * time.Second
	patienceLost     = 2 * time.Second
	patienceSpread   = 20 * time.Second
	patienceByRank   = 1000 * time.Millisecond
)

// NewManager returns the keeper of a node.
func NewManager(self Member, host *Host, tableClient Table, client *peer.Client, view Cluster, log logrus.FieldLogger,
	forgetCommand func(string) ([]byte, error)) *Manager {
	return &Manager{
		self: self, host: host, records: records{tableClient}, client: client, view: view, log: log,
		forgetCommand: forgetCommand, since: map[string]need{},
	}
}

func (k *Manager) gone(member Member) bool { return k.view.HasEnded(member) }

// Run keeps groups until ctx ends. Groups are looked after side by side: one
// whose members are slow to answer does not hold up the others.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	busy := map[string]bool{}
	var mu sync.Mutex
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range k.view.DesiredGroups() {
			mu.Lock()
			skip := busy[id]
			busy[id] = true
			mu.Unlock()
			if skip {
				continue
			}
			running.Add(1)
			go func() {
				defer running.Done()
				k.look(ctx, id)
				mu.Lock()
				defer mu.Unlock()
				delete(busy, id)
			}()
		}
	}
}

// look checks one group and acts on a need that has lasted.
func (k *Manager) look(ctx context.Context, id string) {
	k.catchUp(ctx, id)
	found, patience := k.need(id)
	if !k.lasted(id, found, patience) {
		return
	}
	if err := k.act(ctx, id, found); err != nil && ctx.Err() == nil {
		k.log.WithError(err).WithField("group", id).Warn("the group's members could not be changed; will try again")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.since, id)
}

// catchUp reads the table when others speak of a later epoch than this node
// obeys.
func (k *Manager) catchUp(ctx context.Context, id string) {
	active := k.host.Replica(id)
	if active == nil {
		return
	}
	epoch, _, _ := k.view.KnownLeader(id)
	if epoch <= active.Config().Epoch {
		return
	}
	if record, err := k.records.get(ctx, id); err == nil {
		k.host.ApplyRecord(record)
	}
}

// need decides whether a group's members should change, and how long this node
// waits before it acts. Most groups have a living leader elsewhere, which must be
// found out cheaply: every node looks at every group.
func (k *Manager) need(id string) (reason, time.Duration) {
	active := k.host.Replica(id)
	if active == nil {
		return k.needOfOutsider(id)
	}
	if _, leading := active.Fence(); leading {
		return k.needOfLeader(id, k.view.Candidates())
	}
	if active.Leader() == "" || active.Sealed() {
		return reasonMissing, patienceMissing + min(k.rank(id), Size)*patienceByRank
	}
	return reasonNone, 0
}

func (k *Manager) needOfOutsider(id string) (reason, time.Duration) {
	epoch, leader, alive := k.view.KnownLeader(id)
	switch {
	case leader != "" && alive:
		return reasonNone, 0
	case epoch == 0:
		return reasonMissing, patienceNew + k.rank(id)*patienceByRank
	}
	return reasonMissing, patienceOutsider + k.rank(id)*patienceByRank
}

// rank is this node's place in the group's rendezvous order.
func (k *Manager) rank(id string) time.Duration {
	return time.Duration(max(Rank(id, k.self.Node, k.view.Candidates()), 0))
}

func (k *Manager) needOfLeader(id string, candidates []Member) (reason, time.Duration) {
	record, ok := k.recordOf(id)
	if !ok {
		return reasonNone, 0
	}
	next := ChooseMembers(id, record.Members, candidates)
	kept := 0
	for _, member := range next {
		if record.has(member.ID) {
			kept++
		}
	}
	switch {
	case k.view.MinEpoch(id) > record.Epoch:
		return reasonLost, patienceLost
	case kept < len(record.Members) && len(next) > kept:
		// A lost member is replaced, also by fewer than it were: what counts is
		// another live one. Without any, the group is better off as it is.
		return reasonLost, patienceLost
	case len(next) > len(record.Members):
		return reasonSpread, patienceLost
	case ZoneCount(k.respread(id, record, candidates)) > ZoneCount(record.Members):
		return reasonSpread, patienceSpread
	}
	return reasonNone, 0
}

// respread returns members for better zones: one of two in the same zone makes
// room.
func (k *Manager) respread(id string, record Record, candidates []Member) []Member {
	zones := map[string]bool{}
	var keep []Member
	for _, member := range record.Members {
		if !zones[member.Zone] {
			keep = append(keep, member)
		}
		zones[member.Zone] = true
	}
	return ChooseMembers(id, keep, candidates)
}

func (k *Manager) recordOf(id string) (Record, bool) {
	for _, record := range k.host.Records() {
		if record.Group == id {
			return record, true
		}
	}
	return Record{}, false
}

// lasted reports whether a need has been seen for as long as patience says.
func (k *Manager) lasted(id string, found reason, patience time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if found == reasonNone {
		delete(k.since, id)
		return false
	}
	known, exists := k.since[id]
	if !exists || known.reason != found {
		k.since[id] = need{reason: found, since: time.Now()}
		return false
	}
	return time.Since(known.since) >= patience
}

// act reads the table first: without it no epoch could begin, so none may end.
func (k *Manager) act(ctx context.Context, id string, found reason) error {
	record, err := k.records.get(ctx, id)
	if err != nil {
		return err
	}
	if active := k.host.Replica(id); record.has(k.self.ID) && (active == nil || active.Config().Epoch < record.Epoch) {
		k.host.ApplyRecord(record) // this node missed the decision
		return nil
	}
	if found == reasonMissing && k.hasLeader(ctx, record) {
		return nil // only this node had not heard of it
	}
	candidates := k.view.Candidates()
	current := record.Members
	if found == reasonSpread {
		current = k.respread(id, record, candidates)
	}
	next := ChooseMembers(id, current, candidates)
	if len(next) == 0 {
		return result.New(result.PeerUnavailable, "no node can be a member of group %s", id)
	}
	return k.reconfigure(ctx, record, next)
}

// hasLeader asks a group's members whether one of them leads it.
func (k *Manager) hasLeader(ctx context.Context, record Record) bool {
	for _, member := range record.Members {
		if member.ID == k.self.ID {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		var answer Leader
		err := k.client.Call(callCtx, member.Address, MethodLeader, leaderRequest{Group: record.Group}, &answer)
		cancel()
		if err == nil && answer.Epoch == record.Epoch && answer.Address != "" {
			return true
		}
	}
	return false
}
