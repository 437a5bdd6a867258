// Package duty has the types of acts on the platform's API that fall to one node at a
// time.
package duty

import "time"

// TCPUserTimeout is how long the kernel goes on sending what a peer doesn't acknowledge, on
// connections that carry acts. It ends them also while this process is frozen. It is
// above three resends over the longest way (24 ms there and back between regions).
const TCPUserTimeout = time.Second

// LeaseToken names the node that acts and the fence of its authority. A platform that compares
// fences refuses a lower one than it has seen for the same duty. Before one that doesn't,
// the caller's context ends with the authority, and nothing may leave after that.
type LeaseToken struct {
	Holder string
	Fence  uint64
}

// Verdict is what the platform's answer says.
type Verdict string

// The verdicts.
const (
	// Accepted acts are carried out.
	Accepted Verdict = "accepted"
	// Refused acts are not: the platform has seen a higher fence, or can't do what was
	// asked for.
	Refused Verdict = "refused"
	// Throttled acts are not carried out either: too many calls came at once.
	Throttled Verdict = "throttled"
	// Unknown acts were not answered, and may be carried out later.
	Unknown Verdict = "unknown"
)
