// Package duty has the types of acts on the platform's API that fall to one node at a
// time.
package duty

// Act names the node that acts and the fence of its authority. The platform refuses a
// lower fence than one that it has seen for the same duty.
type Act struct {
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
