package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/result"
)

// Methods of the peer protocol.
const (
	MethodPull peer.Method = "catalog.pull"
	MethodPush peer.Method = "catalog.push"
)

type pullRequest struct {
	Have uint64 `json:"have"`
}

type pullResponse struct {
	Revision uint64  `json:"revision"`
	Deltas   []Delta `json:"deltas,omitempty"`
	// Snapshot is the whole encoded catalog, where the changes are not kept.
	Snapshot []byte `json:"snapshot,omitempty"`
}

// pushNotice carries one change down the tree.
type pushNotice struct {
	Delta Delta `json:"delta"`
	// Source is the address of the node that accepted the change.
	Source string `json:"source"`
	// Below are the addresses that the receiver passes the change on to.
	Below []string `json:"below,omitempty"`
}

const (
	// fanOut is the number of children of a node in the push tree: 370 nodes are
	// reached in three steps.
	fanOut        = 8
	pullTimeout   = 2 * time.Second
	pushTimeout   = time.Second
	retryAfterLag = 500 * time.Millisecond
	// pullPause keeps a node from pulling once for each peer that is ahead.
	pullPause = 100 * time.Millisecond
	// catchUpSample is the number of nodes that a starting one asks.
	catchUpSample = 9
)

// Service accepts changes and keeps this node's revision up to date.
type Service struct {
	manager *Manager
	store   *Store
	client  *peer.Client
	log     logrus.FieldLogger
	address string
	// peers returns the addresses of all other nodes believed alive.
	peers func() []string
	// behind wakes the puller with the address of a node that is ahead.
	behind chan string
}

// NewService returns the service of a node with the given peer address.
func NewService(manager *Manager, store *Store, client *peer.Client, log logrus.FieldLogger, address string, peers func() []string) *Service {
	return &Service{manager: manager, store: store, client: client, log: log, address: address, peers: peers, behind: make(chan string, 1)}
}

// Register serves the protocol.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, MethodPull, func(_ context.Context, _ peer.Identity, request pullRequest) (pullResponse, error) {
		return s.manager.UpdatesSince(request.Have)
	})
	peer.Handle(server, MethodPush, func(ctx context.Context, _ peer.Identity, notice pushNotice) (struct{}, error) {
		return struct{}{}, s.receivePush(ctx, notice)
	})
}

// ObserveRevision notes the revision of another node.
func (s *Service) ObserveRevision(address string, revision uint64) {
	if revision <= s.manager.Revision() {
		return
	}
	select {
	case s.behind <- address:
	default:
	}
}

// Run pulls from nodes that are ahead, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.behind:
			if err := s.pull(ctx, address); err != nil && ctx.Err() == nil {
				s.log.WithError(err).WithField("peer_address", address).Warn("could not read the configuration from a peer")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pullPause):
		}
	}
}

func (s *Service) pull(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response pullResponse
	if err := s.client.Call(callCtx, address, MethodPull, pullRequest{Have: s.manager.Revision()}, &response); err != nil {
		return err
	}
	if response.Snapshot != nil {
		source, err := decodeCatalog(response.Snapshot)
		if err != nil {
			return err
		}
		return s.manager.InstallSnapshot(response.Revision, source)
	}
	return s.installAll(response.Deltas)
}

func (s *Service) installAll(deltas []Delta) error {
	for _, delta := range deltas {
		if complete, err := s.manager.InstallDelta(delta); err != nil || !complete {
			return err
		}
	}
	return nil
}

func (s *Service) receivePush(ctx context.Context, notice pushNotice) error {
	s.passOn(ctx, notice.Delta, notice.Source, notice.Below)
	complete, err := s.manager.InstallDelta(notice.Delta)
	if err == nil && !complete {
		s.ObserveRevision(notice.Source, notice.Delta.Revision)
	}
	return err
}

// passOn sends a change to the heads of up to fanOut equal parts of targets,
// each with the rest of its part.
func (s *Service) passOn(ctx context.Context, delta Delta, source string, targets []string) {
	if len(targets) == 0 {
		return
	}
	size := (len(targets) + fanOut - 1) / fanOut
	for part := range slices.Chunk(targets, size) {
		go func() {
			pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
			defer cancel()
			notice := pushNotice{Delta: delta, Source: source, Below: part[1:]}
			err := s.client.Call(pushCtx, part[0], MethodPush, notice, nil)
			if err != nil && len(part) > 1 {
				// The head of the part is gone: its children move up.
				s.passOn(ctx, delta, source, part[1:])
			}
		}()
	}
}

// Load brings this node up to the newest accepted revision from the table
// service and the object store.
func (s *Service) Load(ctx context.Context) error {
	revision, snapshot, err := s.store.Head(ctx)
	if err != nil {
		return err
	}
	if snapshot > s.manager.Revision() {
		source, err := s.store.Snapshot(ctx, snapshot)
		if err != nil {
			return err
		}
		if err := s.manager.InstallSnapshot(snapshot, source); err != nil {
			return err
		}
	}
	for s.manager.Revision() < revision {
		before := s.manager.Revision()
		deltas, err := s.store.Deltas(ctx, before+1)
		if err != nil {
			return err
		}
		if err := s.installAll(deltas); err != nil {
			return err
		}
		if s.manager.Revision() == before {
			return result.New(result.TableUnavailable, "the table has head %d but no revision %d", revision, before+1)
		}
	}
	return nil
}

