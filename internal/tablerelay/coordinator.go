// Package tablerelay lets nodes follow a table of the platform's store through one another, so
// that few of them call the store and the others hear of changes from these. A node that reads
// a table at the store announces to the others up to which version the store has confirmed it,
// and when. The others rely on such an announcement while it is fresh, and read at the store
// themselves as soon as it isn't: those that rank higher a little sooner, so that not all call
// at the same moment. The ranking only decides who reads: a reader goes on until a node that
// outranks it reads. Which state is newer is decided by the store's versions alone, whichever
// node announces them, since the store may refuse any node.
//
// Guarantee: what a node that relies on another holds of a table is at most Freshness older
// than what the store held, plus the time of one call to the store.
package tablerelay

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

const (
	// Freshness is how long after the store's confirmation an announcement may be relied on:
	// three quarters of the two seconds in which all nodes must know of a change.
	Freshness = 1500 * time.Millisecond
	// firstTakeoverDelay is the age of a confirmation at which the second node in rank starts
	// to read; each further rank adds rankDelay. The first one confirms a table every 0.7
	// seconds (the long poll of package tablefeed).
	firstTakeoverDelay = 920 * time.Millisecond
	rankDelay          = 145 * time.Millisecond
	// requestAge is the age of a confirmation from which a node requests a newer one from
	// others. It repeats the request after requestInterval; in a large fleet the interval grows
	// up to maxRequestInterval, which still yields an answer before the own confirmation is too
	// old. While the store is down, no node has a newer one and all of them would ask.
	requestAge         = 800 * time.Millisecond
	requestInterval    = 100 * time.Millisecond
	maxRequestInterval = 400 * time.Millisecond
	// firstMaxBackoff is the longest pause between calls to a failing store of the first nodes
	// in rank, those whose takeover delay is shorter than Freshness (ranks 0 to 4).
	// laterMaxBackoff is that of the others in a fleet of up to laterBackoffNodes nodes; they
	// hear from the first ones when the store is back. Each call costs money, even while the
	// store is down, so in a larger fleet the backoff grows with the number of nodes: the
	// others together call no more often.
	firstMaxBackoff   = 800 * time.Millisecond
	laterMaxBackoff   = 4 * time.Second
	laterBackoffNodes = 60
	// maxBroadcastRank is the highest rank at which a node of a large fleet broadcasts what it
	// reads. These are the first three nodes of each zone, since the first one's rank is 1 at
	// most (Fleet.Rank), and the first four of the fleet; they take over from each other one at
	// a time. Any other node that has to read because no announcement reaches it only answers
	// the nodes that ask it. If it broadcast as well, a thousand nodes that miss an
	// announcement would send each other a million messages, and miss the next one too.
	maxBroadcastRank = 3
)

// Announcement is a confirmation of a table that a reader, a node that reads the table at the
// store, announces to the other nodes.
type Announcement struct {
	Table string `json:"n"`
	// Changed is the version of the last change of the table.
	Changed tablefeed.Version `json:"c"`
	// Confirmed is the newest version up to which there is no later change.
	Confirmed tablefeed.Version `json:"v"`
	// AgeMillis is the time since the store confirmed that.
	AgeMillis int64 `json:"a"`
	// Reader is the address of the node to which the store confirmed it.
	Reader string `json:"r"`
}

// Fleet gives access to the other nodes and this node's rank among them.
type Fleet interface {
	// Address identifies this node as a reader in announcements.
	Address() string
	// Outranks reports whether another node ranks higher than this one as a reader of a table.
	Outranks(table, reader string) bool
	// Rank is this node's rank as a reader of a table, starting at 0. The first node of each
	// zone has rank 1 at most, the second one 2 at most, and so on.
	Rank(table string) int
	// Nodes is the number of nodes; Large reports whether they are too many for each to
	// broadcast.
	Nodes() int
	Large() bool
	// BroadcastAnnouncements and BroadcastNews send to all other nodes.
	BroadcastAnnouncements(announcements []Announcement)
	BroadcastNews(news tablefeed.News)
	// RequestAnnouncements asks some nodes for their announcements.
	RequestAnnouncements(table string)
}

// Fetcher fetches tables from other nodes.
type Fetcher interface {
	// FetchTable and FetchChanges are as in tablefeed.Peers.
	FetchTable(ctx context.Context, table string) (tablefeed.Transfer, error)
	// holders are nodes that hold a change after that version.
	FetchChanges(ctx context.Context, table string, after tablefeed.Version, holders []netip.AddrPort) (tablefeed.Transfer, error)
}

