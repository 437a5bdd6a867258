package nodeexchange

import "time"

// minDelayWindow is for how long a shortest way counts: long enough that some message came without
// delay, short enough that clocks which run apart by 0.1 in a thousand matter little.
const minDelayWindow = time.Minute

// delayEstimator tell how much longer than the shortest way lately a message was on its way from its
// maker: in buffers, on a link, or before a process that didn't run. The clocks of maker and
// receiver need not agree, only go at the same pace. It is pure: time is an argument.
type delayEstimator struct {
	byOriginator map[string]*minDelay
	began        time.Time
}

// minDelay is the least difference between a receiver's clock at a message's arrival and its
// maker's when it was made, in this span and in the one before.
type minDelay struct {
	current, before time.Duration
	// known and knownBefore tell whether there was any.
	known, knownBefore bool
}

// excess is how much longer than the shortest way a message of a maker took, by the maker's clock
// when it was made and the receiver's now. It is zero for the first message.
func (t *delayEstimator) excess(maker string, made, now time.Time) time.Duration {
	t.advance(now)
	way := t.byOriginator[maker]
	if way == nil {
		way = &minDelay{}
		t.byOriginator[maker] = way
	}
	took := now.Sub(made)
	if !way.known || took < way.current {
		way.current, way.known = took, true
	}
	least := way.current
	if way.knownBefore {
		least = min(least, way.before)
	}
	return took - least
}

// advance begins a new span where the last one is over, and forgets makers that are silent.
func (t *delayEstimator) advance(now time.Time) {
	if t.byOriginator == nil {
		t.byOriginator, t.began = make(map[string]*minDelay), now
	}
	if now.Sub(t.began) < minDelayWindow {
		return
	}
	t.began = now
	for maker, way := range t.byOriginator {
		if !way.known {
			delete(t.byOriginator, maker)
			continue
		}
		*way = minDelay{before: way.current, knownBefore: true}
	}
}
