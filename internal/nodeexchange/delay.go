package nodeexchange

import "time"

// minDelayWindow is for how long a minimum delay counts: long enough that some message arrived
// without queueing, and short enough that clocks whose rates differ by 0.1 in a thousand matter
// little.
const minDelayWindow = time.Minute

// delayEstimator estimates for how long a message was held up on its way from its originator,
// in buffers, on a link, or while the receiving process didn't run: how much longer it took
// than the fastest recent message. The clocks of originator and receiver needn't agree, but
// must run at the same rate. A delayEstimator doesn't read the clock: callers pass the time.
type delayEstimator struct {
	byOriginator map[string]*minDelay
	began        time.Time
}

// minDelay is the smallest difference between the receiver's clock when a message arrived and
// the originator's when it was created, in the current window and in the one before.
type minDelay struct {
	current, before time.Duration
	// known and knownBefore tell whether there was any message in these windows.
	known, knownBefore bool
}

// excess returns how much longer than the fastest recent message of its originator a message
// took, given the originator's clock at its creation and the receiver's now. It is zero for the
// first message.
func (t *delayEstimator) excess(originator string, created, now time.Time) time.Duration {
	t.advance(now)
	shortest := t.byOriginator[originator]
	if shortest == nil {
		shortest = &minDelay{}
		t.byOriginator[originator] = shortest
	}
	took := now.Sub(created)
	if !shortest.known || took < shortest.current {
		shortest.current, shortest.known = took, true
	}
	least := shortest.current
	if shortest.knownBefore {
		least = min(least, shortest.before)
	}
	return took - least
}

// advance begins a new window when the last one is over, and forgets originators from which
// nothing came.
func (t *delayEstimator) advance(now time.Time) {
	if t.byOriginator == nil {
		t.byOriginator, t.began = make(map[string]*minDelay), now
	}
	if now.Sub(t.began) < minDelayWindow {
		return
	}
	t.began = now
	for originator, way := range t.byOriginator {
		if !way.known {
			delete(t.byOriginator, originator)
			continue
		}
		*way = minDelay{before: way.current, knownBefore: true}
	}
}
