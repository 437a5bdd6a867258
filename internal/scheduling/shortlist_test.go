package scheduling

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// someWorkers returns random workers of a service, some of which the node tracks.
func someWorkers(random *rand.Rand, count int) []Candidate {
	workers := make([]Candidate, 0, count)
	for i := range count {
		id := fmt.Sprint("worker ", i)
		drawn := Candidate{
			ID: id, Prefill: random.IntN(5) < 2, SameZone: random.IntN(5) == 0,
			SortKey: random.Uint64(), Hash: rendezvous.Hash(id), Avoid: random.IntN(10) == 0, Report: Unasked,
		}
		drawn.Decode = !drawn.Prefill
		if random.IntN(30) == 0 {
			drawn.Report = Tracked
		}
		workers = append(workers, drawn)
	}
	return workers
}

func outlines(workers []Candidate) iter.Seq[Outline] {
	return func(yield func(Outline) bool) {
		for _, worker := range workers {
			if !yield(worker.outline()) {
				return
			}
		}
	}
}

func named(workers []Candidate, names []string) []Candidate {
	return slices.DeleteFunc(slices.Clone(workers), func(c Candidate) bool { return !slices.Contains(names, c.ID) })
}

// TestPreselectOfShortlistChoosesTheSame checks that Preselect chooses the same workers from a
// shortlist as from all workers, also where some have failed or are excluded or all are
// unsound.
func TestPreselectOfShortlistChoosesTheSame(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for round := range 300 {
		workers := someWorkers(random, 1+random.IntN(400))
		request := Request{PromptTokens: 1000, Excluded: map[string]bool{}, Failed: map[string]bool{}}
		if round%3 > 0 {
			request.Content = random.Uint64()
		}
		for i := range workers {
			switch {
			case round%7 == 0:
				workers[i].Avoid = true
			case random.IntN(20) == 0:
				request.Excluded[workers[i].ID] = true
			case random.IntN(20) == 0:
				request.Failed[workers[i].ID] = true
			}
		}
		short := named(workers, Shortlist(request, outlines(workers)))
		for _, wide := range []bool{false, true} {
			if !slices.ContainsFunc(short, func(c Candidate) bool { return c.Report == Unasked }) {
				continue
			}
			all, few := Preselect(request, workers, wide), Preselect(request, short, wide)
			byID := func(left, right Candidate) int { return cmpID(left, right) }
			slices.SortFunc(all, byID)
			slices.SortFunc(few, byID)
			if diff := cmp.Diff(all, few); diff != "" {
				t.Fatalf("round %d, wide %v: %s", round, wide, diff)
			}
		}
	}
}

func cmpID(left, right Candidate) int {
	if left.ID < right.ID {
		return -1
	}
	return 1
}

// TestShortlistDoesNotGrowWithTheFleet checks that only the number of tracked workers makes a
// shortlist longer.
func TestShortlistDoesNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{300, 3000, 10_000} {
		workers := someWorkers(rand.New(rand.NewPCG(1, 1)), count)
		tracked := 0
		for _, worker := range workers {
			if worker.Report == Tracked {
				tracked++
			}
		}
		names := Shortlist(Request{PromptTokens: 1, Content: 9}, outlines(workers))
		if most := tracked + 2*nearChoices + contentChoices*widenFactor; len(names) > most {
			t.Errorf("%d workers: %d on the shortlist, %d at most", count, len(names), most)
		}
	}
}

const manyWorkers = 9695

func BenchmarkShortlist(b *testing.B) {
	workers := slices.Collect(outlines(someWorkers(rand.New(rand.NewPCG(1, 1)), manyWorkers)))
	for b.Loop() {
		Shortlist(Request{PromptTokens: 1, Content: 9}, slices.Values(workers))
	}
}

func BenchmarkPreselectOfAll(b *testing.B) {
	workers := someWorkers(rand.New(rand.NewPCG(1, 1)), manyWorkers)
	for b.Loop() {
		Preselect(Request{PromptTokens: 1, Content: 9}, workers, false)
	}
}
