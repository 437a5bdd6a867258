// Package group runs the replica groups of a node. It connects the members of package replica
// to the clock, the network and their state machines, and changes the members of groups with
// the help of the table service.
package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// StateMachine is the state that a group replicates. Calls of its methods don't overlap.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(data []byte) any
	// Snapshot encodes the state.
	Snapshot() []byte
	// Restore replaces the state; empty data is the initial state.
	Restore(data []byte) error
}

// LeadershipListener is told when this node starts and stops leading a group. Its methods must
// not call the Replica, which holds its lock meanwhile.
type LeadershipListener interface {
	// Lead is called when this node leads the group and holds the lease, with the fencing token
	// of the leadership.
	Lead(fence engine.Fence)
	// Follow is called when the leadership has ended or the lease has expired.
	Follow()
}

// proposal is a command that waits to be committed and applied.
type proposal struct {
	term uint64
	done chan any
}

// Replica is this node's member of one group in one epoch.
type Replica struct {
	id             replica.MemberID
	stateMachine   StateMachine
	listener       LeadershipListener
	send           func(replica.Message)
	log            logrus.FieldLogger
	origin         time.Time
	onLeaderChange func(*Replica)
	settings       replica.Settings

	mu        sync.Mutex
	member    *replica.Member
	proposals map[uint64]proposal
	leading   engine.Fence
	leader    replica.MemberID
	stopped   bool

	stop context.CancelFunc
	done chan struct{}
}

// tickEvery is the interval at which a member is told the time.
const tickEvery = 20 * time.Millisecond

// startReplica starts a member. onLeaderChange is called after the leader, or whether this node
// leads, has changed.
func startReplica(id replica.MemberID, config replica.Config, settings replica.Settings, initial replica.State, stateMachine StateMachine,
	listener LeadershipListener, send func(replica.Message), onLeaderChange func(*Replica), log logrus.FieldLogger) *Replica {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		id: id, stateMachine: stateMachine, listener: listener, send: send, origin: time.Now(), onLeaderChange: onLeaderChange, settings: settings,
		log:       log.WithFields(logrus.Fields{"group": config.Group, "epoch": config.Epoch}),
		proposals: map[uint64]proposal{},
		stop:      cancel, done: make(chan struct{}),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.member = replica.New(id, config, settings, initial, 0, random, stateMachine.Snapshot)
	r.withMember(func(time.Duration) {})
	go r.run(ctx)
	return r
}

func (r *Replica) now() time.Duration { return time.Since(r.origin) }

func (r *Replica) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.withMember(func(now time.Duration) { r.member.Tick(now) })
		}
	}
}

// withMember calls change with the lock held, and then applies, sends and reports what follows
// from it.
func (r *Replica) withMember(change func(now time.Duration)) {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	change(r.now())
	messages := r.processReady()
	notify := r.updateLeadership()
	r.mu.Unlock()
	for _, message := range messages {
		r.send(message)
	}
	if notify {
		r.onLeaderChange(r)
	}
}

// processReady applies committed entries and returns the messages to send.
func (r *Replica) processReady() []replica.Message {
	ready := r.member.Ready()
	if ready.Restore != nil {
		if err := r.stateMachine.Restore(ready.Restore.Data); err != nil {
			// A member without a readable state must not vote any more.
			r.log.WithError(err).Error("restoring the group's state failed; this member no longer takes part in its epoch")
			r.member.Seal(r.now())
			return nil
		}
	}
	for _, entry := range ready.Entries {
		var value any
		if entry.Data != nil {
			value = r.stateMachine.Apply(entry.Data)
		}
		r.completeProposal(entry, value)
	}
	r.member.Compact()
	return ready.Messages
}

// completeProposal delivers the result of an applied entry to its proposer. An entry of another
// term at the same index means that the proposal was overwritten by another leader.
func (r *Replica) completeProposal(entry replica.Entry, value any) {
	waiting, exists := r.proposals[entry.Index]
	if !exists {
		return
	}
	delete(r.proposals, entry.Index)
	if waiting.term == entry.Term {
		waiting.done <- value
	}
	close(waiting.done)
}

