// Package worker keeps the registry of a node's workers: the worker list of the platform's
// store, the load that all nodes have placed on each worker, how fast engines read prompts
// (prefill), what their KV caches are predicted to hold, and how requests to them ended lately.
package worker

import (
	"strconv"
	"strings"
)

// Stage is the part of inference that a model engine runs.
type Stage string

// The stages of workers.
const (
	// Opaque workers aren't model engines.
	Opaque Stage = ""
	// Prefill engines read prompts, that is, compute their KV cache.
	Prefill Stage = "prefill"
	// Decode engines generate output. They can read prompts too, but more slowly.
	Decode Stage = "decode"
)

// Worker is one entry of the platform's worker list.
type Worker struct {
	// ID names one incarnation of the worker: its name and, where the worker tells it, its
	// start time (see IncarnationID). A worker that restarts under its name keeps no state of
	// the incarnation before.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining workers get no new requests.
	Draining bool
	// Spot workers may be preempted, all of a zone at once.
	Spot  bool
	Stage Stage
	// Software is the version of the worker's software, empty if the entry doesn't tell it. Versions
	// have no order, and what two of them write into a stream doesn't fit together.
	Software string
}

// Change is one changed entry of the platform's worker list.
type Change struct {
	// Name is the worker's name, which is the key of its entry.
	Name string
	// Worker is nil if the entry was removed.
	Worker *Worker
	// Unreadable is set if the entry describes no usable worker, for example because another
	// program has overwritten it.
	Unreadable bool
}

// An incarnation id is the worker's name, the separator and the start time in base 36.
const (
	birthSeparator = "@"
	birthBase      = 36
)

// IncarnationID returns the id of the incarnation of a worker that started at a Unix time in
// milliseconds, zero if the worker doesn't tell. Everything known about a worker is stored
// under this id, in the registry and in messages between nodes, so that state of an earlier
// incarnation is never taken for that of a later one.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + birthSeparator + strconv.FormatInt(born, birthBase)
}

// NameOf returns the name under which the platform knows a worker, given its incarnation id.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, birthSeparator)
	return name
}

// BornOf returns the Unix time in milliseconds at which an incarnation started, zero if the
// worker didn't tell it.
func BornOf(id string) int64 {
	_, birth, _ := strings.Cut(id, birthSeparator)
	born, err := strconv.ParseInt(birth, birthBase, 64)
	if err != nil {
		return 0
	}
	return born
}
