package rollout

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/result"
)

// maxRecentChanges is the number of changes that are kept in memory for peers with an older
// revision.
const maxRecentChanges = 256

// Manager holds the revision that is in force at this node.
type Manager struct {
	mu       sync.Mutex
	current  *catalog.Snapshot
	recent   []Delta
	changed  chan struct{}
	watchers []func(*catalog.Snapshot)
}

// NewManager returns a manager with revision zero, the empty configuration.
func NewManager() *Manager {
	empty, err := catalog.Compile(0, &tinarchv1.Catalog{})
	if err != nil {
		panic(err) // the empty catalog is valid
	}
	return &Manager{current: empty, changed: make(chan struct{})}
}

// OnChange registers a function to be called with each new revision, in order. It must be
// called before the first change is installed.
func (m *Manager) OnChange(watch func(*catalog.Snapshot)) { m.watchers = append(m.watchers, watch) }

// Current returns the revision in force.
func (m *Manager) Current() *catalog.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Revision returns the number of the revision in force.
func (m *Manager) Revision() uint64 { return m.Current().Revision }

// Changed returns the number of the revision in force, and a channel that is closed when a
// newer one is installed.
func (m *Manager) Changed() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Revision, m.changed
}

// WaitFor waits until the given revision or a newer one is in force.
func (m *Manager) WaitFor(ctx context.Context, revision uint64) error {
	for {
		current, changed := m.Changed()
		if current >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.NotConfigured, "revision %d is not in force here yet, %d is", revision, current).WithRetryAfter(staleRetryAfter)
		}
	}
}

// InstallSnapshot puts a complete configuration in force if it is newer than the current one.
func (m *Manager) InstallSnapshot(revision uint64, source *tinarchv1.Catalog) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.current.Revision {
		return nil
	}
	return m.install(revision, source, nil)
}

// InstallDelta puts the change that follows the current revision in force. It returns false if
// revisions between the two are missing, and ignores a change that is not newer.
func (m *Manager) InstallDelta(delta Delta) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.current.Revision {
		return true, nil
	}
	if delta.Revision != m.current.Revision+1 {
		return false, nil
	}
	next, err := merge(m.current.Catalog, delta)
	if err != nil {
		return false, err
	}
	return true, m.install(delta.Revision, next, &delta)
}

func (m *Manager) install(revision uint64, source *tinarchv1.Catalog, delta *Delta) error {
	compiled, err := catalog.Compile(revision, source)
	if err != nil {
		return err
	}
	m.current = compiled
	if delta == nil {
		m.recent = nil
	} else {
		m.recent = append(m.recent, *delta)
		m.recent = m.recent[max(0, len(m.recent)-maxRecentChanges):]
	}
	close(m.changed)
	m.changed = make(chan struct{})
	for _, watch := range m.watchers {
		watch(compiled)
	}
	return nil
}

// UpdatesSince returns what a peer with the given revision is missing: the changes if all of
// them are still kept, or else a snapshot.
func (m *Manager) UpdatesSince(revision uint64) (pullResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := pullResponse{Revision: m.current.Revision}
	if revision >= m.current.Revision {
		return response, nil
	}
	missing := int(m.current.Revision - revision)
	if missing <= len(m.recent) {
		response.Deltas = append(response.Deltas, m.recent[len(m.recent)-missing:]...)
		return response, nil
	}
	snapshot, err := proto.Marshal(m.current.Catalog)
	if err != nil {
		return response, result.Wrap(err, result.Internal, "encoding a snapshot")
	}
	response.Snapshot = snapshot
	return response, nil
}

// merge returns the catalog that results from a change.
func merge(current *tinarchv1.Catalog, delta Delta) (*tinarchv1.Catalog, error) {
	request := &tinarchv1.ApplyRequest{}
	if err := proto.Unmarshal(delta.Change, request); err != nil {
		return nil, result.Wrap(err, result.Internal, "revision %d can't be decoded", delta.Revision)
	}
	return catalog.Merge(current, catalog.Change{Put: request.GetPut(), Delete: request.GetDelete(), Replace: request.GetReplace()})
}
