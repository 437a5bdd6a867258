// Package duty defines the types for duties, that is, operations on the platform's API that
// only one node at a time may carry out.
package duty

import "time"

// TCPUserTimeout is how long the kernel keeps retransmitting unacknowledged data on connections
// that carry such operations. It aborts the connection after that, even while this process is
// frozen. The time allows more than three retransmissions over the longest route (24 ms round
// trip between regions).
const TCPUserTimeout = time.Second

// LeaseToken names the node that holds the lease and the fence of the lease. It accompanies
// each operation. A platform that compares fences refuses a lower fence than it has seen for
// the same duty. With a platform that doesn't, the caller's context ends with the lease, and
// nothing may be sent after that.
//
// Holder is the node's name. The lease's row and orders to engines have its incarnation
// instead.
type LeaseToken struct {
	Holder string
	Fence  uint64
}

// Verdict is the outcome of an operation as given by the platform's answer.
type Verdict string

// The outcomes of an operation.
const (
	// Accepted operations are carried out.
	Accepted Verdict = "accepted"
	// Refused operations are not carried out: the platform has seen a higher fence, or can't do
	// what was requested. The corresponding verdict of engines is stagecontrol.Rejected.
	Refused Verdict = "refused"
	// Throttled operations are not carried out either: there were too many calls at once.
	Throttled Verdict = "throttled"
	// Unknown operations were not answered, and may be carried out later.
	Unknown Verdict = "unknown"
)
