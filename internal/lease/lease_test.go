package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const leaseLife = 3 * time.Second

var origin = time.Unix(1000, 0)

func TestTakesFreeLease(t *testing.T) {
	m := New("a", DefaultSettings(leaseLife))
	if got := m.Next(origin); got.Action != Wait {
		t.Errorf("proposes a write before it has read the row: %+v", got)
	}
	m.Observe(Row{}, origin)
	take := m.Next(origin)
	if take.Action != Take || take.IfVersion != 0 {
		t.Fatalf("%+v", take)
	}
	m.WriteSucceeded(7, origin.Add(time.Second))
	if m.Fence(origin.Add(time.Second)) != 7 {
		t.Errorf("fence %d", m.Fence(origin))
	}
	if m.Holds(origin.Add(leaseLife)) {
		t.Error("the lease counts from the answer, not from when the write was sent")
	}
	renew := m.Next(origin.Add(time.Second))
	if renew.Action != Renew || renew.IfVersion != 7 || renew.Fence != 7 {
		t.Errorf("%+v", renew)
	}
}

func TestWaitsUntilLeaseExpires(t *testing.T) {
	m := New("b", DefaultSettings(leaseLife))
	m.Observe(Row{Version: 3, Holder: "a"}, origin)
	if got := m.Next(origin.Add(leaseLife)); got.Action != Wait {
		t.Errorf("took the lease while its holder may still act: %+v", got)
	}
	m.Observe(Row{Version: 4, Holder: "a", Fence: 3}, origin.Add(leaseLife))
	if got := m.Next(origin.Add(2 * leaseLife)); got.Action != Wait {
		t.Errorf("took the lease after a renewal: %+v", got)
	}
	if got := m.Next(origin.Add(2*leaseLife + leaseLife/10)); got.Action != Take || got.IfVersion != 4 {
		t.Errorf("%+v", got)
	}
}

func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	m := New("b", DefaultSettings(leaseLife))
	m.Observe(Row{Version: 3, Holder: "a", Released: true}, origin)
	if got := m.Next(origin); got.Action != Take {
		t.Errorf("%+v", got)
	}
	a := New("a", DefaultSettings(leaseLife))
	a.Observe(Row{}, origin)
	a.Next(origin)
	a.WriteSucceeded(1, origin)
	if release, held := a.Release(); !held || release.IfVersion != 1 || a.Holds(origin) {
		t.Error("a released lease is still held")
	}
}

// TestLapsedLeaseIsGivenBack: only the node that wrote the row may release an expired lease.
func TestLapsedLeaseIsGivenBack(t *testing.T) {
	a := New("a", DefaultSettings(leaseLife))
	if _, own := a.Release(); own {
		t.Error("released a lease without having read the row")
	}
	a.Observe(Row{}, origin)
	a.Next(origin)
	a.WriteSucceeded(1, origin)
	if release, own := a.Release(); !own || release.IfVersion != 1 || a.Holds(origin) {
		t.Errorf("%+v, %v", release, own)
	}
	a.Observe(Row{Version: 2, Holder: "b"}, origin.Add(2*leaseLife))
	if _, own := a.Release(); own {
		t.Error("released another node's lease")
	}
}

// TestLostAnswerDoesNotLengthen: a renewal whose answer was lost shows in the row, but doesn't
// extend the lease.
func TestLostAnswerDoesNotLengthen(t *testing.T) {
	m := New("a", DefaultSettings(leaseLife))
	m.Observe(Row{}, origin)
	m.Next(origin)
	m.WriteSucceeded(1, origin)
	m.Next(origin.Add(leaseLife / 3))
	m.WriteFailed()
	m.Observe(Row{Version: 2, Holder: "a", Fence: 1}, origin.Add(leaseLife/2))
	if m.Holds(origin.Add(leaseLife)) {
		t.Error("an unanswered renewal extended the lease")
	}
	if !m.Holds(origin.Add(leaseLife / 2)) {
		t.Error("an unanswered renewal ended the lease")
	}
}

