package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
	"github.com/tinarch/tinarch/internal/settings"
)

// Durations and bounds of the cuts between nodes and workers.
const (
	minCut       = 1500 * time.Millisecond
	maxCut       = 8 * time.Second
	maxCutPause  = 2 * time.Second
	flapInterval = 900 * time.Millisecond
	// contactTime is the time after which a node that has lost its links must serve its callers like
	// the others.
	contactTime = 3 * time.Second
	// cutFailures and cutFailureShare are the failures that a node which is cut off may have.
	cutFailures     = 10
	cutFailureShare = 0.02
	// cutServedShare is the least it must serve of what the others do.
	cutServedShare = 2.0 / 3
	// firstOutbound is the last byte of the first node's address.
	firstOutbound = 10
)

// outboundOf is the address from which a node of this build connects to workers and other nodes.
// Nodes of an earlier build, which can't be told it, connect from 127.0.0.1 and are never cut off.
func outboundOf(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, byte(firstOutbound + number)})
}

// withOutbound returns the settings that a node starts a program with.
func (o Options) withOutbound(configured settings.Routed, number int, program string) settings.Routed {
	if o.Cuts && program != o.Earlier {
		configured.Listen.Outbound = outboundOf(number).String()
	}
	return configured
}

// cut is a time in which some nodes were cut off from workers.
type cut struct {
	span
	nodes []int
	// whole tells that they were cut off from all workers.
	whole bool
}

// cuts holds the cuts of a run, and the faults that excuse nodes.
type cuts struct {
	mu   sync.Mutex
	done []cut
	// current holds the links that are cut now, by worker; those of all workers are under "".
	current map[string]map[netip.Addr]linkcut.Mode
	faults  map[string][]span
}

// recordFault records a fault of a node other than a cut.
func (c *cuts) recordFault(node string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults == nil {
		c.faults = make(map[string][]span)
	}
	c.faults[node] = append(c.faults[node], span{from: from, to: to.Add(contactTime)})
}

func (c *cuts) inFault(node string, at time.Time) bool {
	return slices.ContainsFunc(c.faults[node], func(s span) bool { return s.holds(at) })
}

// recordNodeFault records a fault of a node for all checks that excuse it.
func (s *site) recordNodeFault(node string, from, to time.Time) {
	s.limits.recordFault(node, from, to)
	s.cuts.recordFault(node, from, to)
}

// cutRepeatedly cuts some nodes off from workers, again and again, until ctx is done.
func (s *site) cutRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 69))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxCutPause))))
		what := s.cutOnce(ctx, random)
		_, _ = fmt.Fprintf(s.options.Out, "%7.2f s  %s\n", time.Since(s.started).Seconds(), what)
	}
}

// cutOnce cuts some nodes off from some workers for a while.
func (s *site) cutOnce(ctx context.Context, random *rand.Rand) string {
	nodes, workers := s.pickNodes(random), s.pickWorkers(random)
	mode := linkcut.Modes[random.IntN(len(linkcut.Modes))]
	length := minCut + time.Duration(random.Int64N(int64(maxCut-minCut)))
	flaps := random.IntN(4) == 0
	begun := time.Now()
	for end := begun.Add(length); ctx.Err() == nil && time.Now().Before(end); {
		s.setCut(mode, nodes, workers)
		if !flaps {
			sleep(ctx, time.Until(end))
			break
		}
		sleep(ctx, flapInterval)
		s.endCuts()
		sleep(ctx, flapInterval)
	}
	s.endCuts()
	s.cuts.mu.Lock()
	s.cuts.done = append(s.cuts.done, cut{span{from: begun, to: time.Now()}, nodes, workers == nil})
	s.cuts.mu.Unlock()
	which := "all workers"
	if workers != nil {
		which = strings.Join(workers, " ")
	}
	return fmt.Sprintf("nodes %v were cut off (%s, flapping %v) from %s for %v", nodes, mode, flaps, which, length.Round(time.Millisecond))
}

// pickNodes picks one node, some, all but one, or rarely all.
func (s *site) pickNodes(random *rand.Rand) []int {
	all := random.Perm(len(s.nodes))
	switch random.IntN(8) {
	case 0:
		return all
	case 1, 2, 3:
		return all[1:]
	case 4, 5:
		return all[:1]
	}
	return all[:1+random.IntN(len(all)-1)]
}

