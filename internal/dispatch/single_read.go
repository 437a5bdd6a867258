package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/scheduling"
)

// prefixWait is how the wait of a call for a prefix ended, empty if it has not waited. It is a
// label of a metric.
type prefixWait string

const (
	// prefixShared calls found the prefix cached.
	prefixShared prefixWait = "shared"
	// prefixRead calls have it prefilled for themselves.
	prefixRead prefixWait = "read"
	// prefixRefused calls were refused after they had waited.
	prefixRefused prefixWait = "refused"
	// prefixLeft calls ended with their caller or their deadline before they were sent.
	prefixLeft prefixWait = "left"
)

// singleRead reports whether calls like this one wait for a shared prefix that is being
// prefilled.
func (s *session) singleRead() bool { return s.overload.SingleRead(s.call.Service.Name) }

// unreadPrefix returns how many of the unread tokens of the prompt belong to the shared prefix.
func (s *session) unreadPrefix(unread int) int {
	return max(unread-(s.call.PromptTokens-s.call.sharedTokens()), 0)
}

// beginPrefill tells the other nodes that a worker prefills the call's shared prefix, if so much
// of it is unread that others wait for it. The caller must call the returned function when the
// prefill has ended.
func (s *session) beginPrefill(worker string, unread int, expected time.Duration) (end func()) {
	if s.unreadPrefix(unread) < scheduling.MinSharedTokens || !s.singleRead() {
		return func() {}
	}
	return s.registry.BeginPrefill(worker, s.call.Prompt[:len(s.call.Prompt)-1], expected, time.Now())
}

// awaitPrefix waits until the prefill that a plan waits for has ended, also if it takes longer
// than expected, and at most for the longest wait of the plan. It returns the cause if the caller
// leaves or the deadline passes before that.
func (s *session) awaitPrefix(ctx context.Context, plan scheduling.Plan) error {
	s.prefixWaits++
	s.prefixWait = prefixLeft
	begun, tokens := time.Now(), plan.Reader.InFlight.Tokens
	for step := plan.RetryAfter; ; {
		changed, inFlight, cached := s.registry.WatchPrefills(plan.Reader.ID, s.call.Prompt, time.Now())
		if cached >= tokens {
			return nil
		}
		step = min(step, plan.LongestWait-time.Since(begun))
		if changed == nil || step <= 0 || inFlight.Tokens < tokens && !s.heardElsewhere(plan, begun) {
			break
		}
		if err := s.pauseUntil(ctx, step, changed); err != nil {
			return err
		}
		step = inFlight.Left + minPrefixStep
	}
	return s.pause(ctx, rand.N(scheduling.PrefixWaitSpread))
}

// minPrefixStep is the shortest time after which a call that waits for a prefix checks whether its
// prefill still counts as under way. Its end wakes the call before that.
const minPrefixStep = 25 * time.Millisecond

// heardElsewhere reports whether a plan waits for a prefill that only the nodes which track the
// worker's load know. This node hears neither of its end nor of what the worker has cached then,
// so that the wait ends when the prefill is expected to end.
func (s *session) heardElsewhere(plan scheduling.Plan, begun time.Time) bool {
	return plan.Reader.Report == scheduling.Answered && time.Since(begun) < plan.RetryAfter
}

// notePrefixWait records what the first plan after a wait for a prefix has led to.
func (s *session) notePrefixWait(plan scheduling.Plan) {
	switch {
	case s.prefixWait != prefixLeft || plan.Mode == scheduling.Held:
	case plan.Mode == scheduling.Refused:
		s.prefixWait = prefixRefused
	case s.unreadPrefix(plan.Unread) < scheduling.MinSharedTokens:
		s.prefixWait = prefixShared
	default:
		s.prefixWait = prefixRead
	}
}

// countPrefixWait counts a call that has waited for a prefix.
func (s *session) countPrefixWait() {
	if s.prefixWait != "" {
		s.metrics.PrefixWaits.WithLabelValues(string(s.prefixWait)).Inc()
	}
}

// prefixBase is the base in which prefixes are logged, as in messages between nodes.
const prefixBase = 16

// addPrefixWait adds to the log line of a plan which prefix the prompt shares, how much of it is
// being prefilled, and how long the call waits. The plan's reader is the worker that it waits
// for.
func (s *session) addPrefixWait(fields logrus.Fields, plan scheduling.Plan) {
	if !s.singleRead() {
		return
	}
	fields["prefix"] = strconv.FormatUint(s.call.content(), prefixBase)
	fields["in_flight"], fields["in_flight_ms"] = plan.InFlight.Tokens, plan.InFlight.Left.Milliseconds()
	if plan.Reason == scheduling.PrefixInFlight {
		fields["wait_ms"], fields["longest_wait_ms"] = plan.RetryAfter.Milliseconds(), plan.LongestWait.Milliseconds()
	}
	if s.prefixWaits > 0 {
		fields["prefix_waits"], fields["prefix_wait"] = s.prefixWaits, string(s.prefixWait)
	}
}
