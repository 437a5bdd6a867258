// Package rollout accepts changes of the configuration and distributes accepted revisions to
// all nodes. A change is accepted by one transaction in the table service. Nodes then push it
// to each other along a tree; a node that missed it learns of the newer revision from the next
// membership probe and pulls it. A node never goes back to an older revision.
package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/result"
)

// Table is the part of the table service's client that rollout uses.
type Table interface {
	Get(ctx context.Context, key table.Key) (table.Item, error)
	Query(ctx context.Context, partition, from string, limit int) ([]table.Item, error)
	Transact(ctx context.Context, token string, writes []table.Write) error
}

// Objects is the part of the object store's client that rollout uses.
type Objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Delta is one accepted change, which leads from the revision before to Revision.
type Delta struct {
	Revision  uint64 `json:"revision"`
	Operation string `json:"operation"`
	// Change is the encoded ApplyRequest.
	Change []byte `json:"change"`
}

// head is the newest accepted revision. It is stored under one key that every change
// overwrites.
type head struct {
	Revision uint64 `json:"revision"`
	// Snapshot is the revision of the newest snapshot in the object store, zero if there is
	// none.
	Snapshot uint64 `json:"snapshot"`
}

// operation is the stored record of an accepted operation.
type operation struct {
	Revision uint64 `json:"revision"`
	// Fingerprint is the hash of the change, by which the reuse of an operation id for another
	// change is detected.
	Fingerprint string `json:"fingerprint"`
}

const (
	partitionHead       = "config"
	partitionLog        = "config-log"
	partitionOperations = "config-operations"
	sortHead            = "head"

	// snapshotEvery is the number of revisions between snapshots.
	snapshotEvery = 64
	// logPageSize is the number of revisions that one query reads.
	logPageSize = 64
	// maxDeltaBytes keeps a stored change below the table service's limit of 400 KB per item.
	maxDeltaBytes = 350 << 10
)

// Store stores the configuration in the table service and the object store of the deployment.
type Store struct {
	table   Table
	objects Objects
}

// NewStore returns a store.
func NewStore(tableClient Table, objectClient Objects) *Store {
	return &Store{table: tableClient, objects: objectClient}
}

func revisionKey(revision uint64) string { return fmt.Sprintf("%020d", revision) }

func snapshotName(revision uint64) string { return "config/snapshot-" + revisionKey(revision) }

func headKey() table.Key { return table.Key{Partition: partitionHead, Sort: sortHead} }

func operationKey(id string) table.Key {
	return table.Key{Partition: partitionOperations, Sort: id}
}

// Head returns the newest accepted revision and the revision of the newest snapshot.
func (s *Store) Head(ctx context.Context) (revision, snapshot uint64, err error) {
	item, err := s.table.Get(ctx, headKey())
	if errors.Is(err, table.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var stored head
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return 0, 0, result.Wrap(err, result.TableUnavailable, "the stored head of the configuration can't be read")
	}
	return stored.Revision, stored.Snapshot, nil
}

// Snapshot reads a snapshot.
func (s *Store) Snapshot(ctx context.Context, revision uint64) (*tinarchv1.Catalog, error) {
	content, err := s.objects.Get(ctx, snapshotName(revision))
	if err != nil {
		return nil, err
	}
	return decodeCatalog(content)
}

// SaveSnapshot writes a snapshot. The object's name contains the revision, so an object is
// never overwritten with different content.
func (s *Store) SaveSnapshot(ctx context.Context, revision uint64, catalog *tinarchv1.Catalog) error {
	content, err := proto.Marshal(catalog)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding a snapshot")
	}
	return s.objects.Put(ctx, snapshotName(revision), content)
}

// Deltas returns accepted changes in order, starting with the given revision, at most
// logPageSize.
func (s *Store) Deltas(ctx context.Context, from uint64) ([]Delta, error) {
	items, err := s.table.Query(ctx, partitionLog, revisionKey(from), logPageSize)
	if err != nil {
		return nil, err
	}
	deltas := make([]Delta, 0, len(items))
	for _, item := range items {
		var delta Delta
		if err := json.Unmarshal(item.Value, &delta); err != nil {
			return nil, result.Wrap(err, result.TableUnavailable, "stored revision %s can't be read", item.Key.Sort)
		}
		deltas = append(deltas, delta)
	}
	return deltas, nil
}

