// Package worker keeps what a node knows of the workers behind it: the platform's
// list, the work that all nodes have placed on them, how fast they read, what
// their caches should hold, and how they answered lately.
package worker

import (
	"strconv"
	"strings"
)

// Stage is what a model engine does.
type Stage string

// The stages of workers.
const (
	// Opaque workers aren't model engines.
	Opaque Stage = ""
	// Prefill engines read prompts.
	Prefill Stage = "prefill"
	// Decode engines write output, and read prompts at a lower pace.
	Decode Stage = "decode"
)

// Worker is one entry of the platform's list.
type Worker struct {
	// ID is that of one start of the worker: its name, and when it was born where it tells
	// (Identity). A worker that starts again under its name knows nothing of before.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining workers get no new requests.
	Draining bool
	// Spot workers may be taken away, all of a zone at once.
	Spot  bool
	Stage Stage
}

// Change is one changed entry of the platform's list.
type Change struct {
	// Name is that of the worker, under which its entry stands.
	Name string
	// Worker is nil where the entry is gone.
	Worker *Worker
	// Unreadable tells that the entry names no worker to use: another writer may have
	// written it.
	Unreadable bool
}

// The form of an identity: the name, and the time of birth in a short form.
const (
	birthSeparator = "@"
	birthBase      = 36
)

// IncarnationID names one start of a worker, born at a Unix time in milliseconds, zero where the
// worker doesn't tell. All that is known of a worker hangs on it, at this node and in what
// nodes tell each other, so that nothing of an earlier start is taken for the later one's.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + birthSeparator + strconv.FormatInt(born, birthBase)
}

// NameOf is the name under which the platform knows a worker.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, birthSeparator)
	return name
}

// BornOf is the Unix time in milliseconds at which a worker was born, zero where it didn't
// tell.
func BornOf(id string) int64 {
	_, birth, _ := strings.Cut(id, birthSeparator)
	born, err := strconv.ParseInt(birth, birthBase, 64)
	if err != nil {
		return 0
	}
	return born
}
