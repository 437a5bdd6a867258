package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// MethodLeader asks a member which node leads its group.
const MethodLeader peer.Method = "group.leader"

type leaderRequest struct {
	Group string `json:"group"`
}

// Leader is the answer to MethodLeader.
type Leader struct {
	Epoch uint64 `json:"epoch"`
	Term  uint64 `json:"term"`
	// Address is the leader's peer address, empty if no leader is known.
	Address string `json:"address"`
}

// Directory finds the members of groups.
type Directory interface {
	// MemberAddresses returns the known peer addresses of a group's members, the leader's
	// first.
	MemberAddresses(groupID string) []string
}

// Router sends calls to the leader of a group.
type Router struct {
	client    *peer.Client
	directory Directory

	mu        sync.Mutex
	leaders   map[string]Leader
	confirmed map[string]*confirmation
}

// confirmation is the last answer of a node that was asked whether it still leads.
type confirmation struct {
	mu      sync.Mutex
	address string
	at      time.Time
	leads   bool
}

// NewRouter returns a router.
func NewRouter(client *peer.Client, directory Directory) *Router {
	return &Router{client: client, directory: directory, leaders: map[string]Leader{}, confirmed: map[string]*confirmation{}}
}

// RegisterRouting registers the handler of MethodLeader.
func (h *Host) RegisterRouting(server *peer.Server) {
	peer.Handle(server, MethodLeader, func(_ context.Context, _ peer.Identity, request leaderRequest) (Leader, error) {
		return h.leaderOf(request.Group)
	})
}

func (h *Host) leaderOf(groupID string) (Leader, error) {
	active := h.Replica(groupID)
	if active == nil {
		return Leader{}, result.New(result.NotFound, "this node is no member of group %s", groupID)
	}
	answer := Leader{Epoch: active.Config().Epoch, Term: active.Term()}
	if leader := active.Leader(); leader != "" {
		answer.Address, _ = h.memberAddress(groupID, leader)
	}
	return answer, nil
}

func (h *Host) memberAddress(groupID string, id replica.MemberID) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[groupID]; g != nil {
		if member, found := g.record.member(id); found {
			return member.Address, true
		}
	}
	return "", false
}

const (
	retryPause    = 40 * time.Millisecond
	leaderTimeout = 300 * time.Millisecond
)

// Call sends a request to the group's leader. While there is no leader or it doesn't answer,
// Call tries again with the next one until ctx ends. The request may therefore take effect more
// than once and must be idempotent. tryTimeout limits one try; zero means no limit but ctx.
func (r *Router) Call(ctx context.Context, groupID string, method peer.Method, tryTimeout time.Duration, request, response any) error {
	last := result.New(result.NotLeader, "group %s has no known leader", groupID)
	for {
		address := r.Leader(ctx, groupID)
		if address != "" {
			err := r.callOnce(ctx, address, method, tryTimeout, request, response)
			if err == nil || !retriable(err) {
				return err
			}
			last = result.From(err)
			r.Forget(groupID, address)
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryPause + rand.N(retryPause)):
		}
	}
}

func (r *Router) callOnce(ctx context.Context, address string, method peer.Method, timeout time.Duration, request, response any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return r.client.Call(ctx, address, method, request, response)
}

func retriable(err error) bool {
	switch result.CodeOf(err) {
	case result.NotLeader, result.PeerUnavailable, result.Stopping:
		return true
	}
	return false
}

// Leader returns the address of a group's leader, or an empty string if none is found.
func (r *Router) Leader(ctx context.Context, groupID string) string {
	r.mu.Lock()
	known := r.leaders[groupID]
	r.mu.Unlock()
	if known.Address != "" {
		return known.Address
	}
	for _, address := range r.directory.MemberAddresses(groupID) {
		answer, err := r.askLeader(ctx, address, groupID)
		if err == nil && answer.Address != "" {
			r.recordLeader(groupID, answer)
			return answer.Address
		}
	}
	return ""
}

func (r *Router) askLeader(ctx context.Context, address, groupID string) (Leader, error) {
	askCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var answer Leader
	err := r.client.Call(askCtx, address, MethodLeader, leaderRequest{Group: groupID}, &answer)
	return answer, err
}

func (r *Router) recordLeader(groupID string, answer Leader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.leaders[groupID]
	if answer.Epoch > known.Epoch || answer.Epoch == known.Epoch && answer.Term >= known.Term {
		r.leaders[groupID] = answer
	}
}

// Forget drops the cached leader of a group after it didn't act as one.
func (r *Router) Forget(groupID, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.leaders[groupID]; known.Address == address {
		known.Address = ""
		r.leaders[groupID] = known
	}
}

// confirmationTTL is how long a confirmation is reused, so that all callers that wait for the
// same leader share one question.
const confirmationTTL = 300 * time.Millisecond

// Confirm asks whether the node at an address still answers as a group's leader. Callers use it
// during calls that may take long, so as not to wait to the end for a leader that is suspended
// or cut off.
func (r *Router) Confirm(ctx context.Context, groupID, address string) bool {
	r.mu.Lock()
	last := r.confirmed[groupID]
	if last == nil {
		last = &confirmation{}
		r.confirmed[groupID] = last
	}
	r.mu.Unlock()
	last.mu.Lock()
	defer last.mu.Unlock()
	if last.address == address && time.Since(last.at) < confirmationTTL {
		return last.leads
	}
	answer, err := r.askLeader(ctx, address, groupID)
	if ctx.Err() != nil {
		return true // the caller's time is up, which says nothing about the leader
	}
	last.address, last.at = address, time.Now()
	last.leads = err == nil && answer.Address == address
	return last.leads
}

// Members returns the known addresses of a group's members, the leader's first.
func (r *Router) Members(groupID string) []string { return r.directory.MemberAddresses(groupID) }
