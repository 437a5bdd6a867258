package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// retransmitFactor times the logarithm of the number of nodes is the number of messages in
// which an update is sent (SWIM, section 4.1).
const retransmitFactor = 3

// entry is another node as this node sees it.
type entry struct {
	node    Node
	changed time.Duration
	heard   time.Duration
}

// queued is an update that has to be sent in further messages.
type queued struct {
	key       string
	update    Update
	remaining int
}

// Table is one node's view of the cluster. It is not safe for concurrent use.
type Table struct {
	settings Settings
	self     Node
	random   *rand.Rand
	entries  map[string]*entry
	groups   map[string]Group
	queue    []queued
	// superseded is set when a process with a later start time runs under this node's name.
	superseded bool
	// probeOrder holds the names of the nodes still to be probed in this round, in random
	// order.
	probeOrder []string
}

// New returns a table that contains only its own node.
func New(settings Settings, self Node, random *rand.Rand) *Table {
	self.State = Alive
	t := &Table{
		settings: settings,
		self:     self,
		random:   random,
		entries:  map[string]*entry{},
		groups:   map[string]Group{},
	}
	t.enqueueSelf()
	return t
}

// Superseded reports whether a process with a later start time runs under this node's name,
// which means that two nodes are configured with the same name.
func (t *Table) Superseded() bool { return t.superseded }

// Self returns the record of this node.
func (t *Table) Self() Node { return t.self }

// SetSelf changes this node's record and queues it for the other nodes.
func (t *Table) SetSelf(leaving, serving bool) {
	if t.self.Leaving == leaving && t.self.Serving == serving {
		return
	}
	t.self.Leaving, t.self.Serving = leaving, serving
	t.self.Generation++
	t.enqueueSelf()
}

func (t *Table) enqueueSelf() {
	self := t.self
	t.enqueue("node/"+self.Name, Update{Node: &self})
}

func (t *Table) enqueue(key string, update Update) {
	t.queue = slices.DeleteFunc(t.queue, func(q queued) bool { return q.key == key })
	t.queue = append(t.queue, queued{key: key, update: update, remaining: t.retransmissions()})
}

func (t *Table) retransmissions() int {
	return retransmitFactor * (bits.Len(uint(len(t.entries))) + 1)
}

// Updates returns the updates for the next message, those sent the fewest times first.
func (t *Table) Updates() []Update {
	slices.SortStableFunc(t.queue, func(left, right queued) int { return cmp.Compare(right.remaining, left.remaining) })
	count := min(len(t.queue), t.settings.MaxUpdates)
	if len(t.queue) > t.settings.BurstUpdates {
		// Many nodes have come or gone at once: send more updates until the queue is shorter.
		count = t.settings.BurstUpdates
	}
	updates := make([]Update, 0, count)
	for i := range count {
		updates = append(updates, t.queue[i].update)
		t.queue[i].remaining--
	}
	t.queue = slices.DeleteFunc(t.queue, func(q queued) bool { return q.remaining <= 0 })
	return updates
}

// AllUpdates returns all records as updates, for a node that joins.
func (t *Table) AllUpdates() []Update {
	self := t.self
	updates := []Update{{Node: &self}}
	for _, name := range t.names() {
		node := t.entries[name].node
		updates = append(updates, Update{Node: &node})
	}
	ids := make([]string, 0, len(t.groups))
	for id := range t.groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		group := t.groups[id]
		updates = append(updates, Update{Group: &group})
	}
	return updates
}

func (t *Table) names() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Merge applies updates from another node.
func (t *Table) Merge(now time.Duration, updates []Update) {
	for _, update := range updates {
		if update.Node != nil {
			t.mergeNode(now, *update.Node)
		}
		if update.Group != nil {
			t.SetGroup(*update.Group)
		}
	}
}

func (t *Table) mergeNode(now time.Duration, update Node) {
	if update.Name == t.self.Name {
		t.mergeSelf(update)
		return
	}
	known := t.entries[update.Name]
	if known != nil && !newer(update, known.node) {
		return
	}
	if known == nil {
		if update.State == Dead {
			return // nothing to learn
		}
		known = &entry{heard: now}
		t.entries[update.Name] = known
	}
	if update.State == Alive {
		known.heard = now
	}
	known.node = update
	known.changed = now
	t.enqueue("node/"+update.Name, Update{Node: &update})
}

