package cell

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/tinarch/tinarch/internal/result"
)

// registry is the replicated state of a cell: which engines operators have drained. Drains must
// survive a change of leader; everything else is read again from the engines.
type registry struct {
	mu      sync.Mutex
	drained map[string]bool
}

// registryCommand changes the registry.
type registryCommand struct {
	Drain   string `json:"drain,omitempty"`
	Undrain string `json:"undrain,omitempty"`
}

func newRegistry() *registry { return &registry{drained: map[string]bool{}} }

// Apply executes a committed command.
func (r *registry) Apply(data []byte) any {
	var command registryCommand
	if err := json.Unmarshal(data, &command); err != nil {
		return result.New(result.Internal, "a cell command can't be read: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if command.Drain != "" {
		r.drained[command.Drain] = true
	}
	delete(r.drained, command.Undrain)
	return nil
}

// Snapshot encodes the names of the drained engines.
func (r *registry) Snapshot() []byte {
	data, err := json.Marshal(r.Drained())
	if err != nil {
		panic(err) // a list of strings can always be encoded
	}
	return data
}

// Restore replaces the state by that of a snapshot; empty data means that no engine is drained.
func (r *registry) Restore(data []byte) error {
	var names []string
	if len(data) > 0 {
		if err := json.Unmarshal(data, &names); err != nil {
			return result.Wrap(err, result.Internal, "a cell snapshot can't be read")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = map[string]bool{}
	for _, name := range names {
		r.drained[name] = true
	}
	return nil
}

// Drained returns the names of the engines that operators have drained, sorted.
func (r *registry) Drained() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.drained))
}

// NoOpCommand returns a command that changes nothing. A cell whose replicated state was lost
// needs no other: it reads its engines again, and operators must repeat their drains.
func NoOpCommand() []byte { return []byte("{}") }
