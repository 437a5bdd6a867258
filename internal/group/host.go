package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// Methods of the peer protocol.
const (
	MethodMessage  peer.Method = "group.message"
	MethodSeal     peer.Method = "group.seal"
	MethodPrepare  peer.Method = "group.prepare"
	MethodActivate peer.Method = "group.activate"
)

// sealRequest asks a member to end its part in an epoch. It is refused if the process that gets
// it is not the incarnation it is addressed to.
type sealRequest struct {
	Group  string           `json:"group"`
	Epoch  uint64           `json:"epoch"`
	Member replica.MemberID `json:"member"`
}

type sealResponse struct {
	State replica.State `json:"state"`
	// PromiseMillis is how long the member's last promise to a leader still lasts, rounded up.
	PromiseMillis int64 `json:"promise_ms"`
}

// prepareRequest gives a member of a proposed epoch its initial state.
type prepareRequest struct {
	Config   replica.Config   `json:"config"`
	Member   replica.MemberID `json:"member"`
	Proposal string           `json:"proposal"`
	State    replica.State    `json:"state"`
}

// activateRequest tells a member that the table has accepted an epoch.
type activateRequest struct {
	Record Record           `json:"record"`
	Member replica.MemberID `json:"member"`
}

type acknowledgement struct{}

// Factory creates the state machine of a group and the listener for its leadership on this
// node.
type Factory func(groupID string, handle func() *Replica) (StateMachine, LeadershipListener)

// Host runs this node's members of all groups.
type Host struct {
	self     replica.MemberID
	settings replica.Settings
	factory  Factory
	client   *peer.Client
	log      logrus.FieldLogger
	// addressOf returns the peer address of a member, and false if it is not known.
	addressOf func(replica.MemberID) (string, bool)
	// onLeaderChange is called after this node has seen a group's leader change.
	onLeaderChange func(groupID string)

	mu     sync.Mutex
	groups map[string]*hostedGroup
	closed bool
}

// hostedGroup is a group of which this node is a member, was one, or may become one.
type hostedGroup struct {
	id string
	// switching is held while the member of one epoch is replaced by that of the next.
	switching    sync.Mutex
	active       *Replica
	record       Record
	stateMachine StateMachine
	listener     LeadershipListener
	// prepared holds the proposed epochs that the table has not decided on, by proposal;
	// proposalOrder holds their keys, the oldest first.
	prepared      map[string]prepareRequest
	proposalOrder []string
}

// maxPrepared limits the number of proposed epochs kept for one group.
const maxPrepared = 4

// NewHost returns a host without groups.
func NewHost(self replica.MemberID, settings replica.Settings, factory Factory, client *peer.Client, log logrus.FieldLogger,
	addressOf func(replica.MemberID) (string, bool), onLeaderChange func(string)) *Host {
	return &Host{
		self: self, settings: settings, factory: factory, client: client, log: log,
		addressOf: addressOf, onLeaderChange: onLeaderChange, groups: map[string]*hostedGroup{},
	}
}

// Register registers the handlers of the group protocol.
func (h *Host) Register(server *peer.Server) {
	peer.Handle(server, MethodMessage, func(_ context.Context, _ peer.Identity, message replica.Message) (acknowledgement, error) {
		if active := h.Replica(message.Group); active != nil {
			active.Step(message)
		}
		return acknowledgement{}, nil
	})
	peer.Handle(server, MethodSeal, func(_ context.Context, _ peer.Identity, request sealRequest) (sealResponse, error) {
		return h.seal(request)
	})
	peer.Handle(server, MethodPrepare, func(_ context.Context, _ peer.Identity, request prepareRequest) (acknowledgement, error) {
		return acknowledgement{}, h.prepare(request)
	})
	peer.Handle(server, MethodActivate, func(_ context.Context, _ peer.Identity, request activateRequest) (acknowledgement, error) {
		if request.Member != h.self {
			return acknowledgement{}, wrongIncarnation(request.Member)
		}
		h.ApplyRecord(request.Record)
		return acknowledgement{}, nil
	})
}

func wrongIncarnation(member replica.MemberID) error {
	return result.New(result.IncarnationMismatch, "the message is for incarnation %s, which does not run here", member)
}

// Replica returns this node's active member of a group, or nil.
func (h *Host) Replica(groupID string) *Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[groupID]; g != nil {
		return g.active
	}
	return nil
}

// Replicas returns the active members of all groups on this node.
func (h *Host) Replicas() []*Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	var active []*Replica
	for _, g := range h.groups {
		if g.active != nil {
			active = append(active, g.active)
		}
	}
	return active
}

// StateMachine returns the state machine of a group on this node, or nil.
func (h *Host) StateMachine(groupID string) StateMachine {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[groupID]; g != nil {
		return g.stateMachine
	}
	return nil
}