// TestOwnFenceIsKept: a node whose lease expired keeps its fence while the row is its own, but
// not after it renounced the lease or another node took it.
func TestOwnFenceIsKept(t *testing.T) {
	settings := DefaultSettings(leaseLife)
	settings.KeepFence = true
	lapsed := origin.Add(2 * leaseLife)
	for _, example := range []struct {
		name   string
		before func(m *StateMachine)
		action Action
		fence  uint64
	}{
		{"the row is its own", func(m *StateMachine) { m.Observe(Row{Version: 1, Holder: "a"}, lapsed) }, Renew, 1},
		{"the lease was renounced", func(m *StateMachine) { m.Renounce() }, Take, 0},
		{"another took it, and is gone", func(m *StateMachine) { m.Observe(Row{Version: 5, Holder: "b", Released: true}, lapsed) }, Take, 0},
	} {
		m := New("a", settings)
		m.Observe(Row{}, origin)
		m.Next(origin)
		m.WriteSucceeded(1, origin)
		example.before(m)
		if m.Holds(lapsed) {
			t.Errorf("%s: an expired lease is held", example.name)
		}
		if got := m.Next(lapsed); got.Action != example.action || got.Fence != example.fence {
			t.Errorf("%s: %+v", example.name, got)
		}
	}
}

// world simulates a store with one row, nodes with skewed clocks, and writes that are delayed,
// lost or answered late.
type world struct {
	now      time.Time
	settings Settings
	version  uint64
	row      Row
	nodes    []*node
	writes   []*write
	// answers belong to writes that were carried out or refused and have not been delivered
	// yet.
	answers []answer
}

type answer struct {
	write   *write
	version uint64
}

type node struct {
	name    string
	machine *StateMachine
	skew    float64
}

func (w *world) clock(n *node) time.Time {
	return origin.Add(time.Duration(float64(w.now.Sub(origin)) * n.skew))
}

type write struct {
	from     *node
	machine  *StateMachine
	proposal Proposal
}

// TestAtMostOneHolder: under any delays, losses, pauses and restarts, no two nodes hold the
// lease at the same time, and fences never decrease.
func TestAtMostOneHolder(t *testing.T) {
	for _, keepFence := range []bool{false, true} {
		t.Run(fmt.Sprintf("keep fence %v", keepFence), func(t *testing.T) { atMostOneHolder(t, keepFence) })
	}
}

func atMostOneHolder(t *testing.T, keepFence bool) {
	settings := DefaultSettings(leaseLife)
	settings.KeepFence = keepFence
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: origin, settings: settings}
		for i, name := range []string{"a", "b", "c"} {
			skew := 1 + float64(i-1)*0.01
			w.nodes = append(w.nodes, &node{name: name, machine: New(name, settings), skew: skew})
		}
		var highest uint64
		owners := make(map[uint64]string)
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.step(t, step)
			var holder string
			for _, n := range w.nodes {
				if !n.machine.Holds(w.clock(n)) {
					continue
				}
				if holder != "" {
					t.Fatalf("%s and %s hold the lease", holder, n.name)
				}
				holder = n.name
				fence := n.machine.Fence(w.clock(n))
				if fence < highest {
					t.Fatalf("fence %d after %d", fence, highest)
				}
				highest = fence
				self := n.machine.self
				if owner, used := owners[fence]; used && owner != self {
					t.Fatalf("%s and %s have fence %d", owner, self, fence)
				}
				owners[fence] = self
			}
		}
	})
}

func (w *world) step(t *rapid.T, step int) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"time", "next", "observe", "apply", "answer", "lose", "restart"}).Draw(t, "what") {
	case "time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case "next":
		if proposal := n.machine.Next(w.clock(n)); proposal.Action != Wait {
			w.writes = append(w.writes, &write{n, n.machine, proposal})
		}
	case "observe":
		n.machine.Observe(w.row, w.clock(n))
	case "apply":
		w.apply(t)
	case "answer":
		w.answer(t)
	case "lose":
		n.machine.WriteFailed()
	case "restart":
		n.machine = New(n.name+"-"+time.Duration(step).String(), w.settings)
	}
}

// apply carries out one of the writes, in any order.
func (w *world) apply(t *rapid.T) {
	if len(w.writes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.writes)-1).Draw(t, "write")
	pending := w.writes[i]
	w.writes = append(w.writes[:i], w.writes[i+1:]...)
	if w.row.Version != pending.proposal.IfVersion {
		w.answers = append(w.answers, answer{write: pending})
		return
	}
	w.version += 2
	w.row = Row{Version: w.version, Holder: pending.machine.self, Fence: pending.proposal.Fence}
	w.answers = append(w.answers, answer{write: pending, version: w.version})
}

// answer delivers one of the answers, unless its caller has given up waiting.
func (w *world) answer(t *rapid.T) {
	if len(w.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.answers)-1).Draw(t, "answer")
	got := w.answers[i]
	w.answers = append(w.answers[:i], w.answers[i+1:]...)
	machine := got.write.machine
	if machine.pending == nil || *machine.pending != got.write.proposal {
		return
	}
	if got.version == 0 {
		machine.WriteFailed()
		return
	}
	machine.WriteSucceeded(got.version, w.clock(got.write.from))
}