// updateLeadership tells the listener when leadership starts or ends. It reports whether the
// leader, or whether this node leads, has changed.
func (r *Replica) updateLeadership() bool {
	fence, active := r.member.Fence(r.now())
	if !active {
		fence = 0
	}
	changed := r.leader != r.member.Leader()
	r.leader = r.member.Leader()
	if fence == r.leading {
		return changed
	}
	former := r.leading
	r.leading = fence
	switch {
	case fence != 0:
		r.log.WithField("fence", uint64(fence)).Info("leading the group")
		r.listener.Lead(fence)
	case former != 0 && !r.member.IsLeader():
		r.log.WithField("fence", uint64(former)).Info("no longer leading the group")
		r.failProposals()
		r.listener.Follow()
	case former != 0:
		r.log.WithField("fence", uint64(former)).Warn("the leader lease expired; not acting as leader until it is renewed")
		r.listener.Follow()
	}
	return true
}

// failProposals ends the wait of all proposers without a result: whether their commands will be
// committed is not known here.
func (r *Replica) failProposals() {
	for index, waiting := range r.proposals {
		close(waiting.done)
		delete(r.proposals, index)
	}
}

// Step processes a message from another member.
func (r *Replica) Step(message replica.Message) {
	r.withMember(func(now time.Duration) { r.member.Step(now, message) })
}

// Fence returns the fencing token of this node's leadership, and true while the lease holds. It
// checks the lease against the clock at each call.
func (r *Replica) Fence() (engine.Fence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Fence(r.now())
}

// Leader returns the leader of the group, empty when it is not known.
func (r *Replica) Leader() replica.MemberID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Leader()
}

// Config returns the configuration of the member's epoch.
func (r *Replica) Config() replica.Config { return r.member.Config() }

// Term returns the current term.
func (r *Replica) Term() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Term()
}

// Propose replicates a command and returns its result once it is committed. The error code
// NotLeader proves that the command was not accepted; with PeerUnavailable it may still be
// committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	done := make(chan any, 1)
	accepted := false
	r.withMember(func(now time.Duration) {
		index, term, ok := r.member.Propose(now, data)
		if ok {
			accepted = true
			r.proposals[index] = proposal{term: term, done: done}
		}
	})
	if !accepted {
		return nil, result.New(result.NotLeader, "this node does not lead group %s", r.Config().Group)
	}
	select {
	case value, committed := <-done:
		if !committed {
			return nil, result.New(result.PeerUnavailable, "leadership of group %s changed meanwhile", r.Config().Group)
		}
		return value, nil
	case <-ctx.Done():
		return nil, result.New(result.PeerUnavailable, "group %s did not agree in time", r.Config().Group)
	}
}

// Read calls view while this node holds the lease, so that view sees everything committed.
func (r *Replica) Read(view func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, active := r.member.Fence(r.now()); !active {
		return result.New(result.NotLeader, "this node does not lead group %s", r.member.Config().Group)
	}
	view()
	return nil
}

// HandOver transfers the leadership to another member, if there is one that is up to date.
func (r *Replica) HandOver() {
	r.withMember(func(now time.Duration) { r.member.HandOver(now) })
}

// Seal ends the member's part in its epoch. It returns the member's state, and how long its
// last promise to a leader still lasts.
func (r *Replica) Seal() (replica.State, time.Duration) {
	var state replica.State
	var promise time.Duration
	r.withMember(func(now time.Duration) { state, promise = r.member.Seal(now) })
	return state, promise
}

// Sealed reports whether the member has been sealed.
func (r *Replica) Sealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Sealed()
}

// Close stops the member.
func (r *Replica) Close() {
	r.stop()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.failProposals()
	if r.leading != 0 {
		r.leading = 0
		r.listener.Follow()
	}
}