// pickWorkers picks all workers (nil), all but one, or some.
func (s *site) pickWorkers(random *rand.Rand) []string {
	var ids []string
	for _, worker := range s.runningWorkers() {
		ids = append(ids, worker.ID())
	}
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	switch random.IntN(4) {
	case 0:
		return ids[1:]
	case 1:
		return ids[:1+random.IntN(len(ids)-1)]
	}
	return nil
}

// setCut cuts links. No workers means all, also those that start later.
func (s *site) setCut(mode linkcut.Mode, nodes []int, workers []string) {
	cutOff := make(map[netip.Addr]linkcut.Mode)
	for _, number := range nodes {
		cutOff[outboundOf(number)] = mode
	}
	s.cuts.mu.Lock()
	s.cuts.current = make(map[string]map[netip.Addr]linkcut.Mode)
	if workers == nil {
		s.cuts.current[""] = cutOff
	}
	for _, id := range workers {
		s.cuts.current[id] = cutOff
	}
	s.cuts.mu.Unlock()
	for _, worker := range s.runningWorkers() {
		s.applyCuts(worker)
	}
}

// applyCuts puts the present cuts in force at a worker.
func (s *site) applyCuts(worker *soakWorker) {
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	for _, links := range []map[netip.Addr]linkcut.Mode{s.cuts.current[""], s.cuts.current[worker.ID()]} {
		for node, mode := range links {
			worker.proxy.Links().Cut(mode, node)
		}
	}
}

func (s *site) endCuts() {
	s.cuts.mu.Lock()
	s.cuts.current = nil
	s.cuts.mu.Unlock()
	for _, worker := range s.runningWorkers() {
		for number := range s.nodes {
			worker.proxy.Links().Restore(outboundOf(number))
		}
	}
}

// served counts the requests that were sent to some nodes, and those that were served.
type served struct{ sent, served int }

func (s *served) count(got observation) {
	s.sent++
	if got.status == http.StatusOK && got.err == nil {
		s.served++
	}
}

// cutViolations returns the cuts during which the nodes that were cut off from all workers served
// their callers worse than the others.
func (s *site) cutViolations(observations []observation) []string {
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	var violations []string
	for _, each := range s.cuts.done {
		if !each.whole || len(each.nodes) == len(s.nodes) {
			continue
		}
		there, elsewhere := s.servedDuring(each, observations)
		failed := float64(there.sent - there.served)
		tooFew := float64(there.served)*float64(elsewhere.sent) < cutServedShare*float64(elsewhere.served)*float64(there.sent)
		if tooFew && failed > cutFailures+cutFailureShare*float64(there.sent) {
			violations = append(violations, fmt.Sprintf("%.2f s: nodes %v, which were cut off from all workers until %.2f s, served %d of %d requests, the others %d of %d",
				each.from.Sub(s.started).Seconds(), each.nodes, each.to.Sub(s.started).Seconds(), there.served, there.sent, elsewhere.served, elsewhere.sent))
		}
	}
	return violations
}

// servedDuring counts what nodes that were cut off and the others served from contactTime after the
// cut began, while one of the others at least had no fault and ran this build: an earlier one opens no
// connections for others.
func (s *site) servedDuring(each cut, observations []observation) (there, elsewhere served) {
	for _, got := range observations {
		if got.probe || got.abandoned || got.sent.Before(each.from.Add(contactTime)) || got.sent.After(each.to) || s.cuts.inFault(got.node, got.sent) {
			continue
		}
		number := s.numberOf(got.node)
		switch {
		case !slices.Contains(each.nodes, number):
			elsewhere.count(got)
		case s.anyInTouch(each, got.sent):
			there.count(got)
		}
	}
	return there, elsewhere
}

// anyInTouch reports whether a node of this build that wasn't cut off had no fault at a time.
func (s *site) anyInTouch(each cut, at time.Time) bool {
	for number, node := range s.nodes {
		if !slices.Contains(each.nodes, number) && !s.cuts.inFault(node.Name, at) && node.ProgramAt(at) == s.options.Program {
			return true
		}
	}
	return false
}

func (s *site) numberOf(name string) int {
	for number, node := range s.nodes {
		if node.Name == name {
			return number
		}
	}
	return -1
}

// exchangeAddress moves a node's exchange to the address that it connects from.
func exchangeAddress(address string, number int) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(outboundOf(number).String(), port)
}
