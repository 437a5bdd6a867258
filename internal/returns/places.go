package returns

import "time"

// The places of ranks j and above are handed out through a leaky bucket of their own. Its rate
// is what more urgent callers, which were refused lately, leave of the rate of all places. A
// place is free if it overflows none of the buckets that its rank goes through. So over any time
// the places of all ranks stay within the rate, but for one request, and those of less urgent
// ranks leave room for the others.

// rates returns the rate of each bucket, in tokens per second.
func (s *Schedule) rates(rate float64, now time.Time) [Ranks]float64 {
	var rates [Ranks]float64
	for j := range rates {
		rates[j] = max(rate, 0)
		rate -= s.refused[j].perSecond(now)
	}
	return rates
}

// find returns the first slot from first to last that has a free place for a request.
func (s *Schedule) find(rank int, work, rate float64, first, last int64, now time.Time) (int64, bool) {
	first, last = max(first, s.current+1), min(last, s.current+horizon)
	rates := s.rates(rate, now)
	if rates[rank] <= 0 {
		return 0, false
	}
	var levels [Ranks][]float64
	for j := range rank + 1 {
		levels[j] = s.levelsAhead(j, rates[j])
	}
	for slot := first; slot <= last; slot++ {
		free := true
		for j := 0; j <= rank && free; j++ {
			free = s.fits(j, rates[j], work, slot, levels[j])
		}
		if free {
			return slot, true
		}
	}
	return 0, false
}

// levelsAhead returns the levels of bucket j at the start of each slot from the current one on.
func (s *Schedule) levelsAhead(j int, rate float64) []float64 {
	levels := make([]float64, horizon+2)
	levels[0] = s.levels[j]
	for i := range horizon + 1 {
		levels[i+1] = drain(levels[i]+sumFrom(s.due[s.current+int64(i)], j), rate)
	}
	return levels
}

// fits reports whether work that is added to a slot overflows bucket j neither there nor in a
// later slot. The bucket is as deep as what drains in a slot, or as one request.
func (s *Schedule) fits(j int, rate, work float64, slot int64, levels []float64) bool {
	depth := max(rate*slotLength.Seconds(), work)
	for added := work; added > 0 && slot <= s.current+horizon; slot++ {
		level := levels[slot-s.current] + sumFrom(s.due[slot], j)
		if level+added > depth {
			return false
		}
		added = drain(level+added, rate) - drain(level, rate)
	}
	return true
}
