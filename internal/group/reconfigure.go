package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	callTimeout = time.Second
	// reconfigureTimeout limits one attempt to change a group's members.
	reconfigureTimeout = 10 * time.Second
)

// reconfigure makes next the members of a group, in five steps: seal a majority of the old
// epoch, so that it can no longer commit anything; wait until no lease of the old epoch can
// hold any more; send the newest sealed state to a majority of the new members; have the table
// accept the new record; tell all old and new members. Each step may be repeated, and several
// nodes may try at the same time: the table accepts only one of them.
func (m *Manager) reconfigure(ctx context.Context, former Record, next []Member) error {
	ctx, cancel := context.WithTimeout(ctx, reconfigureTimeout)
	defer cancel()
	state, stateLost, err := m.sealEpoch(ctx, former)
	if err != nil {
		return err
	}
	if stateLost {
		command, err := m.stateLossCommand(former.Group)
		if err != nil {
			return err
		}
		state.Term++
		state.Entries = append(state.Entries, replica.Entry{Term: state.Term, Index: state.LastIndex() + 1, Data: command})
	}
	record := Record{
		Group:    former.Group,
		Epoch:    max(former.Epoch+1, m.cluster.MinEpoch(former.Group)),
		Members:  next,
		Proposal: string(engine.NewIdentifier()),
	}
	if err := m.prepareEpoch(ctx, record, state); err != nil {
		return err
	}
	if err := m.records.put(ctx, record, former.Epoch); err != nil {
		return err
	}
	// The log line means that a new epoch has begun. Its members are the same as before if only
	// the epoch had to rise. memory_lost says whether the group's replicated state was lost.
	m.log.WithFields(logrus.Fields{"group": record.Group, "epoch": record.Epoch, "members": nodeNames(next), "memory_lost": stateLost}).
		Info("group has new members")
	m.host.ApplyRecord(record)
	m.activateEpoch(ctx, former, record)
	return nil
}

func nodeNames(members []Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Node
	}
	return names
}

// sealAnswer is the answer of one member to a request to seal it.
type sealAnswer struct {
	member Member
	state  replica.State
	wait   time.Duration
	err    error
}

// sealEpoch seals a majority of an epoch and returns its newest state, after the last lease
// that may still hold has expired. If a majority can't be sealed but every other member is
// proved to have ended, the epoch can't commit anything either; its state is lost then, which
// stateLost reports.
func (m *Manager) sealEpoch(ctx context.Context, former Record) (state replica.State, stateLost bool, err error) {
	if former.Epoch == 0 {
		return replica.State{}, false, nil
	}
	answers := m.sealMembers(ctx, former)
	var longest time.Duration
	count, gone := 0, 0
	for _, answer := range answers {
		switch {
		case answer.err == nil:
			count++
			longest = max(longest, answer.wait)
			if count == 1 || answer.state.Newer(state) {
				state = answer.state
			}
			state.Term = max(state.Term, answer.state.Term)
		case m.hasEnded(answer.member):
			gone++
		}
	}
	if count < former.majority() {
		if count+gone < len(former.Members) {
			return state, false, result.New(result.PeerUnavailable,
				"group %s: %d of %d members sealed and %d proved gone; a majority sealed, or all accounted for, is needed",
				former.Group, count, len(former.Members), gone)
		}
		stateLost = true
	}
	select {
	case <-time.After(longest):
		return state, stateLost, nil
	case <-ctx.Done():
		return state, stateLost, ctx.Err()
	}
}

func (m *Manager) sealMembers(ctx context.Context, former Record) []sealAnswer {
	answers := make([]sealAnswer, len(former.Members))
	var group sync.WaitGroup
	for i, member := range former.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[i] = m.sealMember(ctx, former, member)
		}()
	}
	group.Wait()
	return answers
}

func (m *Manager) sealMember(ctx context.Context, former Record, member Member) sealAnswer {
	request := sealRequest{Group: former.Group, Epoch: former.Epoch, Member: member.ID}
	var response sealResponse
	var err error
	if member.ID == m.self.ID {
		response, err = m.host.seal(request)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = m.client.Call(callCtx, member.Address, MethodSeal, request, &response)
	}
	wait := time.Duration(response.PromiseMillis) * time.Millisecond
	return sealAnswer{member: member, state: response.State, wait: wait, err: err}
}

// prepareEpoch sends the state to the new members. A majority must have taken it. The others
// start empty and can't win an election until the leader has sent them the state.
func (m *Manager) prepareEpoch(ctx context.Context, record Record, state replica.State) error {
	errs := make([]error, len(record.Members))
	var group sync.WaitGroup
	for i, member := range record.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			request := prepareRequest{Config: record.config(), Member: member.ID, Proposal: record.Proposal, State: state}
			if member.ID == m.self.ID {
				errs[i] = m.host.prepare(request)
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			errs[i] = m.client.Call(callCtx, member.Address, MethodPrepare, request, nil)
		}()
	}
	group.Wait()
	prepared := 0
	var last error
	for _, err := range errs {
		if err == nil {
			prepared++
		} else {
			last = err
		}
	}
	if prepared < record.majority() {
		return result.Wrap(last, result.PeerUnavailable, "group %s: only %d of %d new members took the state", record.Group, prepared, len(record.Members))
	}
	return nil
}

// activateEpoch tells old and new members that the table has accepted the record. A member that
// misses this learns of the epoch from the group records that nodes exchange, and then reads
// the table.
func (m *Manager) activateEpoch(ctx context.Context, former, record Record) {
	notified := map[replica.MemberID]bool{m.self.ID: true}
	for _, member := range append(append([]Member(nil), record.Members...), former.Members...) {
		if notified[member.ID] {
			continue
		}
		notified[member.ID] = true
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			_ = m.client.Call(callCtx, member.Address, MethodActivate, activateRequest{Record: record, Member: member.ID}, nil)
		}()
	}
}
