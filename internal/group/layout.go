package group

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tinarch/tinarch/internal/replica"
)

// Size is the number of members of a group where there are enough nodes.
const Size = 3

// Member is a member of a group, as listed in the group's record.
type Member struct {
	ID      replica.MemberID `json:"id"`
	Node    string           `json:"node"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
}

// ChooseMembers returns the members that a group should have: current members that are still
// candidates, then others by rendezvous hashing (Thaler and Ravishankar, 1998), preferring the
// zones with the fewest members. This way few members change when nodes come and go, and groups
// spread evenly over the nodes.
func ChooseMembers(groupID string, current []Member, candidates []Member) []Member {
	available := map[replica.MemberID]bool{}
	for _, candidate := range candidates {
		available[candidate.ID] = true
	}
	var chosen []Member
	zones := map[string]int{}
	taken := map[replica.MemberID]bool{}
	add := func(member Member) {
		chosen = append(chosen, member)
		zones[member.Zone]++
		taken[member.ID] = true
	}
	for _, member := range current {
		if available[member.ID] && len(chosen) < Size {
			add(member)
		}
	}
	ordered := rendezvous(groupID, candidates)
	for len(chosen) < Size {
		best := -1
		for i, candidate := range ordered {
			if taken[candidate.ID] {
				continue
			}
			if best < 0 || zones[candidate.Zone] < zones[ordered[best].Zone] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		add(ordered[best])
	}
	slices.SortFunc(chosen, func(left, right Member) int { return cmp.Compare(left.Node, right.Node) })
	return chosen
}

// rendezvous sorts nodes by their hash weight for the group, highest first.
func rendezvous(groupID string, candidates []Member) []Member {
	ordered := slices.Clone(candidates)
	weight := func(member Member) uint64 { return xxhash.Sum64String(groupID + "\x00" + member.Node) }
	slices.SortFunc(ordered, func(left, right Member) int {
		return cmp.Or(cmp.Compare(weight(right), weight(left)), cmp.Compare(left.Node, right.Node))
	})
	return ordered
}

// Rank returns the position of a node in the group's rendezvous order, or -1. Nodes that may
// all take the same action wait in this order, so that usually only the first acts.
func Rank(groupID, node string, candidates []Member) int {
	return slices.IndexFunc(rendezvous(groupID, candidates), func(member Member) bool { return member.Node == node })
}

// ZoneCount returns the number of different zones among members.
func ZoneCount(members []Member) int {
	zones := map[string]bool{}
	for _, member := range members {
		zones[member.Zone] = true
	}
	return len(zones)
}
