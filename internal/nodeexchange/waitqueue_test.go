package nodeexchange

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
	"github.com/tinarch/tinarch/internal/worker"
)

// waitNetwork is a network of nodes in virtual time. Messages arrive at once unless they are
// kept or lost.
type waitNetwork struct {
	now    time.Time
	nodes  []*waitQueue
	queues map[string]time.Duration
	// lost tells which messages are lost, and kept holds back those that contain a grant.
	lost      func(from, to int, message waitMessage) bool
	keep      bool
	kept      []func()
	suspended map[int]bool
	outcomes  map[grantOutcome]int
}

// newWaitNetwork returns nodes that are all homes of all engines, the first node being the first
// one of each.
func newWaitNetwork(nodes int) *waitNetwork {
	n := &waitNetwork{
		now: time.Unix(1000, 0), queues: make(map[string]time.Duration), suspended: make(map[int]bool),
		lost: func(int, int, waitMessage) bool { return false }, outcomes: make(map[grantOutcome]int),
	}
	for i := range nodes {
		n.nodes = append(n.nodes, newWaitQueue(waitLinks{
			self: addressOf(i), node: fmt.Sprint("n", i), started: n.now.Add(-time.Duration(i) * time.Hour),
			send: func(to netip.AddrPort, message waitMessage) { n.send(i, to, message) },
			account: func(engine string, _ time.Time) (time.Duration, bool) {
				queue, known := n.queues[engine]
				return queue, known
			},
			arbiter: func(_ string, silent func(netip.AddrPort) bool, _ time.Time) netip.AddrPort {
				for home := range nodes {
					if home == i || !silent(addressOf(home)) {
						return addressOf(home)
					}
				}
				return addressOf(i)
			},
			count: func(outcome grantOutcome) { n.outcomes[outcome]++ },
		}))
	}
	return n
}

func (n *waitNetwork) send(from int, to netip.AddrPort, message waitMessage) {
	i := slices.IndexFunc(n.nodes, func(q *waitQueue) bool { return q.self == to })
	if n.lost(from, i, message) || n.suspended[i] {
		return
	}
	arrive := func() { n.nodes[i].receive(n.nodes[from].self, n.nodes[from].node, message, n.now) }
	if n.keep && len(message.Grants) > 0 {
		n.kept = append(n.kept, arrive)
		return
	}
	arrive()
}

// pass lets time pass for all nodes that aren't suspended.
func (n *waitNetwork) pass(span time.Duration) {
	for end := n.now.Add(span); n.now.Before(end); {
		n.now = n.now.Add(waitStep)
		for i, node := range n.nodes {
			if !n.suspended[i] {
				node.step(n.now)
			}
		}
	}
}

// waitingCall is a waiting request in a test.
type waitingCall struct {
	node    *waitQueue
	number  uint64
	granted <-chan waitlist.Grant
}

// join makes a request wait at a node for an engine, for up to ten seconds.
func (n *waitNetwork) join(node, rank int, engine string) waitingCall {
	w := waitlist.Waiter{Rank: rank, Tokens: 1, Choices: []waitlist.Choice{{Engine: engine, Latest: n.now.Add(10 * time.Second)}}}
	number, granted := n.nodes[node].join(w, n.now)
	return waitingCall{n.nodes[node], number, granted}
}

// has reports whether the request has been granted an engine.
func (c waitingCall) has() bool {
	select {
	case <-c.granted:
		return true
	default:
		return false
	}
}

const busyEngine = time.Second

// TestIdleEngineGoesToTheFirstOverAllNodes checks that an engine goes to the most urgent of the
// requests that wait at several nodes, as soon as it is idle.
func TestIdleEngineGoesToTheFirstOverAllNodes(t *testing.T) {
	n := newWaitNetwork(4)
	n.queues["e"] = busyEngine
	calls := []waitingCall{n.join(1, 2, "e"), n.join(2, 1, "e"), n.join(3, 2, "e")}
	n.pass(time.Second)
	for i, call := range calls {
		if call.has() {
			t.Fatalf("request %d was granted a busy engine", i)
		}
	}
	standing, known := calls[0].node.standing(calls[0].number)
	if !known || standing.Ahead == 0 || standing.Wait < busyEngine {
		t.Errorf("told %+v, %v", standing, known)
	}
	n.queues["e"] = 0
	n.pass(waitStep)
	if calls[0].has() || !calls[1].has() || calls[2].has() {
		t.Error("the engine didn't go to the most urgent request alone")
	}
}

