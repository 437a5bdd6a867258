// Package worker keeps what a node knows of the workers behind it: the platform's
// list, the work that all nodes have placed on them, how fast they read, what
// their caches should hold, and how they answered lately.
package worker

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
	// ID is new at each start of the worker.
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
	ID string
	// Worker is nil where the entry is gone.
	Worker *Worker
}
