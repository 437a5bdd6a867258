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
// connections and bytes are free, or none is left that has been without progress for longer than grace. Those
// that linger are the first to give way for a connection. The caller holds the lock.
func (g *Guard) evict(except *conn, grace time.Duration, connections int, bytes int64, now time.Time) {
	if bytes > 0 {
		bytes = max(bytes, g.options.Memory/evictionParts)
	}
	connections -= g.closeLingering(connections, now)
	if now.Sub(g.searched) >= searchInterval || grace < g.searchedGrace {
		g.dropVictims(g.victims(except, grace, now), connections, bytes, now)
	}
}

// readGraceParts is the part of the grace for which an answer must have been unread to give way in a crowd: every
// answer is for the moment of its write.
const readGraceParts = 10

// evictSilent closes connections on which no head has been complete yet, or whose client doesn't read its answer now,
// those first that have been so for longest, until that many connections and bytes are free. In a crowd of them nobody
// may have been without progress for the grace, and whoever comes next would be refused; an ordinary client sends its
// head before all that came earlier have given way. The caller holds the lock.
func (g *Guard) evictSilent(except *conn, connections int, bytes int64, now time.Time) {
	if now.Sub(g.searchedSilent) < searchInterval {
		return
	}
	var found []victim
	for c := range g.conns {
		stalled := c.stalled(now)
		unread := c.awaitsReader() && stalled >= g.options.Grace/readGraceParts
		if c != except && !c.dropped && (c.awaitsFirstHead() || unread) {
			found = append(found, victim{c, stalled.Seconds()})
		}
	}
	if len(found) == 0 {
		g.searchedSilent = now
	}
	sortVictims(found)
	if bytes > 0 {
		bytes = max(bytes, g.options.Memory/evictionParts)
	}
	g.dropVictims(found, connections, bytes, now)
}

// EvictReaders closes connections of clients that have not read their answers for longest, since these keep
// connections to workers. Those that have made progress within the grace stay open.
func (g *Guard) EvictReaders() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.searchedReaders) < searchInterval {
		return
	}
	g.searchedReaders = now
	var found []victim
	for c := range g.conns {
		if stalled := c.stalled(now); c.awaitsReader() && !c.dropped && stalled >= g.options.Grace {
			found = append(found, victim{c, stalled.Seconds()})
		}
	}
	sortVictims(found)
	g.dropVictims(found, max(g.options.Connections/evictionParts, 1), 0, now)
}

// dropVictims closes connections until that many and that many bytes are free. It returns how many bytes it freed.
func (g *Guard) dropVictims(found []victim, connections int, bytes int64, now time.Time) int64 {
	freed := int64(0)
	for _, each := range found {
		if connections <= 0 && freed >= bytes {
			break
		}
		connections--
		freed += each.conn.held
		g.drop(each.conn, Evicted, now)
	}
	return freed
}

// victims returns the connections that could be evicted, those with the highest score first. The caller holds
// the lock.
func (g *Guard) victims(except *conn, grace time.Duration, now time.Time) []victim {
	var found []victim
	for c := range g.conns {
		stalled := c.stalled(now)
		if c == except || c.dropped || stalled < grace {
			continue
		}
		found = append(found, victim{c, float64(c.held) * stalled.Seconds()})
	}
	if len(found) == 0 {
		g.searched, g.searchedGrace = now, grace
	}
	sortVictims(found)
	return found
}

// sortVictims sorts the highest score first.
func sortVictims(found []victim) {
	slices.SortFunc(found, func(a, b victim) int { return cmp.Compare(b.score, a.score) })
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