// Accept stores a change, in one transaction, as the revision after the one it was made
// against. If the operation was accepted before, Accept returns the revision that it got then.
func (s *Store) Accept(ctx context.Context, delta Delta, snapshot uint64) (uint64, error) {
	if len(delta.Change) > maxDeltaBytes {
		return 0, result.New(result.InvalidRequest, "the change has %d bytes, the limit is %d; apply it in parts", len(delta.Change), maxDeltaBytes)
	}
	writes, err := acceptWrites(delta, snapshot)
	if err != nil {
		return 0, err
	}
	err = s.table.Transact(ctx, transactionToken(delta), writes)
	if err == nil {
		return delta.Revision, nil
	}
	if errors.Is(err, table.ErrConflict) || result.CodeOf(err) == result.ApplyUnknown {
		return s.resolveOutcome(ctx, delta, err)
	}
	return 0, err
}

func acceptWrites(delta Delta, snapshot uint64) ([]table.Write, error) {
	headValue, err := json.Marshal(head{Revision: delta.Revision, Snapshot: snapshot})
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encoding the head")
	}
	deltaValue, err := json.Marshal(delta)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encoding a change")
	}
	operationValue, err := json.Marshal(operation{Revision: delta.Revision, Fingerprint: fingerprint(delta.Change)})
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encoding an operation")
	}
	return []table.Write{
		{Item: table.Item{Key: headKey(), Revision: delta.Revision, Value: headValue}, Expected: delta.Revision - 1},
		{Item: table.Item{Key: table.Key{Partition: partitionLog, Sort: revisionKey(delta.Revision)}, Revision: 1, Value: deltaValue}},
		{Item: table.Item{Key: operationKey(delta.Operation), Revision: 1, Value: operationValue}},
	}, nil
}

// resolveOutcome finds out whether an operation was accepted although the transaction failed
// with cause, for instance because its answer was lost or an earlier call had stored the
// operation.
func (s *Store) resolveOutcome(ctx context.Context, delta Delta, cause error) (uint64, error) {
	accepted, err := s.Operation(ctx, delta.Operation, delta.Change)
	if err == nil {
		return accepted, nil
	}
	if !errors.Is(err, table.ErrNotFound) {
		if result.CodeOf(err) == result.OperationMismatch || errors.Is(cause, table.ErrConflict) {
			return 0, err
		}
		return 0, cause
	}
	if errors.Is(cause, table.ErrConflict) {
		return 0, result.New(result.RevisionConflict, "another change was accepted since revision %d; read the configuration again", delta.Revision-1)
	}
	// The write may still take effect, so the missing record proves nothing.
	return 0, cause
}

// Operation returns the revision with which an operation was accepted. It returns
// table.ErrNotFound if no acceptance is stored.
func (s *Store) Operation(ctx context.Context, id string, change []byte) (uint64, error) {
	item, err := s.table.Get(ctx, operationKey(id))
	if err != nil {
		return 0, err
	}
	var stored operation
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return 0, result.Wrap(err, result.TableUnavailable, "stored operation %s can't be read", id)
	}
	if stored.Fingerprint != fingerprint(change) {
		return 0, result.New(result.OperationMismatch, "operation id %q was used for another change; use a new one", id)
	}
	return stored.Revision, nil
}

func fingerprint(change []byte) string {
	digest := sha256.Sum256(change)
	return hex.EncodeToString(digest[:])
}

// transactionToken identifies the attempt to store an operation as one particular revision. The
// same operation against a later revision is a different transaction.
func transactionToken(delta Delta) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s/%d/%s", delta.Operation, delta.Revision, fingerprint(delta.Change)))
	return hex.EncodeToString(digest[:16])
}

func decodeCatalog(content []byte) (*tinarchv1.Catalog, error) {
	catalog := &tinarchv1.Catalog{}
	if err := proto.Unmarshal(content, catalog); err != nil {
		return nil, result.Wrap(err, result.Internal, "a configuration can't be decoded")
	}
	return catalog, nil
}