// TestLostGrantIsGivenAgain checks that an engine whose grant was lost is granted again.
func TestLostGrantIsGivenAgain(t *testing.T) {
	n := newWaitNetwork(2)
	n.queues["e"] = busyEngine
	call := n.join(1, 0, "e")
	grants := 0
	n.lost = func(_, _ int, message waitMessage) bool {
		grants += len(message.Grants)
		return len(message.Grants) > 0 && grants == 1
	}
	n.queues["e"] = 0
	n.pass(waitlist.GrantLife + waitlist.WaiterLife)
	if !call.has() || grants < 2 {
		t.Errorf("not granted after a loss, %d grants", grants)
	}
}

// TestDoubledGrantIsUsedOnce checks that the second copy of a grant changes nothing, whether the
// request still waits or not.
func TestDoubledGrantIsUsedOnce(t *testing.T) {
	n := newWaitNetwork(2)
	call := n.join(1, 0, "e")
	n.keep, n.queues["e"] = true, 0
	n.pass(waitStep)
	n.kept[0]()
	n.kept[0]()
	if !call.has() || call.has() || n.outcomes[grantDoubled] != 1 {
		t.Errorf("not granted once: %v", n.outcomes)
	}
	call.node.leave(call.number, "e", n.now)
	n.kept[0]()
	other := n.join(1, 0, "e")
	if n.outcomes[grantEnded] != 1 || other.has() {
		t.Errorf("%v, granted twice: %v", n.outcomes, other.has())
	}
}

// TestSecondCopyOfADeclinedGrantIsNotUsed checks that a node doesn't use a grant that it has
// given back, since the arbiter may have granted the engine to another request.
func TestSecondCopyOfADeclinedGrantIsNotUsed(t *testing.T) {
	n := newWaitNetwork(2)
	call := n.join(1, 0, "e")
	n.keep, n.queues["e"] = true, 0
	n.pass(waitStep)
	n.kept[0]()
	call.node.decline(call.number)
	n.kept[0]()
	if call.has() {
		t.Errorf("used: %v", n.outcomes)
	}
}

// TestLateMessageDeclinesNoLaterGrant checks that a message that declines a grant doesn't end a
// later one of the same engine, which the request may be using.
func TestLateMessageDeclinesNoLaterGrant(t *testing.T) {
	n := newWaitNetwork(2)
	call := n.join(1, 0, "e")
	var late waitMessage
	n.lost = func(_, _ int, message waitMessage) bool {
		if len(message.Declined) > 0 {
			late = message
			return true
		}
		return false
	}
	n.queues["e"] = 0
	n.pass(waitStep)
	call.node.decline(call.number)
	call.has()
	granted := false
	for range 40 {
		if n.pass(waitStep); call.has() {
			granted = true
			break
		}
	}
	if len(late.Declined) == 0 || !granted {
		t.Fatal("not granted again after the message was lost")
	}
	other := n.join(0, 1, "e")
	n.nodes[0].receive(n.nodes[1].self, n.nodes[1].node, late, n.now)
	n.nodes[0].step(n.now)
	if other.has() {
		t.Error("the engine was granted twice")
	}
}

// TestLateGrantIsNotUsed checks that a grant that arrives after its end isn't used, since the
// engine may have been granted to another request.
func TestLateGrantIsNotUsed(t *testing.T) {
	n := newWaitNetwork(2)
	call := n.join(1, 0, "e")
	n.keep, n.queues["e"] = true, 0
	n.pass(waitStep)
	late := n.kept[0]
	n.pass(waitlist.GrantLife + waitlist.RenewInterval)
	late()
	if call.has() || n.outcomes[grantLate] != 1 {
		t.Errorf("used: %v", n.outcomes)
	}
}