// mergeSelf handles an update about this node. If others suspect it or consider it dead, it
// refutes that with a higher generation.
func (t *Table) mergeSelf(update Node) {
	if update.Incarnation != t.self.Incarnation && update.Started > t.self.Started && update.State == Alive {
		t.superseded = true
	}
	if update.Incarnation != t.self.Incarnation || update.State == Alive || update.Generation < t.self.Generation {
		return
	}
	t.self.Generation = update.Generation + 1
	t.enqueueSelf()
}

// SetGroup applies a record of a group's leadership. It reports whether the record was newer
// than the known one.
func (t *Table) SetGroup(group Group) bool {
	known, exists := t.groups[group.ID]
	if exists && !group.newer(known) {
		return false
	}
	t.groups[group.ID] = group
	t.enqueue("group/"+group.ID, Update{Group: &group})
	return true
}

// Group returns the record of a group by identifier.
func (t *Table) Group(id string) (Group, bool) {
	group, exists := t.groups[id]
	return group, exists
}

// Groups returns the records of all known groups, sorted by identifier.
func (t *Table) Groups() []Group {
	groups := make([]Group, 0, len(t.groups))
	for _, group := range t.groups {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(left, right Group) int { return cmp.Compare(left.ID, right.ID) })
	return groups
}

// NodeView is a node with the time since it was last heard from.
type NodeView struct {
	Node
	HeardAgo time.Duration
}

// Nodes returns all known nodes including this one, sorted by name.
func (t *Table) Nodes(now time.Duration) []NodeView {
	views := []NodeView{{Node: t.self}}
	for _, e := range t.entries {
		views = append(views, NodeView{Node: e.node, HeardAgo: now - e.heard})
	}
	slices.SortFunc(views, func(left, right NodeView) int { return cmp.Compare(left.Name, right.Name) })
	return views
}

// Node returns the record of a node by name.
func (t *Table) Node(name string) (Node, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	if e := t.entries[name]; e != nil {
		return e.node, true
	}
	return Node{}, false
}

// NextProbeTarget returns the node to probe in this period. Each node is probed once a round,
// in random order. It returns false if there is no other node.
func (t *Table) NextProbeTarget() (Node, bool) {
	for len(t.probeOrder) > 0 || t.shuffle() {
		name := t.probeOrder[len(t.probeOrder)-1]
		t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
		if e := t.entries[name]; e != nil && e.node.State != Dead {
			return e.node, true
		}
	}
	return Node{}, false
}

func (t *Table) shuffle() bool {
	for _, name := range t.names() {
		if t.entries[name].node.State != Dead {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	return len(t.probeOrder) > 0
}

// Helpers returns random nodes that are to probe target for this node.
func (t *Table) Helpers(target string) []Node {
	var helpers []Node
	names := t.names()
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if node := t.entries[name].node; name != target && node.State == Alive && len(helpers) < t.settings.IndirectProbes {
			helpers = append(helpers, node)
		}
	}
	return helpers
}

// RandomAlive returns a random node that is believed to be alive.
func (t *Table) RandomAlive() (Node, bool) {
	names := t.names()
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if node := t.entries[name].node; node.State == Alive {
			return node, true
		}
	}
	return Node{}, false
}

// RecordAnswer notes that a node has answered. It doesn't end a suspicion: the node does that
// itself with a higher generation, once it learns of the suspicion.
func (t *Table) RecordAnswer(now time.Duration, name string) {
	if e := t.entries[name]; e != nil {
		e.heard = now
	}
}

// RecordProbeFailure makes an incarnation suspect that could not be reached directly or through
// other nodes.
func (t *Table) RecordProbeFailure(now time.Duration, target Node) {
	e := t.entries[target.Name]
	if e == nil || e.node.Incarnation != target.Incarnation || e.node.State != Alive {
		return
	}
	t.setState(now, e, Suspect)
}

func (t *Table) setState(now time.Duration, e *entry, state State) {
	e.node.State = state
	e.changed = now
	node := e.node
	t.enqueue("node/"+node.Name, Update{Node: &node})
}

// Tick marks suspects dead that did not refute the suspicion in time, and removes nodes that
// have been dead for ForgetAfter.
func (t *Table) Tick(now time.Duration) {
	for _, name := range t.names() {
		e := t.entries[name]
		age := now - e.changed
		switch {
		case e.node.State == Suspect && age >= t.settings.SuspectFor:
			t.setState(now, e, Dead)
		case e.node.State == Dead && age >= t.settings.ForgetAfter:
			delete(t.entries, name)
		}
	}
}
