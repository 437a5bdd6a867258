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
	cluster Cluster
	log     logrus.FieldLogger
	// stateLossCommand returns the command that tells a group's state machine that
	// its memory was lost with a majority.
	stateLossCommand func(groupID string) ([]byte, error)

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
	// reasonZones: the members could stand in more zones, or be more.
	reasonZones
)

type need struct {
	reason reason
	since  time.Time
}

// The patience before a need is acted on. Nodes act one after the other in the
// group's rendezvous order, so that usually one does.
const (
	checkEvery    = 250 * time.Millisecond
	delayNew      = 200 * time.Millisecond
	delayMissing  = 2 * time.Second
	delayOutsider = 5 * time.Second
	delayLost     = 2 * time.Second
	delayZones    = 20 * time.Second
	delayPerRank  = 1000 * time.Millisecond
)

// NewManager returns the keeper of a node.
func NewManager(self Member, host *Host, tableClient Table, client *peer.Client, cluster Cluster, log logrus.FieldLogger,
	stateLossCommand func(string) ([]byte, error)) *Manager {
	return &Manager{
		self: self, host: host, records: records{tableClient}, client: client, cluster: cluster, log: log,
		stateLossCommand: stateLossCommand, since: map[string]need{},
	}
}

func (m *Manager) hasEnded(member Member) bool { return m.cluster.HasEnded(member) }

// Run keeps groups until ctx ends. Groups are looked after side by side: one
// whose members are slow to answer does not hold up the others.
func (m *Manager) Run(ctx context.Context) {
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
		for _, id := range m.cluster.DesiredGroups() {
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
				m.checkGroup(ctx, id)
				mu.Lock()
				defer mu.Unlock()
				delete(busy, id)
			}()
		}
	}
}

// checkGroup checks one group and acts on a need that has lasted.
func (m *Manager) checkGroup(ctx context.Context, id string) {
	m.catchUp(ctx, id)
	found, delay := m.neededChange(id)
	if !m.hasPersisted(id, found, delay) {
		return
	}
	if err := m.changeMembers(ctx, id, found); err != nil && ctx.Err() == nil {
		m.log.WithError(err).WithField("group", id).Warn("the group's members could not be changed; will try again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.since, id)
}

// catchUp reads the table when others speak of a later epoch than this node
// obeys.
func (m *Manager) catchUp(ctx context.Context, id string) {
	active := m.host.Replica(id)
	if active == nil {
		return
	}
	epoch, _, _ := m.cluster.KnownLeader(id)
	if epoch <= active.Config().Epoch {
		return
	}
	if record, err := m.records.get(ctx, id); err == nil {
		m.host.ApplyRecord(record)
	}
}

// neededChange decides whether a group's members should change, and how long this node
// waits before it acts. Most groups have a living leader elsewhere, which must be
// found out cheaply: every node looks at every group.
func (m *Manager) neededChange(id string) (reason, time.Duration) {
	active := m.host.Replica(id)
	if active == nil {
		return m.neededChangeAsOutsider(id)
	}
	if _, leading := active.Fence(); leading {
		return m.neededChangeAsLeader(id, m.cluster.Candidates())
	}
	if active.Leader() == "" || active.Sealed() {
		return reasonMissing, delayMissing + min(m.rank(id), Size)*delayPerRank
	}
	return reasonNone, 0
}

func (m *Manager) neededChangeAsOutsider(id string) (reason, time.Duration) {
	epoch, leader, alive := m.cluster.KnownLeader(id)
	switch {
	case leader != "" && alive:
		return reasonNone, 0
	case epoch == 0:
		return reasonMissing, delayNew + m.rank(id)*delayPerRank
	}
	return reasonMissing, delayOutsider + m.rank(id)*delayPerRank
}

// rank is this node's place in the group's rendezvous order.
func (m *Manager) rank(id string) time.Duration {
	return time.Duration(max(Rank(id, m.self.Node, m.cluster.Candidates()), 0))
}

func (m *Manager) neededChangeAsLeader(id string, candidates []Member) (reason, time.Duration) {
	record, ok := m.recordOf(id)
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
	case m.cluster.MinEpoch(id) > record.Epoch:
		return reasonLost, delayLost
	case kept < len(record.Members) && len(next) > kept:
		// A lost member is replaced, also by fewer than it were: what counts is
		// another live one. Without any, the group is better off as it is.
		return reasonLost, delayLost
	case len(next) > len(record.Members):
		return reasonZones, delayLost
	case ZoneCount(m.rebalanceZones(id, record, candidates)) > ZoneCount(record.Members):
		return reasonZones, delayZones
	}
	return reasonNone, 0
}

// rebalanceZones returns members for better zones: one of two in the same zone makes
// room.
func (m *Manager) rebalanceZones(id string, record Record, candidates []Member) []Member {
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

func (m *Manager) recordOf(id string) (Record, bool) {
	for _, record := range m.host.Records() {
		if record.Group == id {
			return record, true
		}
	}
	return Record{}, false
}

// hasPersisted reports whether a need has been seen for as long as patience says.
func (m *Manager) hasPersisted(id string, found reason, delay time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found == reasonNone {
		delete(m.since, id)
		return false
	}
	known, exists := m.since[id]
	if !exists || known.reason != found {
		m.since[id] = need{reason: found, since: time.Now()}
		return false
	}
	return time.Since(known.since) >= delay
}

// changeMembers reads the table first: without it no epoch could begin, so none may end.
func (m *Manager) changeMembers(ctx context.Context, id string, found reason) error {
	record, err := m.records.get(ctx, id)
	if err != nil {
		return err
	}
	if active := m.host.Replica(id); record.has(m.self.ID) && (active == nil || active.Config().Epoch < record.Epoch) {
		m.host.ApplyRecord(record) // this node missed the decision
		return nil
	}
	if found == reasonMissing && m.hasLeader(ctx, record) {
		return nil // only this node had not heard of it
	}
	candidates := m.cluster.Candidates()
	current := record.Members
	if found == reasonZones {
		current = m.rebalanceZones(id, record, candidates)
	}
	next := ChooseMembers(id, current, candidates)
	if len(next) == 0 {
		return result.New(result.PeerUnavailable, "no node can be a member of group %s", id)
	}
	return m.reconfigure(ctx, record, next)
}

// hasLeader asks a group's members whether one of them leads it.
func (m *Manager) hasLeader(ctx context.Context, record Record) bool {
	for _, member := range record.Members {
		if member.ID == m.self.ID {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		var answer Leader
		err := m.client.Call(callCtx, member.Address, MethodLeader, leaderRequest{Group: record.Group}, &answer)
		cancel()
		if err == nil && answer.Epoch == record.Epoch && answer.Address != "" {
			return true
		}
	}
	return false
}
