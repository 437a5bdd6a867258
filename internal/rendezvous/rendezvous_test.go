package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func names(kind string, count int) []string {
	list := make([]string, 0, count)
	for i := range count {
		list = append(list, fmt.Sprintf("%s-%d", kind, i))
	}
	return list
}

// TestRankingIgnoresMemberOrder guards against nodes that hold the same members
// in different orders and compute different rankings.
func TestRankingIgnoresMemberOrder(t *testing.T) {
	members := names("node", 50)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	for _, subject := range names("worker", 100) {
		first, second := Top(members, Hash, Hash(subject), 3), Top(reversed, Hash, Hash(subject), 3)
		if !slices.Equal(first, second) {
			t.Errorf("%s: %v and %v", subject, first, second)
		}
	}
	if got := Top(members[:2], Hash, 1, 3); len(got) != 2 {
		t.Errorf("got %d of 2 members", len(got))
	}
}

// TestLeaveMovesOnlyOwnSubjects checks also that subjects are distributed evenly.
func TestLeaveMovesOnlyOwnSubjects(t *testing.T) {
	members, subjects := names("node", 50), names("worker", 5000)
	gained := make(map[string]int)
	for _, subject := range subjects {
		before := Top(members, Hash, Hash(subject), 2)
		after := Top(members[1:], Hash, Hash(subject), 2)
		gained[before[0]]++
		kept := slices.DeleteFunc(slices.Clone(before), func(name string) bool { return name == members[0] })
		if !slices.Equal(kept, after[:len(kept)]) {
			t.Fatalf("%s: %v became %v", subject, before, after)
		}
	}
	for _, member := range members {
		if share := gained[member]; share < 50 || share > 170 {
			t.Errorf("%s has %d of %d subjects, expected about 100", member, share, len(subjects))
		}
	}
}
