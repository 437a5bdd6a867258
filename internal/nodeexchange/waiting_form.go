package nodeexchange

import (
	"net/netip"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// maxWaitsPerMessage bounds the waiting requests in one message: at some 500 bytes each, they
// stay below maxDatagram.
const maxWaitsPerMessage = 20

// waitMessage is about requests that wait for engines. Nodes tell arbiters which of their
// requests wait, and arbiters tell them what they expect and which engines they grant.
type waitMessage struct {
	// Sent is when the message was sent, in microseconds on the sender's clock.
	Sent    int64        `json:"t,omitempty"`
	Waiters []wireWaiter `json:"q,omitempty"`
	// Ended are requests that wait no longer, and Declined grants that can't be used now.
	Ended    []wireWaitEnd `json:"e,omitempty"`
	Declined []wireWaitEnd `json:"d,omitempty"`
	// Standings answer Waiters.
	Standings []wireStanding `json:"a,omitempty"`
	Grants    []wireGrant    `json:"g,omitempty"`
}

// wireWaiter is a waitlist.Waiter. Times are in milliseconds from the sending of the message.
type wireWaiter struct {
	Number    uint64       `json:"i"`
	Rank      int          `json:"r,omitempty"`
	Tenant    string       `json:"o,omitempty"`
	Tokens    int          `json:"k,omitempty"`
	Need      int64        `json:"d,omitempty"`
	IdleBelow int64        `json:"f,omitempty"`
	Choices   []wireChoice `json:"w"`
}

type wireChoice struct {
	Engine string `json:"w"`
	Latest int64  `json:"l"`
	Here   bool   `json:"h,omitempty"`
}

// wireWaitEnd tells that a request no longer waits, or declines a grant. Engine is the engine
// that is used or declined, empty if none is used, and Serial that of the declined grant.
type wireWaitEnd struct {
	Number uint64 `json:"i"`
	Engine string `json:"w,omitempty"`
	Serial uint64 `json:"s,omitempty"`
}

// wireStanding is a waitlist.Standing, with the wait in milliseconds.
type wireStanding struct {
	Number uint64 `json:"i"`
	Engine string `json:"w,omitempty"`
	Ahead  int    `json:"b,omitempty"`
	Wait   int64  `json:"d,omitempty"`
}

// wireGrant is a waitlist.Grant. Sent is when the request's node last told of it, as in that
// message, and Age the time since it arrived, in milliseconds.
type wireGrant struct {
	Number uint64 `json:"i"`
	Engine string `json:"w"`
	Sent   int64  `json:"t"`
	Age    int64  `json:"a,omitempty"`
	Serial uint64 `json:"s,omitempty"`
}

func renderWaiter(w waitlist.Waiter, now time.Time) wireWaiter {
	rendered := wireWaiter{
		Number: w.ID.Number, Rank: w.Rank, Tenant: w.Tenant, Tokens: w.Tokens, Need: w.Need.Milliseconds(),
		IdleBelow: w.IdleBelow.Milliseconds(),
	}
	for _, choice := range w.Choices {
		rendered.Choices = append(rendered.Choices, wireChoice{
			Engine: choice.Engine, Latest: choice.Latest.Sub(now).Milliseconds(), Here: choice.Here,
		})
	}
	return rendered
}

// waiter decodes a waiting request of another node, whose message was sent at the given time of
// that node's clock.
func (f wireWaiter) waiter(node string, from netip.AddrPort, sent int64, now time.Time) waitlist.Waiter {
	w := waitlist.Waiter{
		ID: waitlist.ID{Node: node, Number: f.Number}, Rank: f.Rank, Tenant: f.Tenant, Tokens: max(f.Tokens, 0),
		Need: milliseconds(f.Need), IdleBelow: milliseconds(f.IdleBelow),
		Address: from, Sent: time.Duration(sent) * time.Microsecond,
	}
	for _, choice := range f.Choices {
		w.Choices = append(w.Choices, waitlist.Choice{
			Engine: choice.Engine, Latest: now.Add(milliseconds(choice.Latest)), Here: choice.Here,
		})
	}
	return w
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
