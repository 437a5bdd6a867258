package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/result"
)

// Cluster tells a Manager about the other nodes.
type Cluster interface {
	// Candidates returns the nodes that may become members: those alive and not leaving.
	Candidates() []Member
	// KnownLeader returns the highest epoch of a group that this node has learned from any
	// node, the leader's node, and whether that node is alive.
	KnownLeader(groupID string) (epoch uint64, leader string, leaderAlive bool)
	// HasEnded reports whether the process of a member is proved to have ended, because a later
	// incarnation of its node runs or the machine list no longer contains it.
	HasEnded(member Member) bool
	// MinEpoch returns the lowest epoch that a group led by this node may have. It rises when
	// the group's engines have seen higher fencing tokens from another group.
	MinEpoch(groupID string) uint64
	// DesiredGroups returns the groups that should exist.
	DesiredGroups() []string
}

// Manager creates missing groups, and replaces members that are lost or leaving.
type Manager struct {
	self    Member
	host    *Host
	records records
	client  *peer.Client
	cluster Cluster
	log     logrus.FieldLogger
	// stateLossCommand returns the command that tells a group's state machine that its state
	// was lost because a majority of the members was.
	stateLossCommand func(groupID string) ([]byte, error)

	mu sync.Mutex
	// pending holds the reason for a change that this node has seen last, by group.
	pending map[string]pendingChange
}

// reason is why a group's members should change.
type reason int

const (
	reasonNone reason = iota
	// reasonMissing means that no node knows of the group, or that its leader is lost and none
	// has followed.
	reasonMissing
	// reasonRepair means that members have to be replaced, since they have ended, are dead or
	// are leaving, or that a higher epoch has to begin, since the current one is below MinEpoch.
	reasonRepair
	// reasonImprove means that there could be more members, or that they could be in more zones.
	reasonImprove
)

// pendingChange is why a group's members should change, and since when this node has seen that.
type pendingChange struct {
	reason reason
	since  time.Time
}

// checkEvery is the interval between checks. The delays are how long a reason for a change must
// have lasted before this node acts on it. delayPerRank makes nodes act one after the other in
// the group's rendezvous order, so that usually only one acts.
const (
	checkEvery = 250 * time.Millisecond
	// delayNew applies where no node knows of the group.
	delayNew = 200 * time.Millisecond
	// delayMissing applies at a member that knows no leader, or that has been sealed.
	delayMissing = 2 * time.Second
	// delayOutsider applies at other nodes, when the last known leader is lost.
	delayOutsider = 5 * time.Second
	// delayRepair applies for reasonRepair, and when there could be more members.
	delayRepair = 2 * time.Second
	// delayZones applies when the members could be in more zones.
	delayZones   = 20 * time.Second
	delayPerRank = 1000 * time.Millisecond
)

// NewManager returns the manager of a node's groups.
func NewManager(self Member, host *Host, tableClient Table, client *peer.Client, cluster Cluster, log logrus.FieldLogger,
	stateLossCommand func(string) ([]byte, error)) *Manager {
	return &Manager{
		self: self, host: host, records: records{tableClient}, client: client, cluster: cluster, log: log,
		stateLossCommand: stateLossCommand, pending: map[string]pendingChange{},
	}
}

func (m *Manager) hasEnded(member Member) bool { return m.cluster.HasEnded(member) }

// Run checks groups until ctx ends. Groups are checked concurrently, so that one whose members
// answer slowly doesn't hold up the others.
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

// checkGroup checks one group, and changes its members if there has been reason to for long
// enough.
func (m *Manager) checkGroup(ctx context.Context, id string) {
	m.catchUp(ctx, id)
	found, delay := m.neededChange(id)
	if !m.hasPersisted(id, found, delay) {
		return
	}
	if err := m.changeMembers(ctx, id, found); err != nil && ctx.Err() == nil {
		m.log.WithError(err).WithField("group", id).Warn("changing the group's members failed; will try again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, id)
}

// catchUp reads the table when another node knows a later epoch than the one that this node
// takes part in.
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

// neededChange decides whether a group's members should change, and how long this node waits
// before it acts. Every node checks every group, and most groups have a live leader elsewhere,
// so that case has to be cheap.
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

// rank is this node's position in the group's rendezvous order, as a factor for delayPerRank.
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
		return reasonRepair, delayRepair
	case kept < len(record.Members) && len(next) > kept:
		// A lost member is replaced as soon as at least one new member is available, even if
		// the group gets smaller. Without any, shrinking the group would gain nothing.
		return reasonRepair, delayRepair
	case len(next) > len(record.Members):
		return reasonImprove, delayRepair
	case ZoneCount(m.rebalanceZones(id, record, candidates)) > ZoneCount(record.Members):
		return reasonImprove, delayZones
	}
	return reasonNone, 0
}

// rebalanceZones returns the members that spread over more zones: where several members share a
// zone, all but the first are open for replacement.
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

// hasPersisted reports whether the same reason for a change has been seen for at least delay.
func (m *Manager) hasPersisted(id string, found reason, delay time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found == reasonNone {
		delete(m.pending, id)
		return false
	}
	known, exists := m.pending[id]
	if !exists || known.reason != found {
		m.pending[id] = pendingChange{reason: found, since: time.Now()}
		return false
	}
	return time.Since(known.since) >= delay
}

// changeMembers changes a group's members. It reads the table first: while the table is
// unavailable no new epoch can begin, so the current one must not be ended.
func (m *Manager) changeMembers(ctx context.Context, id string, found reason) error {
	record, err := m.records.get(ctx, id)
	if err != nil {
		return err
	}
	if active := m.host.Replica(id); record.has(m.self.ID) && (active == nil || active.Config().Epoch < record.Epoch) {
		m.host.ApplyRecord(record) // this node missed the table's decision
		return nil
	}
	if found == reasonMissing && m.hasLeader(ctx, record) {
		return nil // only this node hadn't learned of the leader
	}
	candidates := m.cluster.Candidates()
	current := record.Members
	if found == reasonImprove {
		current = m.rebalanceZones(id, record, candidates)
	}
	next := ChooseMembers(id, current, candidates)
	if len(next) == 0 {
		return result.New(result.PeerUnavailable, "no node can be a member of group %s", id)
	}
	return m.reconfigure(ctx, record, next)
}

// hasLeader asks a group's members whether they know a leader of the record's epoch.
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
