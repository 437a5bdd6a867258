package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet plays nodes that ask three of them for turns at one worker, while single ones stall: a
// stalled keeper takes in asks and reports when it goes on, and who waits for its answer asks the
// next one.
type fleet struct {
	random  *rand.Rand
	nodes   []*node
	keepers []*Keeper
	// stalled is until when a node does nothing, and late what it takes in then.
	stalled []time.Time
	late    [][]func(now time.Time)
	sent    []time.Time
}

const (
	fleetNodes = 6
	// stallEvery is the mean time between two stalls of one node, and longestStall bounds them.
	stallEvery   = 2 * time.Second
	longestStall = 400 * time.Millisecond
	fleetStep    = 5 * time.Millisecond
)

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), stalled: make([]time.Time, fleetNodes), late: make([][]func(time.Time), fleetNodes)}
	for number := range fleetNodes {
		n := newNode(number)
		n.meter = NewMeter(tolerated)
		f.nodes = append(f.nodes, n)
	}
	for range 3 {
		f.keepers = append(f.keepers, NewKeeper(tolerated, warmSince))
	}
	return f
}

// deliver has a keeper take something in, now or when it goes on.
func (f *fleet) deliver(keeper int, now time.Time, taken func(now time.Time)) (atOnce bool) {
	if now.Before(f.stalled[keeper]) {
		f.late[keeper] = append(f.late[keeper], taken)
		return false
	}
	taken(now)
	return true
}

// ask has a node ask for a turn, and notes when its request is sent.
func (f *fleet) ask(number int, now time.Time) {
	n := f.nodes[number]
	asked := DecisionRequest{
		Account: tenantA, From: n.Spender, Report: n.meter.Begin(tenantA, ofWorker, 1, now), Cost: 1, Patience: time.Second,
	}
	silent := false
	for k, keeper := range f.keepers {
		var decision Decision
		if !f.deliver(k, now, func(at time.Time) { decision = keeper.Decide(asked, true, at) }) {
			silent = true
			continue
		}
		if !decision.Granted && decision.Cold {
			continue
		}
		n.meter.SetShare(tenantA, decision.Share, now)
		f.settle(n, decision.Granted, silent, now.Add(decision.Delay), now)
		return
	}
	private := n.meter.DecidePrivately(tenantA, fleetNodes, 1, f.random.Float64(), now)
	f.settle(n, private.Granted, silent, now, now)
}

func (f *fleet) settle(n *node, granted, silent bool, turn, now time.Time) {
	switch {
	case granted:
		n.meter.Take(tenantA, 1, now)
		f.sent = append(f.sent, turn)
	case silent:
		n.meter.TakeAndRefund(tenantA, 1, now)
	}
}

// step plays some milliseconds: stalls, requests, reports.
func (f *fleet) step(now time.Time) {
	for number, n := range f.nodes {
		if now.Before(f.stalled[number]) {
			continue
		}
		for _, taken := range f.late[number] {
			taken(now)
		}
		f.late[number] = nil
		if f.random.Float64() < fleetStep.Seconds()/stallEvery.Seconds() {
			f.stalled[number] = now.Add(time.Duration(f.random.Int64N(int64(longestStall))))
			continue
		}
		if f.random.Float64() < 0.02 { // four requests a second
			f.ask(number, now)
		}
		if len(n.meter.Changed()) == 0 {
			continue
		}
		report := n.meter.Report(tenantA, now)
		for k, keeper := range f.keepers {
			f.deliver(k, now, func(at time.Time) { keeper.Report(tenantA, n.Spender, report, true, at) })
		}
	}
}

// TestTurnsHoldWhileNodesStall: on slow machines answers are late, and keepers that were asked in
// vain grant what another one has granted as well.
func TestTurnsHoldWhileNodesStall(t *testing.T) {
	const span = 120
	most, sum := 0, 0
	for seed := range uint64(20) {
		f := newFleet(seed)
		for now := at(0); now.Before(at(span)); now = now.Add(fleetStep) {
			f.step(now)
		}
		slices.SortFunc(f.sent, time.Time.Compare)
		first := 0
		for last, now := range f.sent {
			for now.Sub(f.sent[first]) >= tolerated.Window {
				first++
			}
			most = max(most, last-first+1)
		}
		sum += len(f.sent)
	}
	allowed := ofWorker.Rate*tolerated.Window.Seconds()*1.5 + tolerated.Slack
	perSecond := float64(sum) / 20 / span
	if float64(most) > allowed {
		t.Errorf("%d requests were sent in %v, %v are allowed", most, tolerated.Window, allowed)
	}
	if perSecond < 0.9*ofWorker.Rate || perSecond > 1.1*ofWorker.Rate {
		t.Errorf("%v requests a second were sent, %v are taken", perSecond, ofWorker.Rate)
	}
	t.Logf("at most %d requests in a window (%v are allowed), %v a second", most, allowed, perSecond)
}
