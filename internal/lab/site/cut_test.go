package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/lab/linkcut"
	"github.com/tinarch/tinarch/internal/settings"
)

const (
	// contact is the time after which a node that has lost links must serve its callers like the
	// others, and measured how long that is checked.
	contact  = 3 * time.Second
	measured = 4 * time.Second
	// callersPerNode makes a node that serves nobody fail more requests than are forgiven.
	callersPerNode = 8
	// firstOutbound is the last byte of the first node's address.
	firstOutbound = 2
)

// outbound is the address that a node connects from; the first node has number 0.
func outbound(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, byte(firstOutbound + number)})
}

// startCuttable starts a site whose nodes connect from addresses of their own.
func startCuttable(t *testing.T, count int) *site {
	t.Helper()
	s := startWith(t, connectsFrom(0))
	for number := 1; number < count; number++ {
		s.addCuttableNode(number)
	}
	s.awaitPeers()
	return s
}

// connectsFrom makes a node use an address of its own for workers and other nodes.
func connectsFrom(number int) func(*settings.Routed) { return connectsFromAddress(outbound(number)) }

func connectsFromAddress(address netip.Addr) func(*settings.Routed) {
	return func(configured *settings.Routed) {
		_, port, _ := net.SplitHostPort(configured.Listen.Exchange)
		configured.Listen.Exchange = net.JoinHostPort(address.String(), port)
		configured.Listen.Outbound = address.String()
	}
}

func (s *site) addCuttableNode(number int) {
	s.t.Helper()
	name := fmt.Sprintf("node-%d", number+1)
	node, address := s.startNode(name, connectsFrom(number))
	s.others = append(s.others, &otherNode{node: node, address: address})
	s.await(name+" is ready", node.Ready)
}

// cutLinks cuts the links of some nodes to workers, all of them if none is named.
func (s *site) cutLinks(mode linkcut.Mode, nodes []int, ids ...string) {
	for id, worker := range s.workers {
		if len(ids) > 0 && !slices.Contains(ids, id) {
			continue
		}
		for _, number := range nodes {
			worker.Links().Cut(mode, outbound(number))
		}
	}
}

// restoreLinks ends all cuts of some nodes.
func (s *site) restoreLinks(nodes ...int) {
	for _, worker := range s.workers {
		for _, number := range nodes {
			worker.Links().Restore(outbound(number))
		}
	}
}

// designated returns the numbers of the nodes that act for all.
func (s *site) designated() []int {
	var numbers []int
	if s.node.Designated() {
		numbers = append(numbers, 0)
	}
	for i, other := range s.others {
		if other.node.Designated() {
			numbers = append(numbers, i+1)
		}
	}
	return numbers
}

// share is how many requests were sent to nodes at the first attempt, and served.
type share struct{ served, sent int }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// shares returns the share served of what was sent from a time on, at the nodes that were cut off
// and at the others.
func (s *site) shares(seen *loadAnswers, cut []int, from, until time.Time) (there, elsewhere share) {
	addresses := s.addresses()
	for _, one := range seen.seen {
		if one.sent.Before(from) || one.sent.After(until) {
			continue
		}
		counted := &elsewhere
		if slices.Contains(cut, slices.Index(addresses, one.node)) {
			counted = &there
		}
		counted.sent++
		if one.status == http.StatusOK && one.readErr == nil {
			counted.served++
		}
	}
	return there, elsewhere
}

// expectServedAlike checks that nodes which were cut off serve two thirds as often as the others
// at least, or fail no more than 10 and one in 50.
func expectServedAlike(t *testing.T, there, elsewhere share) {
	t.Helper()
	failed := there.sent - there.served
	often := float64(there.served) * float64(elsewhere.sent) * 3 / 2
	if failed > 10+there.sent/50 && often < float64(elsewhere.served)*float64(there.sent) {
		t.Errorf("nodes that have lost their links served %v requests at the first attempt, the others %v", there, elsewhere)
	}
}

// TestNodesThatLoseTheirLinksServeLikeTheOthers guards against a node that refuses its callers
// because it can't connect to workers which other nodes reach.
func TestNodesThatLoseTheirLinksServeLikeTheOthers(t *testing.T) {
	t.Parallel()
	for _, mode := range linkcut.Modes {
		for name, cut := range map[string][]int{"one node": {0}, "all nodes but one": {1, 2}} {
			t.Run(name+" "+string(mode), func(t *testing.T) {
				t.Parallel()
				s := startCuttable(t, 3)
				ctx, cancel := context.WithTimeout(t.Context(), contact+measured)
				defer cancel()
				begun := time.Now()
				s.cutLinks(mode, cut)
				seen := s.sendRecordedLoad(ctx, callersPerNode, "/board/1", "/verdict/1", "/submit/1", "/check/1", "/once/1")
				there, elsewhere := s.shares(seen, cut, begun.Add(contact), begun.Add(contact+measured))
				t.Logf("cut off: %v; others: %v", there, elsewhere)
				expectServedAlike(t, there, elsewhere)
			})
		}
	}
}

