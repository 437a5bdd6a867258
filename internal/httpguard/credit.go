package httpguard

import (
	"math"
	"time"
)

// Work that a connection may cause before it has to take turns with others that cause as much. It is
// counted in bytes read.
const (
	// creditBytes is the most that a connection can save up, and creditRate what it gains a second.
	creditBytes = 24 << 10
	creditRate  = 32 << 10
	// lineEffort is the work of a line, and requestEffort that of a request.
	lineEffort    = 32
	requestEffort = 4 << 10
)

// credit is the work that a connection may still cause.
type credit struct {
	left float64
	at   time.Time
}

func newCredit(now time.Time) credit { return credit{left: creditBytes, at: now} }

// spend takes work from the credit. It returns the work that the credit doesn't cover.
func (c *credit) spend(work int, now time.Time) int {
	c.left = min(creditBytes, c.left+now.Sub(c.at).Seconds()*creditRate) - float64(work)
	c.at = now
	if c.left >= 0 {
		return 0
	}
	uncovered := int(math.Ceil(-c.left))
	c.left = 0
	return uncovered
}
