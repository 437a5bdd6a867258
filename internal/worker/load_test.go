package worker

import (
	"testing"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/topology"
)

func TestTokensAheadAreThoseOfTheSameAndMoreUrgentRanks(t *testing.T) {
	var load Load
	for rank, tokens := range []int{1, 10, 100, 1000, 10_000} {
		load = load.plus(Load{Unread: UnreadTokensOf(rank, tokens)})
	}
	for rank, want := range map[int]int{-1: 1, 0: 1, 1: 11, 2: 111, 3: 11_111, 9: 11_111} {
		if got := load.Unread.Ahead(rank); got != want {
			t.Errorf("rank %d: %d tokens ahead, want %d", rank, got, want)
		}
	}
	if load.Unread.Total() != 11_111 {
		t.Errorf("%d tokens in total, want 11111", load.Unread.Total())
	}
}

// TestQueueAheadDependsOnTheRequestsRank checks that the queue ahead of a request has only
// prompts of the same or more urgent ranks, because engines read more urgent prompts first.
func TestQueueAheadDependsOnTheRequestsRank(t *testing.T) {
	r := NewRegistry(topology.New("here", nil))
	r.Replace([]Worker{{ID: "p", Service: "llm", Stage: Prefill}})
	r.Begin("p", Load{Unread: UnreadTokensOf(2, 60_000)})
	r.Merge("other", Snapshot{Loads: map[string]Load{"p": {Unread: UnreadTokensOf(0, 500)}}}, origin)
	for rank, want := range []int{500, 500, 60_500} {
		candidate := r.Candidates("llm", []prefixcache.Part{}, rank, origin)[0]
		if candidate.ReadAhead != want || candidate.ReadTokens != 60_500 {
			t.Errorf("rank %d: %d tokens ahead of %d", rank, candidate.ReadAhead, candidate.ReadTokens)
		}
	}
}