// TestNextHomeReplacesALostArbiter checks that requests are granted engines after their arbiter
// is lost.
func TestNextHomeReplacesALostArbiter(t *testing.T) {
	n := newWaitNetwork(4)
	n.queues["e"] = busyEngine
	calls := []waitingCall{n.join(2, 1, "e"), n.join(3, 0, "e")}
	n.pass(time.Second)
	n.suspended[0] = true
	n.pass(time.Second)
	n.queues["e"] = 0
	n.pass(waitStep)
	if calls[0].has() || !calls[1].has() {
		t.Error("the next home doesn't grant the engine in the order")
	}
}

// TestNodeThatIsCutOffDecidesAlone checks that a node that reaches no other one grants engines
// itself.
func TestNodeThatIsCutOffDecidesAlone(t *testing.T) {
	n := newWaitNetwork(4)
	n.lost = func(from, to int, _ waitMessage) bool { return from == 3 || to == 3 }
	n.queues["e"] = 0
	call := n.join(3, 0, "e")
	n.pass(2 * time.Second)
	if !call.has() {
		t.Error("the request waits for arbiters that can't be reached")
	}
}

// TestRequestsOfALostNodeAreForgotten checks that an engine isn't kept for requests of a node
// that was lost.
func TestRequestsOfALostNodeAreForgotten(t *testing.T) {
	n := newWaitNetwork(3)
	n.queues["e"] = busyEngine
	n.join(1, 0, "e")
	call := n.join(2, 1, "e")
	n.pass(time.Second)
	n.suspended[1] = true
	n.queues["e"] = 0
	n.pass(waitlist.WaiterLife + waitlist.GrantLife + waitStep)
	if !call.has() {
		t.Error("the engine is kept for the lost node")
	}
}

// TestSuspendedNode checks that a node that was suspended for five seconds neither uses a grant
// of that time nor takes the arbiters for lost because it didn't hear their answers.
func TestSuspendedNode(t *testing.T) {
	n := newWaitNetwork(2)
	n.queues["e"] = busyEngine
	call := n.join(1, 0, "e")
	n.pass(time.Second)
	asked := false
	n.lost = func(_, _ int, message waitMessage) bool {
		asked = asked || len(message.Waiters) > 0
		return len(message.Standings) > 0
	}
	for !asked {
		n.pass(waitStep)
	}
	n.keep, n.queues["e"] = true, 0
	n.nodes[0].step(n.now)
	n.suspended[1] = true
	n.pass(5 * time.Second)
	n.suspended[1], n.keep = false, false
	n.nodes[1].step(n.now)
	if len(n.kept) != 1 || n.nodes[1].isSilent(addressOf(0), n.now) {
		t.Fatalf("%d grants while suspended, the arbiter counts as lost: %v", len(n.kept), n.nodes[1].isSilent(addressOf(0), n.now))
	}
	call.has() // granted since it woke up
	n.kept[0]()
	if call.has() {
		t.Error("a grant of five seconds ago is used")
	}
}

// TestAllAreServedAfterHalfOfTheNodesAreLost checks that each request of the nodes that are left
// is granted the engine in the end, one after the other.
func TestAllAreServedAfterHalfOfTheNodesAreLost(t *testing.T) {
	n := newWaitNetwork(8)
	n.queues["e"] = busyEngine
	waiting := make(map[int]waitingCall)
	for i := range n.nodes {
		waiting[i] = n.join(i, i%3, "e")
	}
	n.pass(time.Second)
	for i := range 4 {
		n.suspended[i] = true
		delete(waiting, i)
	}
	n.queues["e"] = 0
	for range 200 {
		n.pass(waitStep)
		for _, i := range slices.Sorted(maps.Keys(waiting)) {
			if call := waiting[i]; call.has() {
				call.node.leave(call.number, "e", n.now)
				delete(waiting, i)
			}
		}
	}
	if len(waiting) != 0 {
		t.Errorf("%d requests still wait", len(waiting))
	}
}

