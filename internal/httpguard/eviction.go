package httpguard

import (
	"cmp"
	"slices"
	"time"
)

// searchInterval is how long no connections are searched that could be evicted after none was found: a search
// takes longer than most requests.
const searchInterval = 2 * time.Millisecond

// victim is a connection that could be evicted.
type victim struct {
	conn *conn
	// score is what it holds times how long it has made no progress.
	score float64
}

// evict closes the connections that have held most for longest without progress, until that many
// connections and bytes are free, or none is left that has been without progress for longer than grace. The
// caller holds the lock.
func (g *Guard) evict(except *conn, grace time.Duration, connections int, bytes int64, now time.Time) {
	if bytes > 0 {
		bytes = max(bytes, g.options.Memory/evictionParts)
	}
	closed := g.closeLingering(max(connections, int(bytes/lingerCost)), now)
	connections -= closed
	bytes -= int64(closed) * lingerCost
	if now.Sub(g.searched) < searchInterval && grace >= g.searchedGrace {
		return
	}
	found := g.victims(except, grace, now)
	if len(found) == 0 {
		g.searched, g.searchedGrace = now, grace
	}
	for _, each := range found {
		if connections <= 0 && bytes <= 0 {
			return
		}
		connections--
		bytes -= each.conn.held
		g.drop(each.conn, Evicted, now)
	}
}

// victims returns the connections that could be evicted, those with the highest score first.
func (g *Guard) victims(except *conn, grace time.Duration, now time.Time) []victim {
	var found []victim
	for c := range g.conns {
		stalled := c.stalled(now)
		if c == except || c.dropped || stalled < grace {
			continue
		}
		found = append(found, victim{c, float64(c.held) * stalled.Seconds()})
	}
	slices.SortFunc(found, func(a, b victim) int { return cmp.Compare(b.score, a.score) })
	return found
}

// drop closes a connection and gives back what it holds; its goroutines end at their next call. The
// caller holds the lock.
func (g *Guard) drop(c *conn, cause Cause, now time.Time) {
	if c.dropped {
		return
	}
	g.count(cause, c.Conn, now)
	g.used -= c.held
	g.open--
	c.held, c.dropped = 0, true
	if inner := transport(c.Conn); c.phase == idle {
		_ = inner.Close()
	} else {
		reset(inner)
	}
}
