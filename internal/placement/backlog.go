package placement

// Backlog counts, by rank of their class, the prompt tokens that were placed on an engine and
// whose prefill is not known to be done. Engines prefill higher ranks first, so tokens of a
// lower rank do not delay a request.
type Backlog struct {
	levels []backlogLevel
	total  int
}

type backlogLevel struct {
	rank   int32
	tokens int
}

// Add adds tokens, which may be negative, to the backlog of a rank.
func (b *Backlog) Add(rank int32, tokens int) {
	b.total += tokens
	for i := range b.levels {
		if b.levels[i].rank == rank {
			b.levels[i].tokens += tokens
			return
		}
	}
	b.levels = append(b.levels, backlogLevel{rank, tokens})
}

// Total returns the backlog of all ranks.
func (b *Backlog) Total() int { return b.total }

// Ahead returns the tokens that an engine prefills before a new request of the given rank:
// those of the same rank and of higher ones.
func (b *Backlog) Ahead(rank int32) int {
	ahead := 0
	for _, level := range b.levels {
		if level.rank >= rank {
			ahead += level.tokens
		}
	}
	return ahead
}
