package placement

// Backlog counts the prompt tokens that an engine has been given and is not known
// to have read, by the rank of their class. Engines honour ranks: what is below a
// request's own rank does not make it wait.
type Backlog struct {
	levels []backlogLevel
	total  int
}

type backlogLevel struct {
	rank   int32
	tokens int
}

// Add changes the backlog of a rank.
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

// Ahead returns the backlog that a request of the rank waits for.
func (b *Backlog) Ahead(rank int32) int {
	ahead := 0
	for _, level := range b.levels {
		if level.rank >= rank {
			ahead += level.tokens
		}
	}
	return ahead
}
