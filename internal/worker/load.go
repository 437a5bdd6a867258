package worker

// RankCount is the number of ranks of requests that loads tell apart.
const RankCount = 4

// LateRank is that of requests that can't be in time: engines read all others first.
const LateRank = RankCount - 1

// UnreadTokens counts prompt tokens that are still to be read, by the rank of their
// requests; rank 0 is the most urgent. Engines read the more urgent first.
type UnreadTokens [RankCount]int

// UnreadTokensOf returns the tokens of one request. Ranks past the last count as the last.
func UnreadTokensOf(rank, tokens int) UnreadTokens {
	var reads UnreadTokens
	reads[clampRank(rank)] = tokens
	return reads
}

func clampRank(rank int) int { return min(max(rank, 0), RankCount-1) }

// InTime returns the tokens of all requests but the late ones.
func (r UnreadTokens) InTime() int { return r.Ahead(LateRank - 1) }

// Late returns the tokens of late requests.
func (r UnreadTokens) Late() int { return r[LateRank] }

// Total returns the tokens of all ranks.
func (r UnreadTokens) Total() int { return r.Ahead(RankCount - 1) }

// Ahead returns the tokens that are read before those of a new request of a rank.
func (r UnreadTokens) Ahead(rank int) int {
	sum := 0
	for _, tokens := range r[:clampRank(rank)+1] {
		sum += tokens
	}
	return sum
}

// Load is work placed and not finished.
type Load struct {
	// Requests counts requests that run or wait.
	Requests int
	// Unread counts prompt tokens that are still to be read.
	Unread UnreadTokens
	// MemoryTokens counts the KV cache that the requests need.
	MemoryTokens int
}

// Zero reports whether there is no load.
func (l Load) Zero() bool { return l == Load{} }

func (l Load) plus(other Load) Load { return l.added(other, 1) }

func (l Load) minus(other Load) Load { return l.added(other, -1) }

func (l Load) added(other Load, sign int) Load {
	l.Requests += sign * other.Requests
	l.MemoryTokens += sign * other.MemoryTokens
	for rank, tokens := range other.Unread {
		l.Unread[rank] += sign * tokens
	}
	return l
}
