package tablerelay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

// lagLogThreshold is how long a node may lack an announced change before it is logged. Changes
// that are too large for a datagram are fetched in less time.
const lagLogThreshold = 500 * time.Millisecond

// Lag is a change of a table that has been announced to this node, but that it doesn't hold
// yet.
type Lag struct {
	// Since is when the first missing change was announced.
	Since time.Time
	// Version is the version of the newest missing change, and Reader the node that announced
	// it.
	Version tablefeed.Version
	Reader  string
}

// lags tracks the tables that lack changes. The owner's mutex guards it.
type lags struct {
	log    *logrus.Logger
	open   map[string]Lag
	logged map[string]bool
}

func newLags() lags {
	return lags{log: logrus.StandardLogger(), open: make(map[string]Lag), logged: make(map[string]bool)}
}

// observe compares an announcement with the version that this node holds of the table.
func (l *lags) observe(announced Announcement, held tablefeed.Version, now time.Time) {
	lag, open := l.open[announced.Table]
	if open && held >= lag.Version {
		l.end(announced.Table, lag, held, now)
		open = false
	}
	if announced.Changed <= held {
		return
	}
	if !open {
		lag = Lag{Since: now}
	}
	if announced.Changed > lag.Version {
		lag.Version, lag.Reader = announced.Changed, announced.Reader
	}
	l.open[announced.Table] = lag
	if now.Sub(lag.Since) >= lagLogThreshold && !l.logged[announced.Table] {
		l.logged[announced.Table] = true
		l.entry(announced.Table, lag, held, now).Warn("another node holds a newer version of a table")
	}
}

func (l *lags) end(table string, lag Lag, held tablefeed.Version, now time.Time) {
	delete(l.open, table)
	if l.logged[table] {
		delete(l.logged, table)
		l.entry(table, lag, held, now).Info("received the newer version of a table")
	}
}

func (l *lags) entry(table string, lag Lag, held tablefeed.Version, now time.Time) *logrus.Entry {
	return l.log.WithFields(logrus.Fields{
		"table": table, "version": held, "newer": lag.Version, "reader": lag.Reader, "behind_ms": now.Sub(lag.Since).Milliseconds(),
	})
}

// SetLog sets the logger for tables that lack changes. It must be called before announcements
// arrive.
func (c *Coordinator) SetLog(log *logrus.Logger) { c.lags.log = log }

// Lag returns the announced change of a table that this node doesn't hold yet, and false if
// there is none.
func (c *Coordinator) Lag(table string) (Lag, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lag, open := c.lags.open[table]
	if !open {
		return Lag{}, false
	}
	held, _ := c.feeds[table].Confirmation()
	return lag, lag.Version > held.Confirmed
}