// Coordinator holds the announcements of all nodes and decides by them which node reads a table
// at the store and whom the others rely on. It implements tablefeed.Peers. It is safe for
// concurrent use.
type Coordinator struct {
	fleet Fleet
	// fetcher is nil where tables are read at the store only.
	fetcher Fetcher

	mu    sync.Mutex
	feeds map[string]*tablefeed.Feed
	// announced holds the other nodes' confirmations by table and reader.
	announced map[string]map[string]tablefeed.Confirmation
	// requests holds the last request for announcements by table.
	requests map[string]request
	lags     lags
}

// request is the time of the last request for announcements of a table, and the shortest pause
// until the next one.
type request struct {
	at    time.Time
	pause time.Duration
}

// New returns a coordinator without feeds.
func New(fleet Fleet) *Coordinator {
	return &Coordinator{
		fleet: fleet, feeds: make(map[string]*tablefeed.Feed),
		announced: make(map[string]map[string]tablefeed.Confirmation), requests: make(map[string]request), lags: newLags(),
	}
}

// SetFetcher lets feeds fetch tables from other nodes. It must be called before they run.
func (c *Coordinator) SetFetcher(fetcher Fetcher) { c.fetcher = fetcher }

// FetchTable implements tablefeed.Peers.
func (c *Coordinator) FetchTable(ctx context.Context, table string) (tablefeed.Transfer, error) {
	if c.fetcher == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return c.fetcher.FetchTable(ctx, table)
}

// FetchChanges implements tablefeed.Peers.
func (c *Coordinator) FetchChanges(ctx context.Context, table string, after tablefeed.Version) (tablefeed.Transfer, error) {
	if c.fetcher == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return c.fetcher.FetchChanges(ctx, table, after, c.holders(table, after, time.Now()))
}

// HasChangeAfter implements tablefeed.Peers.
func (c *Coordinator) HasChangeAfter(table string, after tablefeed.Version, now time.Time) bool {
	return len(c.holders(table, after, now)) > 0
}

// holders returns the nodes that have announced a change after a version, the one with the
// latest confirmation first.
func (c *Coordinator) holders(table string, after tablefeed.Version, now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var readers []string
	for reader, confirmation := range c.announced[table] {
		if confirmation.Changed > after && now.Sub(confirmation.At) < Freshness {
			readers = append(readers, reader)
		}
	}
	slices.SortFunc(readers, func(left, right string) int {
		return c.announced[table][right].At.Compare(c.announced[table][left].At)
	})
	var holders []netip.AddrPort
	for _, reader := range readers {
		if address, err := netip.ParseAddrPort(reader); err == nil {
			holders = append(holders, address)
		}
	}
	return holders
}

// Add adds the feed of a table.
func (c *Coordinator) Add(table string, feed *tablefeed.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feeds[table] = feed
}

// OwnAnnouncements returns this node's own announcements: those of tables that it reads at the
// store, and whose last confirmation is fresh.
func (c *Coordinator) OwnAnnouncements(now time.Time) []Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var announcements []Announcement
	for table, feed := range c.feeds {
		if confirmation, own := feed.Confirmation(); own && now.Sub(confirmation.At) < Freshness {
			announcements = append(announcements, announce(table, confirmation, c.fleet.Address(), now))
		}
	}
	return announcements
}

