package stageplan

import (
	"math"
	"time"
)

// ColdStart is what the planner has to know to plan for empty caches. Its zero value turns
// that off.
type ColdStart struct {
	// Selected turns planning for empty caches on.
	Selected bool
	// Empty tells that the whole system has started for the first time and that no caller has
	// asked anything yet, so that no engine holds any part of a prompt.
	Empty bool
	// Switch is how long an engine is unavailable while it changes its stage.
	Switch time.Duration
	// MaxOrders bounds the orders before the first request. The load isn't known then, only how
	// many nodes can take requests in.
	MaxOrders int
}

// ColdPhase is what a service's caches mean to the planner at present.
type ColdPhase string

// The phases. Their texts are logged.
const (
	// Warm caches need no other plan than usual.
	Warm ColdPhase = "warm"
	// Preparing means that no caller has asked yet and that all caches are empty.
	Preparing ColdPhase = "preparing"
	// Cold means that much of what is read would not have to be, if caches held it.
	Cold ColdPhase = "cold"
)

// Bounds of the cold phase, as the share of all tokens read that full caches would spare.
const (
	// coldFrom is the share from which the phase is cold: caches that held the prompts would at
	// least halve the reading, which is more than any Gain.
	coldFrom = 0.5
	// coldUntil ends the phase: what is left to spare is then near Gain, and far enough below
	// coldFrom for the phase not to return with the next few prompts.
	coldUntil = 0.25
	// paidBackAfter is after how many Switch an order has paid back: for one the engine is
	// unavailable, and for another it serves in its new stage.
	paidBackAfter = 2
)

// coldCaches follows how much of the prompts has to be read only because no cache holds it, and
// forecasts how fast that falls. Each content that is read is held from then on, so among
// contents that are asked for about equally often the share that isn't held falls
// exponentially.
type coldCaches struct {
	read, shared, unread movingMean
	// since is when the cold phase began, zero while caches are warm.
	since time.Time
	// highest is the largest share of the phase, from highestAt on.
	highest   float64
	highestAt time.Time
	// withheld counts the decisions of the phase that gave no order because of it.
	withheld int
}

// observe records the load offered at present, averaged over span.
func (c *coldCaches) observe(now time.Time, offered OfferedLoad, span time.Duration) {
	c.read.observe(now, offered.ReadTokens, span)
	c.shared.observe(now, offered.SharedTokens, span)
	c.unread.observe(now, min(offered.SharedUnread, offered.SharedTokens, offered.ReadTokens), span)
	switch {
	case !c.cold() && c.spareable() >= coldFrom:
		c.since, c.highest, c.withheld = now, 0, 0
	case c.cold() && c.spareable() < coldUntil:
		c.since = time.Time{}
	}
	if share := c.share(); c.cold() && share >= c.highest {
		c.highest, c.highestAt = share, now
	}
}

func (c *coldCaches) cold() bool { return !c.since.IsZero() }

// share returns the share of the tokens that prompts share which has to be read.
func (c *coldCaches) share() float64 { return ratio(c.unread.value, c.shared.value) }

// spareable returns the share of the tokens read that caches could have spared.
func (c *coldCaches) spareable() float64 { return ratio(c.unread.value, c.read.value) }

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// lasting returns the share of the present reading that is still needed after some time. Before
// the phase has lasted for learn it is not known whether the share falls; then only what no
// cache can spare counts, and known is false. A share that has not fallen for learn is expected
// to stay.
func (c *coldCaches) lasting(now time.Time, ahead, learn time.Duration) (share float64, known bool) {
	if !c.cold() {
		return 1, true
	}
	if now.Sub(c.since) < learn {
		return 1 - c.spareable(), false
	}
	elapsed := now.Sub(c.highestAt)
	if elapsed < learn || c.share() <= 0 {
		return 1, true
	}
	decline := math.Log(c.highest/c.share()) / elapsed.Seconds() // per second
	left := math.Exp(-decline * ahead.Seconds())
	return 1 - c.spareable()*(1-left), true
}

// ColdState describes a planner's view of the caches, for logs.
type ColdState struct {
	Phase ColdPhase
	// UnreadShare is the share of the tokens that prompts share which has to be read, and
	// SpareableShare the share of all tokens read that caches could spare.
	UnreadShare, SpareableShare float64
	// Lasting is the share of the present reading that is forecast for the time at which an
	// order given now would have paid back.
	Lasting float64
	// Withheld counts the decisions of the last cold phase that gave no order because of it.
	Withheld int
}

// ColdState returns the view that the last decision was based on.
func (p *Planner) ColdState() ColdState {
	state := ColdState{
		Phase: Warm, UnreadShare: p.caches.share(), SpareableShare: p.caches.spareable(),
		Lasting: p.lasting, Withheld: p.caches.withheld,
	}
	switch {
	case p.caches.cold():
		state.Phase = Cold
	case p.preparing:
		state.Phase = Preparing
	}
	return state
}

// SetColdStart sets what the next decisions take as known about the caches.
func (p *Planner) SetColdStart(cold ColdStart) {
	if !cold.Selected {
		p.caches, p.preparing = coldCaches{}, false
	}
	p.cold = cold
}

// lastingReading records the load and returns the share of the present reading to plan for: in
// a cold phase, what is left when an order given now would have paid back.
func (p *Planner) lastingReading(now time.Time, offered OfferedLoad) float64 {
	p.lasting, p.lastingKnown = 1, true
	if p.cold.Selected {
		p.caches.observe(now, offered, p.policy.Smoothing)
		p.lasting, p.lastingKnown = p.caches.lasting(now, paidBackAfter*p.cold.Switch, p.policy.Learn)
	}
	return p.lasting
}

// outlasting restricts a change of the division in a cold phase to what is worth it both for
// the present load and for the load when the order would have paid back, which has to be too
// much for the present division: spare engines can wait. A stage that has too few engines gets
// others at once.
func (p *Planner) outlasting(now time.Time, d division, goal int, reason Reason) (int, Reason, bool) {
	if !p.caches.cold() || len(d.decode) < minDecode || len(d.prefill) < minPrefill {
		return goal, reason, true
	}
	forecast, overloaded := p.demand, p.estimate(len(d.prefill), len(d.decode)).overload > 1
	p.demand.PrefillEngines = max(p.prefillMean.value, forecast.PrefillEngines)
	presentGoal, presentReason, found := p.bestDivision(now, d)
	p.demand = forecast
	if !p.lastingKnown || !overloaded || !found || presentReason != reason {
		p.caches.withheld++
		return 0, "", false
	}
	if reason == PrefillBottleneck {
		return min(goal, presentGoal), reason, true
	}
	return max(goal, presentGoal), reason, true
}