// TestNodeThatLosesItsLinksLeavesTheDutiesToOthers guards against orders to workers that nobody gives,
// because the node that is to give them reaches no worker.
func TestNodeThatLosesItsLinksLeavesTheDutiesToOthers(t *testing.T) {
	t.Parallel()
	s := startCuttable(t, 3)
	s.await("one node acts for all", func() bool { return len(s.designated()) == 1 })
	cut := s.designated()[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.sendLoad(ctx, 2, "/board/1", "/verdict/1", "/check/1")
	s.cutLinks(linkcut.Hang, []int{cut})
	s.await("another node acts for all", func() bool {
		designated := s.designated()
		return len(designated) == 1 && designated[0] != cut
	})
	all := []int{0, 1, 2}
	s.cutLinks(linkcut.Hang, all)
	time.Sleep(contact)
	s.restoreLinks(all...)
	s.await("the first node acts for all again", func() bool { return slices.Equal(s.designated(), []int{cut}) })
}

// TestNodesThatLoseTheirLinksAccuseNoWorker guards against nodes that tell the others of failures of
// workers which these reach.
func TestNodesThatLoseTheirLinksAccuseNoWorker(t *testing.T) {
	t.Parallel()
	for _, mode := range []linkcut.Mode{linkcut.Hang, linkcut.Reset, linkcut.HangNew} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			s := startCuttable(t, 3)
			ctx, cancel := context.WithTimeout(t.Context(), contact+measured)
			defer cancel()
			s.cutLinks(mode, []int{0, 1})
			s.sendLoad(ctx, callersPerNode, "/board/1", "/verdict/1", "/check/1")
			if told := s.logLinesWith("another node tells of failures"); told != "" {
				t.Errorf("workers that the third node reaches were accused:\n%s", told)
			}
		})
	}
}

// TestRequestsAreRefusedAtOnceWhereNobodyReachesAWorker guards against callers that wait for timeouts
// of links which are known to be lost, and against a refusal that names another cause.
func TestRequestsAreRefusedAtOnceWhereNobodyReachesAWorker(t *testing.T) {
	t.Parallel()
	s := startCuttable(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), contact)
	defer cancel()
	s.cutLinks(linkcut.Hang, []int{0})
	s.sendLoad(ctx, 2, "/board/1", "/verdict/1") // the first node learns that its links are lost
	s.cutLinks(linkcut.Hang, []int{0, 1, 2})
	paths := []string{"/board/1", "/submit/1", "/verdict/1", "/once/1"}
	for _, path := range paths {
		s.await("the first node refuses "+path+" for want of links", func() bool {
			return strings.HasPrefix(s.ask(http.MethodPost, path, nil, "x").body, "[2012 ")
		})
	}
	for _, path := range paths {
		got := s.ask(http.MethodPost, path, nil, "x")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(s.runs(got.id)) > 0 {
			t.Errorf("%s: status %d, Retry-After %q, %d runs: %s", path, got.status, got.header.Get("Retry-After"), len(s.runs(got.id)), got.body)
		}
	}
	s.restoreLinks(0, 1, 2)
	s.await("the first node serves again", func() bool { return s.ask(http.MethodPost, "/board/1", nil, "x").status == http.StatusOK })
}

// startTunnelled starts a site of two nodes of which the first has lost its links and uses tunnels.
func startTunnelled(t *testing.T) *site {
	t.Helper()
	s := startCuttable(t, 2)
	s.cutLinks(linkcut.Hang, []int{0})
	for _, path := range []string{"/board/1", "/verdict/1"} {
		s.await(path+" is served through the other node", func() bool {
			got := s.ask(http.MethodPost, path, nil, "x")
			return got.status == http.StatusOK && strings.Contains(s.logLinesWith(got.id), "through=\"127.0.0.3:")
		})
	}
	return s
}

