package tablefeed

import (
	"bytes"
	"slices"
	"sync"
)

// minRecentChanges is the number of changes that a copy keeps for other nodes; it keeps up to
// twice as many before it discards the oldest. That covers some seconds in which the workers of
// a large fleet are replaced. A node that missed more gets the whole table.
const minRecentChanges = 2000

// Transfer is what one node sends another of a table.
type Transfer struct {
	// Whole means that Rows are the whole table; otherwise they are changes in order.
	Whole        bool
	Rows         []Row
	Confirmation Confirmation
}

// Copy holds the rows and recent changes of a table, to be sent to other nodes. It is safe for
// concurrent use.
type Copy struct {
	mu   sync.Mutex
	rows map[string]Row
	// recentChanges are the changes after version recentSince, in order.
	recentChanges []Row
	recentSince   Version
	version       Version
	loaded        bool
}

// Reset replaces all rows.
func (c *Copy) Reset(rows []Row, version Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = make(map[string]Row, len(rows))
	for _, row := range rows {
		c.rows[row.Key] = row
	}
	c.recentChanges, c.recentSince, c.version, c.loaded = nil, version, version, true
}

// reconcile returns the rows that the store returned in an era, with those replaced for which a
// newer row is held from an earlier era, and the keys of the replaced rows.
func (c *Copy) reconcile(rows []Row, era uint64, isHeldNewer func(held, given Row) bool) (reconciled []Row, kept []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	given := make(map[string]bool, len(rows))
	reconciled = slices.Clone(rows)
	for i, row := range rows {
		given[row.Key] = true
		held, known := c.rows[row.Key]
		if known && held.Version.Era() < era && !bytes.Equal(held.Value, row.Value) && isHeldNewer(held, row) {
			reconciled[i] = held
			kept = append(kept, row.Key)
		}
	}
	for key, held := range c.rows {
		if !given[key] && held.Version.Era() < era && isHeldNewer(held, Row{Key: key, Gone: true}) {
			reconciled = append(reconciled, held)
			kept = append(kept, key)
		}
	}
	return reconciled, kept
}

// Apply applies changed rows.
func (c *Copy) Apply(rows []Row, version Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		if row.Gone {
			delete(c.rows, row.Key)
		} else {
			c.rows[row.Key] = row
		}
	}
	c.recentChanges, c.version = append(c.recentChanges, rows...), version
	if over := len(c.recentChanges) - minRecentChanges; over > minRecentChanges {
		// Discarding copies all remaining changes, so it is done seldom. Rows of the same
		// version stay together.
		last := c.recentChanges[over-1].Version
		for over < len(c.recentChanges) && c.recentChanges[over].Version == last {
			over++
		}
		c.recentSince = last
		c.recentChanges = slices.Clone(c.recentChanges[over:])
	}
}

// Whole returns all rows and their version, and false if nothing is known.
func (c *Copy) Whole() (rows []Row, version Version, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows = make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	return rows, c.version, c.loaded
}

// Since returns the changes after a version, and false if some of them have been discarded.
func (c *Copy) Since(after Version) (rows []Row, version Version, kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || after < c.recentSince {
		return nil, c.version, false
	}
	for i, row := range c.recentChanges {
		if row.Version > after {
			return slices.Clone(c.recentChanges[i:]), c.version, true
		}
	}
	return nil, c.version, true
}
