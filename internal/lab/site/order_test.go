package site

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

var (
	firstOrder = flag.Uint64("first-order", 1, "the first seed of TestNoStreamIsJoinedInAnyOrder")
	orders     = flag.Uint64("orders", 8, "how many seeds of TestNoStreamIsJoinedInAnyOrder are played")
)

// order plays releases, moves of a route, troubles of the store, and ends and starts of nodes in an order that a
// seed chooses, while clients begin streams and take them up.
type order struct {
	*site
	random *rand.Rand
	nodes  []*otherNode
	// started and released count nodes and workers, for their names.
	started, released int
	streams           []*clientStream
	// marks are versions of the store to which it may be put back, and steps what was done.
	marks []uint64
	steps []string
	// configured is the version of the configuration, and moved tells that the route leads elsewhere.
	configured int
	moved      bool
	taken      int
}

func startOrder(t *testing.T, seed uint64) *order {
	s := newSite(t)
	o := &order{site: s, random: rand.New(rand.NewPCG(seed, 85))}
	o.release("v1")
	s.addWorker(fleetworker.Options{
		ID: "other-1", Service: otherLLM, Stage: "decode", Software: "v1-other", Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
	})
	o.configure()
	o.startNodes(true)
	return o
}

func (o *order) note(format string, arguments ...any) {
	o.steps = append(o.steps, fmt.Sprintf(format, arguments...))
}

// startNodes starts one to three nodes and waits until one of them is ready.
func (o *order) startNodes(first bool) {
	o.t.Helper()
	for range 1 + o.random.IntN(3) {
		o.started++
		node, address := o.startNode(fmt.Sprint("node-", o.started), func(configured *settings.Routed) { configured.Node.FirstStart = first })
		o.nodes = append(o.nodes, &otherNode{node, address})
	}
	o.await("a node is ready", func() bool {
		return slices.ContainsFunc(o.nodes, func(n *otherNode) bool { return n.node.Ready() })
	})
}

// endAll ends all nodes at once.
func (o *order) endAll() {
	o.note("all %d nodes end", len(o.nodes))
	for _, n := range o.nodes {
		n.node.Close()
	}
	o.nodes = nil
}

// release adds two workers of a software version.
func (o *order) release(version string) {
	o.note("workers of %s come", version)
	for range 2 {
		o.released++
		o.addWorker(fleetworker.Options{
			ID: fmt.Sprintf("write-%d-%s", o.released, version), Service: llm, Stage: "decode", Software: version,
			Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
		})
	}
}

// retire removes all workers of a software version from the list.
func (o *order) retire(version string) {
	o.note("workers of %s leave", version)
	for name := range o.workers {
		if strings.HasSuffix(name, "-"+version) {
			o.store.Put("servers", name, nil)
			delete(o.workers, name)
		}
	}
}