// TestRequestWhoseTunnelBreaksIsNotRunAgain guards against a second run of a request that may not be
// repeated, and against a refusal that says it has not run.
func TestRequestWhoseTunnelBreaksIsNotRunAgain(t *testing.T) {
	t.Parallel()
	s := startTunnelled(t)
	s.setFaults(portal, fleetworker.Hanging, -1)
	answers := make(chan answer, 1)
	go func() { answers <- s.ask(http.MethodPost, "/submit/1", nil, "x") }()
	hangs := func() string {
		for _, worker := range s.workers {
			for _, run := range worker.Runs() {
				if run.Target == "/submit/1" {
					return run.ID
				}
			}
		}
		return ""
	}
	s.await("the request runs", func() bool { return hangs() != "" })
	s.others[0].node.Close()
	got := <-answers
	if got.status != http.StatusBadGateway || len(s.runs(got.id)) != 1 {
		t.Errorf("status %d (%s), %d runs", got.status, got.body, len(s.runs(got.id)))
	}
}

// TestCallerThatLeavesEndsItsWorkThroughATunnel guards against workers that go on for callers who have
// left, because another node lies in between.
func TestCallerThatLeavesEndsItsWorkThroughATunnel(t *testing.T) {
	t.Parallel()
	s := startTunnelled(t)
	s.setFaults("", fleetworker.Hanging, -1)
	for _, path := range []string{"/board/1", "/check/1"} {
		before := s.callersGone()
		ctx, cancel := context.WithCancel(t.Context())
		request := s.request(http.MethodPost, path, "x").WithContext(ctx)
		id := request.Header.Get("X-Request-Id")
		go func() {
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		s.await(path+" runs", func() bool { return len(s.runs(id)) > 0 })
		cancel()
		s.await("the worker of "+path+" knows that its caller has left", func() bool { return s.callersGone() > before })
	}
}

// callersGone counts the requests at all workers whose callers have left.
func (s *site) callersGone() int {
	count := 0
	for _, worker := range s.workers {
		count += worker.CallersGone()
	}
	return count
}

// TestBrokenOffAnswersAreNotFramedAsCompleteThroughATunnel guards against ends of answers that change
// their meaning between two nodes.
func TestBrokenOffAnswersAreNotFramedAsCompleteThroughATunnel(t *testing.T) {
	t.Parallel()
	s := startTunnelled(t)
	for _, framing := range []fleetworker.Framing{fleetworker.ByLength, fleetworker.ByChunks, fleetworker.ByClose} {
		for _, closing := range []fleetworker.Closing{fleetworker.Orderly, fleetworker.Reset} {
			s.setDeliveries("portal", fleetworker.Delivery{Framing: framing, Sent: 3, Closing: closing}, -1)
			if got := s.ask(http.MethodPost, "/once/1", nil, "x"); got.status == http.StatusOK && got.framedAsComplete() {
				t.Errorf("%s, %s: framed as complete with %q", framing, closing, got.body)
			}
		}
	}
}

// TestWorkerThatNoNodeReachesIsToldToTheOthers guards against nodes that each find out for themselves
// that a worker's machine has failed.
func TestWorkerThatNoNodeReachesIsToldToTheOthers(t *testing.T) {
	t.Parallel()
	s := startCuttable(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.sendLoad(ctx, 2, "/board/1")
	s.cutLinks(linkcut.Hang, []int{0, 1, 2}, "portal-1")
	s.await("a node tells the others of portal-1", func() bool {
		return strings.Contains(s.logLinesWith("another node tells of failures"), "portal-1")
	})
	if lost := s.logLinesWith("the link to a worker is lost"); lost != "" {
		t.Errorf("a link is taken for lost:\n%s", lost)
	}
}

// TestWorkersThatOneNodeEachReachesServeAllNodes guards against nodes that open no connections for
// others because they have lost most of their own links.
func TestWorkersThatOneNodeEachReachesServeAllNodes(t *testing.T) {
	t.Parallel()
	s := startCuttable(t, 3)
	for number, ids := range [][]string{{"portal-2", "write-1", "read-1"}, {"portal-1", "write-1", "write-2"}, {"portal-1", "portal-2", "write-2", "read-1"}} {
		s.cutLinks(linkcut.Hang, []int{number}, ids...)
	}
	ctx, cancel := context.WithTimeout(t.Context(), contact+measured)
	defer cancel()
	begun := time.Now()
	seen := s.sendRecordedLoad(ctx, callersPerNode, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	served, _ := s.shares(seen, []int{0, 1, 2}, begun.Add(contact), begun.Add(contact+measured))
	if failed := served.sent - served.served; failed > 10+served.sent/50 {
		t.Errorf("%v requests were served although each worker is reached by a node", served)
	}
}
