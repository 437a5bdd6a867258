package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet simulates nodes that ask three of them for turns at one worker, while single nodes
// stall. A stalled keeper handles requests and reports when it resumes; a node that gets no
// answer asks the next keeper.
type fleet struct {
	random  *rand.Rand
	nodes   []*node
	keepers []*Keeper
	// stalledUntil is when each stalled node resumes, and delayed what it then handles.
	stalledUntil []time.Time
	delayed      [][]func(now time.Time)
	sent         []time.Time
}

const (
	fleetNodes = 6
	// stallEvery is the mean time between two stalls of a node, longestStall the maximum length
	// of one.
	stallEvery   = 2 * time.Second
	longestStall = 400 * time.Millisecond
	fleetStep    = 5 * time.Millisecond
)

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), stalledUntil: make([]time.Time, fleetNodes), delayed: make([][]func(time.Time), fleetNodes)}
	for number := range fleetNodes {
		n := newNode(number)
		n.meter = NewMeter(workerTolerance)
		f.nodes = append(f.nodes, n)
	}
	for range 3 {
		f.keepers = append(f.keepers, NewKeeper(workerTolerance, warmSince))
	}
	return f
}

// deliver has a keeper handle a message, now or when it resumes.
func (f *fleet) deliver(keeper int, now time.Time, handle func(now time.Time)) (atOnce bool) {
	if now.Before(f.stalledUntil[keeper]) {
		f.delayed[keeper] = append(f.delayed[keeper], handle)
		return false
	}
	handle(now)
	return true
}

// ask requests a turn for a node, and records when the request is sent.
func (f *fleet) ask(number int, now time.Time) {
	n := f.nodes[number]
	asked := DecisionRequest{
		Account: accountA, From: n.Spender, Report: n.meter.Begin(accountA, workerLimit, 1, now), Cost: 1, Patience: time.Second,
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
		n.meter.SetShare(accountA, decision.Share, now)
		f.recordOutcome(n, decision.Granted, silent, now.Add(decision.Delay), now)
		return
	}
	private := n.meter.DecidePrivately(accountA, fleetNodes, 1, f.random.Float64(), now)
	f.recordOutcome(n, private.Granted, silent, now, now)
}

func (f *fleet) recordOutcome(n *node, granted, silent bool, turn, now time.Time) {
	switch {
	case granted:
		n.meter.Take(accountA, 1, now)
		f.sent = append(f.sent, turn)
	case silent:
		n.meter.TakeAndRefund(accountA, 1, now)
	}
}

// step simulates fleetStep: stalls, requests and reports.
func (f *fleet) step(now time.Time) {
	for number, n := range f.nodes {
		if now.Before(f.stalledUntil[number]) {
			continue
		}
		for _, taken := range f.delayed[number] {
			taken(now)
		}
		f.delayed[number] = nil
		if f.random.Float64() < fleetStep.Seconds()/stallEvery.Seconds() {
			f.stalledUntil[number] = now.Add(time.Duration(f.random.Int64N(int64(longestStall))))
			continue
		}
		if f.random.Float64() < 0.02 { // four requests a second
			f.ask(number, now)
		}
		if len(n.meter.Changed()) == 0 {
			continue
		}
		report := n.meter.Report(accountA, now)
		for k, keeper := range f.keepers {
			f.deliver(k, now, func(at time.Time) { keeper.Report(accountA, n.Spender, report, true, at) })
		}
	}
}

// TestTurnsHoldWhileNodesStall: on slow machines answers are late, and a keeper that was asked
// in vain later grants a turn that another keeper has granted as well.
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
			for now.Sub(f.sent[first]) >= workerTolerance.Window {
				first++
			}
			most = max(most, last-first+1)
		}
		sum += len(f.sent)
	}
	allowed := workerLimit.Rate*workerTolerance.Window.Seconds()*1.5 + workerTolerance.Slack
	perSecond := float64(sum) / 20 / span
	if float64(most) > allowed {
		t.Errorf("%d requests were sent in %v, want at most %v", most, workerTolerance.Window, allowed)
	}
	if perSecond < 0.9*workerLimit.Rate || perSecond > 1.1*workerLimit.Rate {
		t.Errorf("%v requests per second were sent, limit %v", perSecond, workerLimit.Rate)
	}
	t.Logf("at most %d requests in a window (%v are allowed), %v a second", most, allowed, perSecond)
}