// KnownAnnouncements returns all fresh announcements that this node knows, its own included.
func (c *Coordinator) KnownAnnouncements(now time.Time) []Announcement {
	known := c.OwnAnnouncements(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for table, byReader := range c.announced {
		for reader, confirmation := range byReader {
			if now.Sub(confirmation.At) < Freshness {
				known = append(known, announce(table, confirmation, reader, now))
			}
		}
	}
	return known
}

func announce(table string, confirmation tablefeed.Confirmation, reader string, now time.Time) Announcement {
	return Announcement{
		Table: table, Changed: confirmation.Changed, Confirmed: confirmation.Confirmed,
		AgeMillis: now.Sub(confirmation.At).Milliseconds(), Reader: reader,
	}
}

// Receive records announcements, which may have been relayed by other nodes.
func (c *Coordinator) Receive(announcements []Announcement, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, announced := range announcements {
		feed, followed := c.feeds[announced.Table]
		if !followed || announced.Reader == c.fleet.Address() {
			continue
		}
		if c.announced[announced.Table] == nil {
			c.announced[announced.Table] = make(map[string]tablefeed.Confirmation)
		}
		before := c.announced[announced.Table][announced.Reader]
		confirmation := tablefeed.Confirmation{
			Changed: announced.Changed, Confirmed: announced.Confirmed,
			At: now.Add(-time.Duration(announced.AgeMillis) * time.Millisecond),
		}
		if !isNewer(confirmation, before) {
			continue
		}
		c.announced[announced.Table][announced.Reader] = confirmation
		held, _ := feed.Confirmation()
		c.lags.observe(announced, held.Confirmed, now)
		if confirmation.Changed > before.Changed || c.endsBackoff(feed, announced, confirmation, now) {
			feed.Wake()
		}
	}
}

// endsBackoff reports whether an announcement allows a feed whose calls to the store failed to
// follow another node again. A feed that can't rely on the announcement would only call the
// store again.
func (c *Coordinator) endsBackoff(feed *tablefeed.Feed, announced Announcement, confirmation tablefeed.Confirmation, now time.Time) bool {
	held, _ := feed.Confirmation()
	follows := confirmation.Changed <= held.Confirmed // otherwise the feed would have to fetch the changes first
	return follows && now.Sub(held.At) >= Freshness && now.Sub(confirmation.At) < c.TakeoverDelay(announced.Table)
}

// ReceiveNews passes changes that another node read at the store to the feed of their table.
func (c *Coordinator) ReceiveNews(news tablefeed.News) {
	c.mu.Lock()
	feed, followed := c.feeds[news.Table]
	c.mu.Unlock()
	if followed {
		feed.Offer(news)
	}
}

// TakeoverDelay implements tablefeed.Peers.
func (c *Coordinator) TakeoverDelay(table string) time.Duration {
	return takeoverDelay(c.fleet.Rank(table))
}

func takeoverDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return firstTakeoverDelay + min(time.Duration(rank-1)*rankDelay, Freshness-firstTakeoverDelay)
}

// MaxBackoff implements tablefeed.Peers.
func (c *Coordinator) MaxBackoff(table string) time.Duration {
	if c.TakeoverDelay(table) < Freshness {
		return firstMaxBackoff
	}
	return laterMaxBackoff * time.Duration(max(c.fleet.Nodes(), laterBackoffNodes)) / laterBackoffNodes
}

// LatestConfirmation implements tablefeed.Peers.
func (c *Coordinator) LatestConfirmation(table string, now time.Time, isReader bool) (tablefeed.Confirmation, bool) {
	newest, found := c.newest(table, now, isReader)
	if now.Sub(newest.At) >= requestAge && (!isReader || c.TakeoverDelay(table) > 0) && c.mayRequest(table, now) {
		c.fleet.RequestAnnouncements(table)
	}
	return newest, found
}

// newest returns the fresh confirmation of the newest version. If this node is a reader, only
// nodes that outrank it are considered.
func (c *Coordinator) newest(table string, now time.Time, isReader bool) (newest tablefeed.Confirmation, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reader, confirmation := range c.announced[table] {
		if now.Sub(confirmation.At) >= Freshness {
			delete(c.announced[table], reader)
			continue
		}
		if isReader && !c.fleet.Outranks(table, reader) {
			continue
		}
		if !found || isNewer(confirmation, newest) {
			newest, found = confirmation, true
		}
	}
	return newest, found
}

// isNewer compares versions, and times only for equal versions: an age doesn't include the time
// that an announcement spent in a buffer.
func isNewer(left, right tablefeed.Confirmation) bool {
	if left.Confirmed != right.Confirmed {
		return left.Confirmed > right.Confirmed
	}
	return left.At.After(right.At)
}

// mayRequest reports whether announcements of a table may be requested now, and if so records
// the request.
func (c *Coordinator) mayRequest(table string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.requests[table]
	since := now.Sub(last.at)
	if since < last.pause {
		return false
	}
	if since >= 2*maxRequestInterval {
		last.pause = 0 // no request was needed for a while
	}
	pause := requestInterval
	if c.fleet.Large() {
		pause = min(max(2*last.pause, requestInterval), maxRequestInterval)
	}
	c.requests[table] = request{at: now, pause: pause}
	return true
}

// BroadcastConfirmations implements tablefeed.Peers.
func (c *Coordinator) BroadcastConfirmations() {
	announcements := slices.DeleteFunc(c.OwnAnnouncements(time.Now()), func(a Announcement) bool { return !c.broadcasts(a.Table) })
	if len(announcements) > 0 {
		c.fleet.BroadcastAnnouncements(announcements)
	}
}

// BroadcastNews implements tablefeed.Peers.
func (c *Coordinator) BroadcastNews(news tablefeed.News) {
	if c.broadcasts(news.Table) {
		c.fleet.BroadcastNews(news)
	}
}

// broadcasts reports whether this node broadcasts what it reads of a table.
func (c *Coordinator) broadcasts(table string) bool {
	return !c.fleet.Large() || c.fleet.Rank(table) <= maxBroadcastRank
}