// TestDeclinedGrantGoesToTheNextNode checks that a grant that can't be used is given to the next
// request at once, and that the request waits on.
func TestDeclinedGrantGoesToTheNextNode(t *testing.T) {
	n := newWaitNetwork(3)
	n.queues["e"] = busyEngine
	first, second := n.join(1, 0, "e"), n.join(2, 1, "e")
	n.queues["e"] = 0
	n.pass(waitStep)
	if !first.has() {
		t.Fatal("not granted")
	}
	first.node.decline(first.number)
	n.nodes[0].step(n.now)
	if !second.has() {
		t.Error("not granted to the next")
	}
	second.node.leave(second.number, "", n.now)
	n.pass(waitlist.RenewInterval + waitlist.RenewSpread)
	if !first.has() {
		t.Error("the first request doesn't wait any more")
	}
}

// TestOlderArbiterDoesNotAnswer checks that a node turns to the next home where the first one
// runs a build that ignores the messages.
func TestOlderArbiterDoesNotAnswer(t *testing.T) {
	n := newWaitNetwork(3)
	n.lost = func(_, to int, _ waitMessage) bool { return to == 0 }
	n.queues["e"] = 0
	call := n.join(2, 0, "e")
	n.pass(time.Second)
	if !call.has() {
		t.Error("the request waits for a node that never answers")
	}
}

// TestPreferredEngineIsAskedForFirst checks that a request gets the idle engine that it prefers
// where several are idle, and any other one if that is taken or its arbiter doesn't answer.
func TestPreferredEngineIsAskedForFirst(t *testing.T) {
	for name, test := range map[string]struct {
		taken, lost bool
		want        string
	}{"idle": {want: "f"}, "taken": {taken: true, want: "e"}, "no answer": {lost: true, want: "e"}} {
		n := newWaitNetwork(3)
		n.queues["e"], n.queues["f"] = 0, 0
		if test.taken {
			n.join(2, 0, "f")
		}
		first := true
		n.lost = func(_, _ int, message waitMessage) bool {
			lost := test.lost && first && len(message.Waiters) > 0
			first = false
			return lost
		}
		latest := n.now.Add(10 * time.Second)
		_, granted := n.nodes[1].join(waitlist.Waiter{
			Rank: 1, Choices: []waitlist.Choice{{Engine: "e", Latest: latest}, {Engine: "f", Latest: latest}}, Prefer: "f",
		}, n.now)
		n.pass(waitlist.RenewInterval + waitlist.RenewSpread)
		select {
		case got := <-granted:
			if got.Engine != test.want {
				t.Errorf("%s: granted %q, want %q", name, got.Engine, test.want)
			}
		default:
			t.Errorf("%s: nothing was granted", name)
		}
	}
}

// TestWaitMessagesFitInDatagrams checks that many waiting requests are sent in several messages.
func TestWaitMessagesFitInDatagrams(t *testing.T) {
	n := newWaitNetwork(2)
	e := &Exchange{log: quiet()}
	n.lost = func(_, _ int, message waitMessage) bool {
		if e.encode(Message{Node: "0123456789ab", Waits: &message}) == nil {
			t.Error("a message is too large")
		}
		return false
	}
	var choices []waitlist.Choice
	for i := range waitlist.MaxChoices {
		choices = append(choices, waitlist.Choice{Engine: fmt.Sprintf("engine-with-a-long-name-%08d", i), Latest: n.now.Add(10 * time.Second)})
	}
	for range 100 {
		n.nodes[1].join(waitlist.Waiter{Tenant: "a tenant with a long name", Tokens: 100_000, Choices: choices}, n.now)
	}
	n.pass(waitlist.RenewInterval + waitlist.RenewSpread)
	if n.nodes[0].list.Len() != 100 {
		t.Errorf("the arbiter knows %d requests", n.nodes[0].list.Len())
	}
}

