package httpguard

import (
	"net"
	"time"
)

const (
	// lingerTimeout is how long the connection of a refused client stays open, unless the client closes it
	// or it must make room: a client that connects again at once takes more of the processor than one that
	// waits, and closing with unread bytes could destroy the answer.
	lingerTimeout = 15 * time.Second
	// lingerCost is what a connection takes that is only kept open.
	lingerCost = 2 << 10
	// lingerParts is the part of the budget that lingering connections may take.
	lingerParts = 8
)

// lingering is a connection whose client was refused.
type lingering struct {
	net.Conn
	until time.Time
}

// linger keeps the connection of a refused client open after net/http has closed it, in place of the one that has
// lingered for longest if there are many. It returns false if the client wasn't refused or there is no room.
func (g *Guard) linger(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.lingers {
		return true
	}
	if !c.refused || c.dropped || g.stopped || g.open >= g.options.Connections {
		return false
	}
	now := time.Now()
	if int64(len(g.lingering)+1)*lingerCost > g.options.Memory/lingerParts {
		g.closeLingering(1, now)
	}
	g.lingering = append(g.lingering, lingering{c.Conn, now.Add(lingerTimeout)})
	c.lingers = true
	g.open++
	g.release(c, lingerCost) // the connection's buffers are free now, so there is always room in the budget
	g.used += lingerCost
	return true
}

// closeLingering closes the lingering connections whose time is over, and as many more as asked, the oldest
// first. It returns how many of these it closed. The caller holds the lock.
func (g *Guard) closeLingering(more int, now time.Time) int {
	closed, extra := 0, 0
	for closed < len(g.lingering) {
		if !g.lingering[closed].until.Before(now) {
			if extra == more {
				break
			}
			extra++
		}
		_ = transport(g.lingering[closed].Conn).Close()
		closed++
	}
	g.lingering = g.lingering[closed:]
	g.open -= closed
	g.used -= int64(closed) * lingerCost
	return extra
}

// stop closes what lingers.
func (g *Guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.closeLingering(len(g.lingering), time.Now())
	g.once.Do(func() { close(g.done) })
}
