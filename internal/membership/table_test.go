package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newTable(name string) *Table {
	node := Node{Name: name, Incarnation: "i-" + name, Started: 1, Address: name}
	return New(DefaultSettings(), node, rand.New(rand.NewPCG(1, 2)))
}

func nodeUpdate(name string, generation uint64, state State) []Update {
	return []Update{{Node: &Node{Name: name, Incarnation: "i-" + name, Started: 1, Address: name, Generation: generation, State: state}}}
}

func stateOf(t *Table, name string) State {
	node, _ := t.Node(name)
	return node.State
}

func TestSuspectBecomesDeadUnlessRefuted(t *testing.T) {
	table := newTable("a")
	table.Merge(0, nodeUpdate("b", 0, Alive))
	table.Merge(0, nodeUpdate("c", 0, Alive))
	for _, name := range []string{"b", "c"} {
		node, _ := table.Node(name)
		table.RecordProbeFailure(time.Second, node)
	}
	table.Merge(2*time.Second, nodeUpdate("c", 1, Alive)) // c refutes
	table.Tick(time.Second + table.settings.SuspectFor)
	if stateOf(table, "b") != Dead || stateOf(table, "c") != Alive {
		t.Errorf("b is %s, c is %s, want dead and alive", stateOf(table, "b"), stateOf(table, "c"))
	}
	table.Tick(time.Hour)
	if _, known := table.Node("b"); known {
		t.Error("the dead node was not removed")
	}
}

func TestNodeRefutesSuspicionOfItself(t *testing.T) {
	table := newTable("a")
	table.Merge(0, nodeUpdate("a", 0, Suspect))
	if self := table.Self(); self.Generation != 1 || self.State != Alive {
		t.Errorf("self is %+v, want generation 1 and alive", self)
	}
}

func TestOlderRecordDoesNotReplaceNewer(t *testing.T) {
	table := newTable("a")
	table.Merge(0, nodeUpdate("b", 5, Alive))
	table.Merge(0, nodeUpdate("b", 4, Dead))
	if stateOf(table, "b") != Alive {
		t.Error("a record of an older generation replaced a newer one")
	}
	restarted := Node{Name: "b", Incarnation: "new", Started: 2, State: Alive}
	table.Merge(0, []Update{{Node: &restarted}})
	table.Merge(0, nodeUpdate("b", 9, Dead))
	if node, _ := table.Node("b"); node.Incarnation != "new" || node.State != Alive {
		t.Errorf("a record of the old incarnation replaced that of the new one: %+v", node)
	}
}

func TestOlderGroupRecordIsIgnored(t *testing.T) {
	table := newTable("a")
	table.SetGroup(Group{ID: "g", Epoch: 2, Term: 1, Leader: "x"})
	if table.SetGroup(Group{ID: "g", Epoch: 1, Term: 9, Leader: "y"}) {
		t.Error("a record of an older epoch was accepted")
	}
	if group, _ := table.Group("g"); group.Leader != "x" {
		t.Errorf("leader is %s, want x", group.Leader)
	}
}

// TestChangeSpreadsInLogarithmicRounds counts the rounds until 200 tables know of a suspicion.
func TestChangeSpreadsInLogarithmicRounds(t *testing.T) {
	const count = 200
	tables := make([]*Table, count)
	for i := range tables {
		tables[i] = New(DefaultSettings(), Node{Name: fmt.Sprint(i), Incarnation: fmt.Sprint("i-", i), Started: 1, Address: fmt.Sprint(i)},
			rand.New(rand.NewPCG(uint64(i), 7)))
	}
	for _, table := range tables {
		for _, other := range tables {
			node := other.Self()
			table.Merge(0, []Update{{Node: &node}})
		}
		table.queue = nil
	}
	victim, _ := tables[0].Node("100")
	tables[0].RecordProbeFailure(0, victim)
	rounds := 0
	for ; rounds < 40; rounds++ {
		unaware := 0
		for i, table := range tables {
			if i != 100 && stateOf(table, "100") == Alive {
				unaware++
			}
		}
		if unaware == 0 {
			break
		}
		gossip(tables)
	}
	if rounds > 16 {
		t.Errorf("the change took %d rounds among %d nodes", rounds, count)
	}
}

// gossip lets each table exchange updates with the next node that it probes.
func gossip(tables []*Table) {
	for i, table := range tables {
		target, found := table.NextProbeTarget()
		if !found || i == 100 || target.Name == "100" {
			continue
		}
		var index int
		_, _ = fmt.Sscan(target.Name, &index)
		tables[index].Merge(0, table.Updates())
		table.Merge(0, tables[index].Updates())
	}
}
