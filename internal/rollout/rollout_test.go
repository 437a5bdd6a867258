package rollout

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/platform/objects"
	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/result"
)

type testStores struct {
	table   *platform.Table
	objects *platform.Objects
}

func newTestStores(t *testing.T) *testStores {
	t.Helper()
	tableServer, err := platform.StartTable("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tableServer.Close)
	objectServer, err := platform.StartObjects("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(objectServer.Close)
	return &testStores{tableServer, objectServer}
}

// newService returns the service of a node without peers that uses the stores.
func (stores *testStores) newService(t *testing.T) *Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := NewStore(
		table.New(table.Settings{Endpoint: stores.table.URL(), Region: "r", Table: "t", AccessKey: "a", SecretKey: "s", RequestsPerSecond: 10_000, Total: time.Second}),
		objects.New(objects.Settings{Endpoint: stores.objects.URL(), Region: "r", Bucket: "b", AccessKey: "a", SecretKey: "s", RequestsPerSecond: 10_000}),
	)
	client := peer.NewClient(peer.Identity{Cluster: "c"}, &peer.Counters{}, nil)
	t.Cleanup(client.Close)
	return NewService(NewManager(), store, client, log, "self", func() []string { return nil })
}

func change(operation string, expected uint64, class string) *tinarchv1.ApplyRequest {
	return &tinarchv1.ApplyRequest{
		OperationId: operation, ExpectedRevision: expected,
		Put: &tinarchv1.Catalog{Classes: []*tinarchv1.PriorityClass{{Name: class, Weight: 1}}},
	}
}

func apply(t *testing.T, s *Service, request *tinarchv1.ApplyRequest) uint64 {
	t.Helper()
	revision, err := s.Apply(context.Background(), request)
	if err != nil {
		t.Fatalf("Apply(%s): %v", request.GetOperationId(), err)
	}
	return revision
}

func TestOneOfTwoConcurrentChangesWins(t *testing.T) {
	stores := newTestStores(t)
	first, second := stores.newService(t), stores.newService(t)
	apply(t, first, change("one", 0, "a"))
	_, err := second.Apply(context.Background(), change("two", 0, "b"))
	if failure := result.From(err); failure.Code != result.RevisionConflict || failure.Revision != 1 {
		t.Errorf("the second change: got %v, want RevisionConflict with revision 1", err)
	}
	if second.manager.Current().Class("a") == nil {
		t.Error("the node with the conflict has not installed the accepted change")
	}
	if revision := apply(t, second, change("two", 1, "b")); revision != 2 {
		t.Errorf("accepted as revision %d, want 2", revision)
	}
}

func TestRepeatedOperationIsAppliedOnce(t *testing.T) {
	stores := newTestStores(t)
	s := stores.newService(t)
	apply(t, s, change("one", 0, "a"))
	apply(t, s, change("other", 1, "b"))
	if revision := apply(t, stores.newService(t), change("one", 0, "a")); revision != 1 {
		t.Errorf("the repeated operation has revision %d, want 1", revision)
	}
	_, err := s.Apply(context.Background(), change("one", 2, "c"))
	if result.CodeOf(err) != result.OperationMismatch {
		t.Errorf("operation id reused for another change: got %v, want OperationMismatch", err)
	}
}

func TestLostTableReplyIsResolved(t *testing.T) {
	stores := newTestStores(t)
	s := stores.newService(t)
	stores.table.SetFaults(platform.Faults{LoseAnswers: 1})
	if revision := apply(t, s, change("one", 0, "a")); revision != 1 {
		t.Errorf("accepted as revision %d, want 1", revision)
	}
	if s.manager.Revision() != 1 {
		t.Error("the change is not in force")
	}
}

func TestUnavailableTableRefusesChanges(t *testing.T) {
	stores := newTestStores(t)
	s := stores.newService(t)
	stores.table.SetFaults(platform.Faults{Down: true})
	_, err := s.Apply(context.Background(), change("one", 0, "a"))
	if result.CodeOf(err) != result.TableUnavailable {
		t.Errorf("got %v, want TableUnavailable", err)
	}
	if s.manager.Revision() != 0 {
		t.Error("a refused change is in force")
	}
}

func TestInvalidChangeIsRefusedWhole(t *testing.T) {
	s := newTestStores(t).newService(t)
	request := change("one", 0, "a")
	request.Put.Kinds = []*tinarchv1.RequestKind{{Name: "k", Model: "none"}}
	_, err := s.Apply(context.Background(), request)
	if result.CodeOf(err) != result.InvalidCatalog || s.manager.Revision() != 0 {
		t.Errorf("got %v and revision %d, want InvalidCatalog and revision 0", err, s.manager.Revision())
	}
}

func TestStartingNodeReadsSnapshotAndChanges(t *testing.T) {
	stores := newTestStores(t)
	s := stores.newService(t)
	const count = snapshotEvery + 10
	for i := range uint64(count) {
		apply(t, s, change(revisionKey(i), i, "class-"+revisionKey(i)))
	}
	fresh := stores.newService(t)
	if err := fresh.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	if fresh.manager.Revision() != count || len(fresh.manager.Current().Catalog.GetClasses()) != count {
		t.Errorf("revision %d with %d classes, want %d of both", fresh.manager.Revision(), len(fresh.manager.Current().Catalog.GetClasses()), count)
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := newTestStores(t).newService(t)
	apply(t, s, change("one", 0, "a"))
	apply(t, s, change("two", 1, "b"))
	old, err := encodeDelta(change("late", 0, "z"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.manager.InstallDelta(old); err != nil {
		t.Fatal(err)
	}
	if err := s.manager.InstallSnapshot(1, &tinarchv1.Catalog{}); err != nil {
		t.Fatal(err)
	}
	if s.manager.Revision() != 2 || s.manager.Current().Class("z") != nil {
		t.Errorf("revision %d or class z after installing older revisions, want 2 without z", s.manager.Revision())
	}
}
