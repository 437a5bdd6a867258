package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func hashOf(member int) uint64 { return Hash(fmt.Sprint("member ", member)) }

func hashesOf(members []int) []uint64 {
	hashes := make([]uint64, 0, len(members))
	for _, member := range members {
		hashes = append(hashes, hashOf(member))
	}
	return hashes
}

func all(int) bool { return true }

func even(member int) bool { return member%2 == 0 }

func numbers(count int) []int {
	members := make([]int, count)
	for i := range members {
		members[i] = i
	}
	return members
}

// TestTopIsAPrefixOfTheFullRanking checks that Top returns a prefix of the full ranking whatever
// the order of the members.
func TestTopIsAPrefixOfTheFullRanking(t *testing.T) {
	members := numbers(100)
	whole := Top(members, hashOf, Hash("subject"), len(members))
	for i := 1; i < len(whole); i++ {
		if Score(Hash("subject"), hashOf(whole[i-1])) <= Score(Hash("subject"), hashOf(whole[i])) {
			t.Fatalf("position %d does not score higher than position %d", i-1, i)
		}
	}
	for _, count := range []int{0, 1, 2, 7, 100, 200} {
		rand.New(rand.NewPCG(1, uint64(count))).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		if got, want := Top(members, hashOf, Hash("subject"), count), whole[:min(count, len(whole))]; !slices.Equal(got, want) {
			t.Errorf("the first %d are %v, want %v", count, got, want)
		}
	}
}

// TestCachedRankingsEqualNewOnes checks that the cached rankings equal newly computed ones after any
// sequence of joins and leaves.
func TestCachedRankingsEqualNewOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var rankings Rankings[int]
	present := []int{}
	ranked := func(subject string, count int, belongs func(int) bool) []int {
		if known, exists := rankings.Get(subject); exists {
			return known
		}
		members := slices.DeleteFunc(slices.Clone(present), func(member int) bool { return !belongs(member) })
		return rankings.Rank(subject, members, hashesOf(members), count, belongs)
	}
	for member := range 400 {
		if len(present) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(present))
			rankings.Leave(present[i])
			present = slices.Delete(present, i, i+1)
		}
		present = append(present, member)
		rankings.Join([]int{member}, hashOf)
		for i := range 20 {
			subject := fmt.Sprint("subject ", i)
			if got, want := ranked(subject, 2, all), Top(present, hashOf, Hash(subject), 2); !slices.Equal(got, want) {
				t.Fatalf("%s: %v, want %v", subject, got, want)
			}
		}
		evens := slices.DeleteFunc(slices.Clone(present), func(member int) bool { return !even(member) })
		if got, want := ranked("evens", 3, even), Top(evens, hashOf, Hash("evens"), 3); !slices.Equal(got, want) {
			t.Fatalf("evens: %v, want %v", got, want)
		}
	}
}

// TestJoinChangesOnlyGainedSubjects checks that a member that joins changes only the subjects that
// it gains and drops none, and that its leave drops only those.
func TestJoinChangesOnlyGainedSubjects(t *testing.T) {
	const members, subjects, count = 300, 1000, 2
	var rankings Rankings[int]
	for i := range subjects {
		rankings.Rank(fmt.Sprint(i), numbers(members), hashesOf(numbers(members)), count, all)
	}
	rankings.Join([]int{members}, hashOf)
	gained := 0
	for i := range subjects {
		known, exists := rankings.Get(fmt.Sprint(i))
		if !exists {
			t.Fatal("a join dropped a cached ranking")
		}
		if slices.Contains(known, members) {
			gained++
		}
	}
	rankings.Leave(members)
	forgotten := 0
	for i := range subjects {
		if _, exists := rankings.Get(fmt.Sprint(i)); !exists {
			forgotten++
		}
	}
	if expected := subjects * count / members; gained == 0 || gained > 4*expected || forgotten != gained {
		t.Errorf("%d subjects gained, %d dropped on leave; expected about %d", gained, forgotten, expected)
	}
}

func BenchmarkTop(b *testing.B) {
	members := numbers(985)
	hashes := make([]uint64, len(members))
	for i := range hashes {
		hashes[i] = hashOf(i)
	}
	for b.Loop() {
		Top(members, func(member int) uint64 { return hashes[member] }, Hash("subject"), 2)
	}
}

// BenchmarkRankingsJoin measures one node that learns of 100 others in a fleet of 985 nodes
// with 10,000 workers.
func BenchmarkRankingsJoin(b *testing.B) {
	const known, new = 885, 100
	members := numbers(known + new)
	hashes := make([]uint64, len(members))
	for i := range hashes {
		hashes[i] = hashOf(i)
	}
	hash := func(member int) uint64 { return hashes[member] }
	var rankings Rankings[int]
	for i := range 10_000 {
		rankings.Rank(fmt.Sprint("worker ", i), members[:known], hashes, 2, all)
	}
	for b.Loop() {
		rankings.Join(members[known:], hash)
	}
}

// BenchmarkRankingsRank measures the ranking of 985 members for one subject.
func BenchmarkRankingsRank(b *testing.B) {
	members := numbers(985)
	hashes := hashesOf(members)
	var rankings Rankings[int]
	for b.Loop() {
		rankings.Rank("subject", members, hashes, 2, all)
	}
}