// CatchUp brings a starting node up to the table's revision. While the table is
// down, it asks a sample of the other nodes instead, and needs a majority of the
// sample to answer: all of them would be a storm when many nodes start.
func (s *Service) CatchUp(ctx context.Context) error {
	tableErr := s.Load(ctx)
	if tableErr == nil {
		return nil
	}
	peers := s.peers()
	if len(peers) == 0 {
		return tableErr
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), catchUpSample)]
	answered := 0
	for _, address := range peers {
		if s.pull(ctx, address) == nil {
			answered++
		}
	}
	if answered*2 <= len(peers) {
		return result.New(result.NotConfigured, "the table is down (%v) and only %d of %d peers told their revision", tableErr, answered, len(peers))
	}
	return nil
}

// Apply makes a change. The change is in force at this node when Apply returns
// without an error, and is on its way to the others.
func (s *Service) Apply(ctx context.Context, request *tinarchv1.ApplyRequest) (uint64, error) {
	if request.GetOperationId() == "" {
		return 0, result.New(result.InvalidRequest, "operation_id is empty; choose a random one for each change")
	}
	delta, err := encodeDelta(request)
	if err != nil {
		return 0, err
	}
	if request.GetExpectedRevision() > s.manager.Revision() {
		if err := s.Load(ctx); err != nil {
			return 0, err
		}
	}
	current := s.manager.Current()
	if request.GetExpectedRevision() != current.Revision {
		return s.applyStale(ctx, request, delta, current.Revision)
	}
	next, err := merge(current.Catalog, delta)
	if err != nil {
		return 0, err
	}
	if violations := catalog.Validate(next); len(violations) > 0 {
		return 0, violations
	}
	snapshot, err := s.saveSnapshot(ctx, current)
	if err != nil {
		return 0, err
	}
	revision, err := s.store.Accept(ctx, delta, snapshot)
	if err != nil {
		return 0, s.describeConflict(ctx, err)
	}
	if revision != delta.Revision {
		return revision, nil // accepted earlier, as another revision
	}
	if complete, err := s.manager.InstallDelta(delta); err != nil || !complete {
		return revision, s.Load(ctx)
	}
	s.passOn(ctx, delta, s.address, s.peers())
	return revision, nil
}

// applyStale handles a change against a revision that is not current. It may be
// the repetition of one that was accepted.
func (s *Service) applyStale(ctx context.Context, request *tinarchv1.ApplyRequest, delta Delta, current uint64) (uint64, error) {
	revision, err := s.store.Operation(ctx, delta.Operation, delta.Change)
	if err == nil {
		return revision, nil
	}
	if !errors.Is(err, table.ErrNotFound) {
		return 0, err
	}
	conflict := result.New(result.RevisionConflict, "the change was made against revision %d, revision %d is in force; read it and apply again",
		request.GetExpectedRevision(), current)
	conflict.Revision = current
	return 0, conflict
}

func (s *Service) describeConflict(ctx context.Context, err error) error {
	failure := result.From(err)
	if failure.Code != result.RevisionConflict {
		return err
	}
	if loadErr := s.Load(ctx); loadErr != nil {
		s.log.WithError(loadErr).Warn("could not read the configuration after a conflict")
	}
	conflict := *failure
	conflict.Revision = s.manager.Revision()
	return &conflict
}

// saveSnapshot writes a snapshot of the current revision when the last one is
// old, and returns the revision of the newest snapshot. A failure to write it
// only means that starting nodes read more changes.
func (s *Service) saveSnapshot(ctx context.Context, current *catalog.Snapshot) (uint64, error) {
	_, newest, err := s.store.Head(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision < newest+snapshotEvery {
		return newest, nil
	}
	if err := s.store.SaveSnapshot(ctx, current.Revision, current.Catalog); err != nil {
		s.log.WithError(err).WithField("revision", current.Revision).Warn("could not save a snapshot of the configuration")
		return newest, nil
	}
	return current.Revision, nil
}

// encodeDelta encodes a change without what only concerns its delivery.
func encodeDelta(request *tinarchv1.ApplyRequest) (Delta, error) {
	stored := &tinarchv1.ApplyRequest{Put: request.GetPut(), Delete: request.GetDelete(), Replace: request.GetReplace()}
	change, err := proto.MarshalOptions{Deterministic: true}.Marshal(stored)
	if err != nil {
		return Delta{}, result.Wrap(err, result.InvalidRequest, "the change can't be encoded")
	}
	return Delta{
		Revision:  request.GetExpectedRevision() + 1,
		Operation: operationName(request.GetOperationId()),
		Change:    change,
	}, nil
}

// operationName bounds the length of the stored name.
func operationName(id string) string {
	const longest = 128
	if len(id) <= longest {
		return id
	}
	return fingerprint([]byte(id))
}