// versions returns the software versions of the workers that are listed.
func (o *order) versions() []string {
	var versions []string
	for name := range o.workers {
		if version := name[strings.LastIndex(name, "-")+1:]; strings.HasPrefix(name, "write-") && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// replaceVersion releases a version, retires one, or swaps them.
func (o *order) replaceVersion() {
	listed := o.versions()
	other := "v" + fmt.Sprint(1+o.random.IntN(3))
	if !slices.Contains(listed, other) {
		o.release(other)
		listed = append(listed, other)
	}
	if len(listed) > 1 && o.random.IntN(2) == 0 {
		o.retire(listed[o.random.IntN(len(listed))])
	}
}

// configure writes a configuration, in which the route leads to the other service if it has moved.
func (o *order) configure() {
	o.configured++
	configuration := versionsConfiguration
	if o.moved {
		configuration = movedConfiguration
	}
	o.store.Put("op", "config", configuration(o.configured))
}

// moveRoute makes the route lead to the other service, or back.
func (o *order) moveRoute() {
	o.moved = !o.moved
	o.note("the route leads to the other service: %v", o.moved)
	o.configure()
}

// troubleStore makes the store fail for up to two seconds.
func (o *order) troubleStore() {
	faults := []fleetstore.Faults{{Down: true}, {Throttled: true}}[o.random.IntN(2)]
	span := time.Duration(200+o.random.IntN(1800)) * time.Millisecond
	o.note("%+v for %v", faults, span)
	o.store.SetFaults(faults)
	time.AfterFunc(span, func() { o.store.SetFaults(fleetstore.Faults{}) })
}

// restoreStore puts the store back by a few seconds. The operator and the workers that live write theirs again.
func (o *order) restoreStore() {
	mark := o.marks[max(len(o.marks)-1-o.random.IntN(4), 0)]
	o.note("the store is put back to version %d", mark)
	lost := o.store.Restore(mark)
	o.marks = slices.DeleteFunc(o.marks, func(other uint64) bool { return other > mark })
	live := make(map[string]bool)
	for name := range o.workers {
		live[name] = true
	}
	time.AfterFunc(time.Duration(o.random.IntN(800))*time.Millisecond, func() {
		for _, row := range lost {
			if row.Table == "op" || row.Table == "servers" && live[row.Key] {
				o.store.RewriteLost(row, mark)
			}
		}
		for _, row := range o.store.Rows("servers") { // those that left before
			if !live[row.Key] {
				o.store.Put("servers", row.Key, nil)
			}
		}
	})
}

func (o *order) node() *otherNode { return o.nodes[o.random.IntN(len(o.nodes))] }

// begin begins streams and reads two events of each.
func (o *order) begin() {
	node := o.node()
	begun := make([]*clientStream, 6)
	var all sync.WaitGroup
	for i := range begun {
		all.Go(func() { begun[i] = o.site.begin(node.address, "/check/1", 2) })
	}
	all.Wait()
	began := make(map[string]int)
	for _, c := range begun {
		if len(c.versions) > 0 {
			o.streams = append(o.streams, c)
			began[c.versions[0]]++
		}
	}
	o.note("streams begin: %v", began)
}

// takeUpSome takes up streams, with or without the attempt that began them.
func (o *order) takeUpSome() {
	node := o.node()
	o.random.Shuffle(len(o.streams), func(i, k int) { o.streams[i], o.streams[k] = o.streams[k], o.streams[i] })
	count := min(len(o.streams), 12)
	var all sync.WaitGroup
	for _, c := range o.streams[:count] {
		if o.random.IntN(4) == 0 {
			c.first = ""
		}
		all.Go(func() { o.read(c, node.address, "/check/1", 1) })
	}
	all.Wait()
	went := 0
	for _, c := range o.streams[:count] {
		if len(c.versions) > 1 {
			o.t.Errorf("a stream holds events of %v after %q", c.versions, o.steps)
		}
		if c.status == 200 {
			went++
		}
	}
	o.taken += went
	o.note("%d of %d streams go on", went, count)
	o.streams = slices.DeleteFunc(o.streams, func(c *clientStream) bool { return c.events >= 7 })
}

// step does one thing, or several in quick succession.
func (o *order) step() {
	o.marks = append(o.marks, o.store.Version())
	switch o.random.IntN(10) {
	case 0, 1:
		o.replaceVersion()
		if o.random.IntN(2) == 0 {
			o.begin() // before the version is known everywhere
		}
	case 2:
		o.moveRoute()
	case 3:
		o.troubleStore()
	case 4:
		o.restoreStore()
	case 5, 6, 7:
		o.endAll()
		for range o.random.IntN(3) {
			o.marks = append(o.marks, o.store.Version())
			[]func(){o.replaceVersion, o.moveRoute, o.restoreStore}[o.random.IntN(3)]()
		}
		o.store.SetFaults(fleetstore.Faults{})
		o.startNodes(false)
	case 8:
		if len(o.nodes) > 1 {
			o.note("a node ends")
			o.nodes[0].node.Close()
			o.nodes = o.nodes[1:]
		}
	}
	o.begin()
	time.Sleep(time.Duration(o.random.IntN(600)) * time.Millisecond)
	o.takeUpSome()
}

// TestNoStreamIsJoinedInAnyOrder guards against streams that go on at another software version, or at another
// service, than the one that began them, after an end of all nodes.
func TestNoStreamIsJoinedInAnyOrder(t *testing.T) {
	for seed := *firstOrder; seed < *firstOrder+*orders; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := startOrder(t, seed)
			o.begin()
			for range 10 {
				o.step()
			}
			t.Logf("%d times streams went on; %q", o.taken, o.steps)
		})
	}
}
