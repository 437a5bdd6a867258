package worker

// RankCount is the number of request ranks by which load is counted.
const RankCount = 4

// LateRank is the rank of requests that are expected to miss their route's objective for the
// first byte but are still served, if they can be answered before their caller leaves. Engines
// read all other prompts first.
const LateRank = RankCount - 1

// UnreadTokens counts the prompt tokens that are still to be read, by the rank of their
// requests. Rank 0 is the most urgent, and engines read prompts of more urgent requests first.
type UnreadTokens [RankCount]int

// UnreadTokensOf returns the tokens of one request. Ranks above the last are counted as the
// last.
func UnreadTokensOf(rank, tokens int) UnreadTokens {
	var unread UnreadTokens
	unread[clampRank(rank)] = tokens
	return unread
}

func clampRank(rank int) int { return min(max(rank, 0), RankCount-1) }

// InTime returns the tokens of all requests except late ones.
func (u UnreadTokens) InTime() int { return u.Ahead(LateRank - 1) }

// Late returns the tokens of late requests.
func (u UnreadTokens) Late() int { return u[LateRank] }

// Total returns the tokens of all ranks.
func (u UnreadTokens) Total() int { return u.Ahead(RankCount - 1) }

// Ahead returns the tokens that are read before the prompt of a new request of a rank.
func (u UnreadTokens) Ahead(rank int) int {
	sum := 0
	for _, tokens := range u[:clampRank(rank)+1] {
		sum += tokens
	}
	return sum
}

// Load is the work of requests that were sent to a worker and haven't finished.
type Load struct {
	// Requests is the number of requests that run or wait.
	Requests int
	// Unread is the number of prompt tokens that are still to be read.
	Unread UnreadTokens
	// MemoryTokens is the size of the KV cache that the requests need.
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
