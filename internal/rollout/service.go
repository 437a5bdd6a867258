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
	// Snapshot is the complete encoded catalog, set if some of the missing changes are no
	// longer kept.
	Snapshot []byte `json:"snapshot,omitempty"`
}

// pushNotice sends one change to a node of the push tree.
type pushNotice struct {
	Delta Delta `json:"delta"`
	// Source is the address of the node that accepted the change.
	Source string `json:"source"`
	// Below are the addresses of the nodes below the receiver, to which it forwards the change.
	Below []string `json:"below,omitempty"`
}

const (
	// fanOut is the number of children of a node in the push tree. With 8, a change reaches 370
	// nodes in three steps.
	fanOut          = 8
	pullTimeout     = 2 * time.Second
	pushTimeout     = time.Second
	staleRetryAfter = 500 * time.Millisecond
	// minPullInterval prevents a node that is behind from pulling from every peer that is ahead
	// in quick succession.
	minPullInterval = 100 * time.Millisecond
	// catchUpSample is the number of peers that a starting node asks while the table service is
	// down.
	catchUpSample = 9
)

// Service accepts changes of the configuration and keeps this node at the newest revision.
type Service struct {
	manager *Manager
	store   *Store
	client  *peer.Client
	log     logrus.FieldLogger
	address string
	// peers returns the addresses of all other nodes that are believed to be alive.
	peers func() []string
	// aheadPeers passes Run the address of a node with a newer revision. It holds one address;
	// others are dropped, since every probe reports the revision again.
	aheadPeers chan string
}

// NewService returns the service of a node with the given peer address.
func NewService(manager *Manager, store *Store, client *peer.Client, log logrus.FieldLogger, address string, peers func() []string) *Service {
	return &Service{manager: manager, store: store, client: client, log: log, address: address, peers: peers, aheadPeers: make(chan string, 1)}
}

// Register registers the handlers of the peer protocol.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, MethodPull, func(_ context.Context, _ peer.Identity, request pullRequest) (pullResponse, error) {
		return s.manager.UpdatesSince(request.Have)
	})
	peer.Handle(server, MethodPush, func(ctx context.Context, _ peer.Identity, notice pushNotice) (struct{}, error) {
		return struct{}{}, s.receivePush(ctx, notice)
	})
}

// ObserveRevision is called with the revision that another node has reported. If it is newer,
// Run pulls from that node.
func (s *Service) ObserveRevision(address string, revision uint64) {
	if revision <= s.manager.Revision() {
		return
	}
	select {
	case s.aheadPeers <- address:
	default:
	}
}

// Run pulls changes from nodes with a newer revision, until ctx is done.
func (s *Service) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.aheadPeers:
			if err := s.pull(ctx, address); err != nil && ctx.Err() == nil {
				s.log.WithError(err).WithField("peer_address", address).Warn("could not read the configuration from a peer")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPullInterval):
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
	s.forward(ctx, notice.Delta, notice.Source, notice.Below)
	complete, err := s.manager.InstallDelta(notice.Delta)
	if err == nil && !complete {
		s.ObserveRevision(notice.Source, notice.Delta.Revision)
	}
	return err
}

// forward divides targets into up to fanOut subtrees of equal size and sends the change to the
// first node of each, which forwards it to the rest of its subtree.
func (s *Service) forward(ctx context.Context, delta Delta, source string, targets []string) {
	if len(targets) == 0 {
		return
	}
	size := (len(targets) + fanOut - 1) / fanOut
	for subtree := range slices.Chunk(targets, size) {
		go func() {
			pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
			defer cancel()
			notice := pushNotice{Delta: delta, Source: source, Below: subtree[1:]}
			err := s.client.Call(pushCtx, subtree[0], MethodPush, notice, nil)
			if err != nil && len(subtree) > 1 {
				// The first node does not answer, so this node serves its subtree directly.
				s.forward(ctx, delta, source, subtree[1:])
			}
		}()
	}
}

// Load brings this node to the newest accepted revision, from the table service and the object
// store.
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
			// The table service has the head (the newest accepted revision), but its log of
			// changes lacks the change that follows this node's revision.
			return result.New(result.TableUnavailable, "the table has head %d but no revision %d", revision, before+1)
		}
	}
	return nil
}

// CatchUp brings a starting node to the newest revision. If the table service is down, it asks
// a random sample of the other nodes instead, and fails unless more than half of the sample
// answer. Asking all nodes would overload them when many nodes start at once.
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
		// The table is the table service, and a peer told its revision if the pull from it
		// succeeded.
		return result.New(result.NotConfigured, "the table is down (%v) and only %d of %d peers told their revision", tableErr, answered, len(peers))
	}
	return nil
}

// Apply validates and stores a change, puts it in force at this node and sends it to the
// others. It returns the revision that the change got. A repetition of an accepted operation
// only returns its revision, which need not be in force at this node yet. If the change can't
// be installed directly, Apply loads the newest revision from the store and sends nothing; the
// other nodes learn of the revision from membership probes, and pull it.
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
	snapshot, err := s.ensureSnapshot(ctx, current)
	if err != nil {
		return 0, err
	}
	revision, err := s.store.Accept(ctx, delta, snapshot)
	if err != nil {
		return 0, s.describeConflict(ctx, err)
	}
	if revision != delta.Revision {
		return revision, nil // an earlier call had stored the operation, with this revision
	}
	if complete, err := s.manager.InstallDelta(delta); err != nil || !complete {
		return revision, s.Load(ctx)
	}
	s.forward(ctx, delta, s.address, s.peers())
	return revision, nil
}

// applyStale handles a change that was made against a revision other than the current one. It
// succeeds if the same operation was accepted before, because then the caller is repeating a
// call whose answer it did not get.
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

// ensureSnapshot saves a snapshot of the current revision if the last one is snapshotEvery or
// more revisions old, and returns the revision of the newest snapshot. If saving fails,
// starting nodes only have to read more changes, so that is logged and not an error.
func (s *Service) ensureSnapshot(ctx context.Context, current *catalog.Snapshot) (uint64, error) {
	_, newestSnapshot, err := s.store.Head(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision < newestSnapshot+snapshotEvery {
		return newestSnapshot, nil
	}
	if err := s.store.SaveSnapshot(ctx, current.Revision, current.Catalog); err != nil {
		s.log.WithError(err).WithField("revision", current.Revision).Warn("could not save a snapshot of the configuration")
		return newestSnapshot, nil
	}
	return current.Revision, nil
}

// encodeDelta encodes a change without the fields that only matter for its acceptance, such as
// the operation id.
func encodeDelta(request *tinarchv1.ApplyRequest) (Delta, error) {
	stored := &tinarchv1.ApplyRequest{Put: request.GetPut(), Delete: request.GetDelete(), Replace: request.GetReplace()}
	change, err := proto.MarshalOptions{Deterministic: true}.Marshal(stored)
	if err != nil {
		return Delta{}, result.Wrap(err, result.InvalidRequest, "the change can't be encoded")
	}
	return Delta{
		Revision:  request.GetExpectedRevision() + 1,
		Operation: storedOperationID(request.GetOperationId()),
		Change:    change,
	}, nil
}

// storedOperationID returns the id under which an operation is stored. It has at most 128
// bytes; a longer operation id is replaced by its hash.
func storedOperationID(id string) string {
	const longest = 128
	if len(id) <= longest {
		return id
	}
	return fingerprint([]byte(id))
}
