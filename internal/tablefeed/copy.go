package tablefeed

import (
	"bytes"
	"slices"
	"sync"
)

// maxRecent is how many changes a copy keeps at least, and half of those at most, to be told
// on: those of some seconds in which a large fleet's workers are replaced. A node that missed
// more gets the whole table.
const maxRecent = 2000

// Transfer is what one node gives another of a table.
type Transfer struct {
	// Whole tells that Rows are the whole table, else they are changes in order.
	Whole bool
	Rows  []Row
	Word  Confirmation
}

// Copy holds the rows of a table as the store gave them, so that other nodes get them here.
// It is safe for concurrent use.
type Copy struct {
	mu   sync.Mutex
	rows map[string]Row
	// recent are the changes after version since, in order.
	recent  []Row
	since   Version
	version Version
	known   bool
}

// Reset gives all rows.
func (c *Copy) Reset(rows []Row, version Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = make(map[string]Row, len(rows))
	for _, row := range rows {
		c.rows[row.Key] = row
	}
	c.recent, c.since, c.version, c.known = nil, version, version, true
}

// review returns rows that a store gives in an era, those replaced that are held from an earlier
// era and outlive them, and the keys of these.
func (c *Copy) review(rows []Row, era uint64, outlives func(held, given Row) bool) (reviewed []Row, outliving []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	given := make(map[string]bool, len(rows))
	reviewed = slices.Clone(rows)
	for i, row := range rows {
		given[row.Key] = true
		held, known := c.rows[row.Key]
		if known && held.Version.Era() < era && !bytes.Equal(held.Value, row.Value) && outlives(held, row) {
			reviewed[i] = held
			outliving = append(outliving, row.Key)
		}
	}
	for key, held := range c.rows {
		if !given[key] && held.Version.Era() < era && outlives(held, Row{Key: key, Gone: true}) {
			reviewed = append(reviewed, held)
			outliving = append(outliving, key)
		}
	}
	return reviewed, outliving
}

// Apply gives changed rows.
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
	c.recent, c.version = append(c.recent, rows...), version
	if over := len(c.recent) - maxRecent; over > maxRecent {
		// Seldom, since all that is kept is copied.
		// Rows of one version stay together.
		last := c.recent[over-1].Version
		for over < len(c.recent) && c.recent[over].Version == last {
			over++
		}
		c.since = last
		c.recent = slices.Clone(c.recent[over:])
	}
}

// Whole returns all rows and the version that they are of, false where nothing is known.
func (c *Copy) Whole() (rows []Row, version Version, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows = make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	return rows, c.version, c.known
}

// Since returns the changes after a version, false where some of them aren't kept any more.
func (c *Copy) Since(after Version) (rows []Row, version Version, kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || after < c.since {
		return nil, c.version, false
	}
	for i, row := range c.recent {
		if row.Version > after {
			return slices.Clone(c.recent[i:]), c.version, true
		}
	}
	return nil, c.version, true
}