func (h *Host) group(id string) *hostedGroup {
	g := h.groups[id]
	if g == nil {
		g = &hostedGroup{id: id, prepared: map[string]prepareRequest{}}
		g.stateMachine, g.listener = h.factory(id, func() *Replica { return h.Replica(id) })
		h.groups[id] = g
	}
	return g
}

func (h *Host) seal(request sealRequest) (sealResponse, error) {
	if request.Member != h.self {
		return sealResponse{}, wrongIncarnation(request.Member)
	}
	active := h.Replica(request.Group)
	if active == nil || active.Config().Epoch != request.Epoch {
		return sealResponse{}, result.New(result.NotFound, "epoch %d of group %s is not active here", request.Epoch, request.Group)
	}
	state, promise := active.Seal()
	return sealResponse{State: state, PromiseMillis: promise.Milliseconds() + 1}, nil
}

// prepare stores the initial state of a proposed epoch until the table has decided.
func (h *Host) prepare(request prepareRequest) error {
	if request.Member != h.self {
		return wrongIncarnation(request.Member)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return result.New(result.Stopping, "the node is stopping")
	}
	g := h.group(request.Config.Group)
	if request.Config.Epoch <= g.record.Epoch {
		return result.New(result.RevisionConflict, "epoch %d of group %s is active already", g.record.Epoch, g.id)
	}
	if _, known := g.prepared[request.Proposal]; !known {
		g.proposalOrder = append(g.proposalOrder, request.Proposal)
	}
	g.prepared[request.Proposal] = request
	for len(g.proposalOrder) > maxPrepared {
		delete(g.prepared, g.proposalOrder[0])
		g.proposalOrder = g.proposalOrder[1:]
	}
	return nil
}

// ApplyRecord applies a record that the table has accepted: this node joins the record's epoch,
// or leaves the group if it is not one of the members. Records of earlier epochs are ignored.
func (h *Host) ApplyRecord(record Record) {
	g, initial, former := h.beginSwitch(record)
	if g == nil {
		return
	}
	defer g.switching.Unlock()
	if former != nil {
		former.Close() // stopped before the next epoch uses the state machine
	}
	if !record.has(h.self) {
		return
	}
	next := startReplica(h.self, record.config(), h.settings, initial, g.stateMachine, g.listener, h.send, h.leaderChanged, h.log)
	h.mu.Lock()
	closed := h.closed
	if !closed {
		g.active = next
	}
	h.mu.Unlock()
	if closed {
		next.Close()
	}
}

// beginSwitch makes a record current. It returns the group with its switching lock held, the
// initial state of the new member and the member to stop. It returns no group if there is
// nothing to do.
func (h *Host) beginSwitch(record Record) (*hostedGroup, replica.State, *Replica) {
	h.mu.Lock()
	if h.closed || (!record.has(h.self) && h.groups[record.Group] == nil) {
		h.mu.Unlock()
		return nil, replica.State{}, nil
	}
	g := h.group(record.Group)
	h.mu.Unlock()
	g.switching.Lock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.Epoch <= g.record.Epoch {
		g.switching.Unlock()
		return nil, replica.State{}, nil
	}
	// If this node got no initial state, which is allowed as long as a majority did, it starts
	// empty and the leader sends it a snapshot.
	initial := g.prepared[record.Proposal].State
	former := g.active
	g.record = record
	g.active = nil
	g.prepared, g.proposalOrder = map[string]prepareRequest{}, nil
	return g, initial, former
}

func (h *Host) leaderChanged(r *Replica) { h.onLeaderChange(r.Config().Group) }

// sendTimeout limits the time to connect for one message. Messages may be lost.
const sendTimeout = 300 * time.Millisecond

func (h *Host) send(message replica.Message) {
	address, known := h.addressOf(message.To)
	if !known {
		return
	}
	if h.client.Connected(address) {
		_ = h.client.Notify(context.Background(), address, MethodMessage, message)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = h.client.Notify(ctx, address, MethodMessage, message)
	}()
}

// Records returns the current records of this node's groups.
func (h *Host) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := make([]Record, 0, len(h.groups))
	for _, g := range h.groups {
		if g.record.Epoch > 0 {
			records = append(records, g.record)
		}
	}
	return records
}

// HandOver transfers the leadership of all groups that this node leads to other members.
func (h *Host) HandOver() {
	for _, r := range h.Replicas() {
		r.HandOver()
	}
}

// Close stops all members.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	var active []*Replica
	for _, g := range h.groups {
		if g.active != nil {
			active = append(active, g.active)
			g.active = nil
		}
	}
	h.mu.Unlock()
	for _, r := range active {
		r.Close()
	}
}
