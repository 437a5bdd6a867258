package group

import (
	"fmt"
	"testing"

	"github.com/tinarch/tinarch/internal/replica"
)

func candidates(count, zones int) []Member {
	list := make([]Member, count)
	for i := range list {
		name := fmt.Sprintf("node-%03d", i)
		list[i] = Member{ID: replica.MemberID(name), Node: name, Zone: fmt.Sprint("zone-", i%zones)}
	}
	return list
}

func without(list []Member, id replica.MemberID) []Member {
	var rest []Member
	for _, member := range list {
		if member.ID != id {
			rest = append(rest, member)
		}
	}
	return rest
}

func TestChooseSpreadsOverZones(t *testing.T) {
	for number := range 50 {
		chosen := ChooseMembers(fmt.Sprint("group-", number), nil, candidates(12, 3))
		if len(chosen) != Size || ZoneCount(chosen) != 3 {
			t.Fatalf("group %d is in %d zones with %d members", number, ZoneCount(chosen), len(chosen))
		}
	}
}

func TestChooseMovesOnlyTheLostMember(t *testing.T) {
	all := candidates(30, 5)
	for number := range 50 {
		group := fmt.Sprint("group-", number)
		before := ChooseMembers(group, nil, all)
		after := ChooseMembers(group, before, without(all, before[0].ID))
		kept := 0
		for _, member := range after {
			if member.ID == before[1].ID || member.ID == before[2].ID {
				kept++
			}
		}
		if kept != 2 || len(after) != Size {
			t.Fatalf("group %d kept %d of 2 live members, has %d", number, kept, len(after))
		}
	}
}

func TestChooseSpreadsGroupsEvenly(t *testing.T) {
	load := map[string]int{}
	for number := range 116 {
		for _, member := range ChooseMembers(fmt.Sprint("group-", number), nil, candidates(370, 19)) {
			load[member.Node]++
		}
	}
	most := 0
	for _, count := range load {
		most = max(most, count)
	}
	// 348 memberships on 370 nodes: with random hashing, the probability that any node gets
	// seven of them is below 1 in 10,000.
	if most > 6 {
		t.Errorf("one node is a member of %d groups", most)
	}
}

func TestRecordMajority(t *testing.T) {
	record := Record{Members: candidates(3, 3)}
	alive := map[replica.MemberID]bool{record.Members[0].ID: true}
	if record.HasMajority(alive) {
		t.Error("one of three is no majority")
	}
	alive[record.Members[1].ID] = true
	if !record.HasMajority(alive) {
		t.Error("two of three are a majority")
	}
}
