// Package rendezvous ranks members for a subject by rendezvous hashing (highest random
// weight: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998): who knows the members knows the ranking, and a member that joins or leaves moves
// only the subjects that it gains or loses. It is pure.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of the name of a subject or a member.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score is the weight of a member for a subject, both given by their hashes. The
// highest comes first.
func Score(subject, member uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], subject)
	binary.LittleEndian.PutUint64(pair[8:], member)
	return xxhash.Sum64(pair[:])
}

// Top returns the first count members in the ranking for a subject, or all where there
// are fewer. It leaves members as they are.
func Top[M any](members []M, hash func(member M) uint64, subject uint64, count int) []M {
	type scored struct {
		member M
		score  uint64
	}
	ranking := make([]scored, 0, len(members))
	for _, member := range members {
		ranking = append(ranking, scored{member, Score(subject, hash(member))})
	}
	slices.SortFunc(ranking, func(left, right scored) int { return cmp.Compare(right.score, left.score) })
	top := make([]M, 0, min(count, len(ranking)))
	for _, ranked := range ranking[:min(count, len(ranking))] {
		top = append(top, ranked.member)
	}
	return top
}
