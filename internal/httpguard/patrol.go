package httpguard

import "time"

// patrolInterval is the interval at which the time limits are checked.
const patrolInterval = 100 * time.Millisecond

// patrol closes the connections of clients that exceed a time limit.
func (g *Guard) patrol() {
	ticker := time.NewTicker(patrolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case now := <-ticker.C:
			g.closeOverdue(*g.refreshLimits(), now)
		}
	}
}

// refreshLimits takes over the limits in force and returns them.
func (g *Guard) refreshLimits() *Limits {
	limits := g.options.Limits()
	g.limits.Store(&limits)
	return &limits
}

// currentLimits returns the limits as of the last patrol.
func (g *Guard) currentLimits() *Limits {
	if limits := g.limits.Load(); limits != nil {
		return limits
	}
	return g.refreshLimits()
}

func (g *Guard) closeOverdue(limits Limits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeLingering(0, now)
	for c := range g.conns {
		if cause := c.overdue(limits, now); cause != "" {
			g.drop(c, cause, now)
		}
	}
}