// TestEnginesAreGrantedOverUDP checks that requests of several nodes are granted an engine one
// after the other once the load that another node has placed on it has gone, whether all nodes
// know that load or only the engine's homes.
func TestEnginesAreGrantedOverUDP(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		exchanges, registries := cluster(t, nodes)
		for _, registry := range registries {
			registry.Replace([]worker.Worker{{ID: "p", Service: "s", Stage: worker.Prefill}})
		}
		load := worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(0, 100_000)}
		registries[0].Begin("p", load)
		waitUntil(t, "all homes know the load", func() bool {
			return !slices.ContainsFunc(exchanges, func(e *Exchange) bool {
				queue, _ := e.registry.PrefillQueue("p", time.Now())
				return e.Tracked([]string{"p"})[0] && queue == 0
			})
		})
		w := waitlist.Waiter{Choices: []waitlist.Choice{{Engine: "p", Latest: time.Now().Add(time.Hour)}}}
		number, granted := exchanges[1].JoinWait(w)
		_, otherGranted := exchanges[2].JoinWait(w)
		exchange := exchanges[1]
		registries[0].End("p", load)
		select {
		case <-granted:
		case <-otherGranted:
			number, exchange, otherGranted = 1, exchanges[2], granted
		}
		exchange.LeaveWait(number, "")
		if next := <-otherGranted; next.Engine != "p" {
			t.Errorf("%d nodes: granted %q", nodes, next.Engine)
		}
	}
}

// TestOneLostQuestionKeepsTheArbiter checks, with steps that are as uneven as timers are, that an
// arbiter isn't passed over because of one lost question.
func TestOneLostQuestionKeepsTheArbiter(t *testing.T) {
	for lostAt := range 20 {
		n := newWaitNetwork(2)
		n.queues["e"] = busyEngine
		questions := 0
		n.lost = func(_, _ int, message waitMessage) bool {
			if len(message.Waiters) == 0 {
				return false
			}
			questions++
			return questions == lostAt+1
		}
		n.join(1, 0, "e")
		for end := n.now.Add(4 * time.Second); n.now.Before(end); {
			n.now = n.now.Add(waitStep + time.Millisecond)
			for _, node := range n.nodes {
				node.step(n.now)
			}
			if n.nodes[1].isSilent(addressOf(0), n.now) {
				t.Fatalf("the arbiter was passed over after question %d was lost", lostAt+1)
			}
		}
	}
}

// TestOnlyThePreferredEngineIsAskedForAtFirst checks that after a time in which nothing waited the
// others aren't asked before the arbiter of the preferred one can have answered.
func TestOnlyThePreferredEngineIsAskedForAtFirst(t *testing.T) {
	n := newWaitNetwork(2)
	asked := make(map[string]bool)
	n.lost = func(_, _ int, message waitMessage) bool {
		for _, w := range message.Waiters {
			for _, choice := range w.Choices {
				asked[choice.Engine] = asked[choice.Engine] || choice.Here
			}
		}
		return true // under way
	}
	latest := n.now.Add(10 * time.Second)
	n.nodes[1].join(waitlist.Waiter{Choices: []waitlist.Choice{{Engine: "e", Latest: latest}, {Engine: "f", Latest: latest}}, Prefer: "f"}, n.now)
	n.nodes[1].step(n.now.Add(time.Millisecond))
	if !asked["f"] || asked["e"] {
		t.Errorf("asked for %v, want f alone", asked)
	}
}

// TestGrantWithoutAnEngineIsIgnored checks that malformed grants neither are used nor block the
// node.
func TestGrantWithoutAnEngineIsIgnored(t *testing.T) {
	n := newWaitNetwork(2)
	n.queues["e"] = busyEngine
	call := n.join(1, 0, "e")
	sent := n.now.Sub(n.nodes[1].started).Microseconds()
	for serial := range uint64(3) {
		n.nodes[1].receive(addressOf(0), "n0", waitMessage{Grants: []wireGrant{{Number: call.number, Sent: sent, Serial: 100 + serial}}}, n.now)
	}
	if call.has() {
		t.Error("the request was granted an engine without a name")
	}
}
