// Package tablerelay lets nodes follow a table of the platform's store through one
// another, so that few of them call the store and the others hear of a change from
// these. A node that reads a table at the store tells the others up to which version the
// store has confirmed it, and when. A node relies on such a word while it is fresh, and
// reads at the store itself as soon as it isn't: those ranked first a little sooner, so that
// not all call at the same moment. The ranking decides only who reads: a node that reads
// goes on until one that comes before it does. What is newer is told by versions, which the
// store orders, whoever says it: the store may turn away any node.
//
// Guarantee: what a node that relies on another holds of a table is at most
// Freshness older than what the store held, plus the time of one call to it.
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
	// Freshness is how long after the store's confirmation a word counts at most: three
	// quarters of the two seconds in which changes have to be known.
	Freshness = 1500 * time.Millisecond
	// takeover is how long the word counts for the second in the ranking, and each place
	// adds step: the first confirms its word each 0.7 seconds (tablefeed).
	firstTakeoverDelay = 920 * time.Millisecond
	rankDelay          = 145 * time.Millisecond
	// pullAfter is the age of a word from which a node asks others for a newer one: again
	// after pullEvery, and in a large fleet less often each time up to longestPull, at which
	// it still gets one before its own is too old. While the store is down no node has any,
	// and all would ask.
	requestAge         = 800 * time.Millisecond
	requestInterval    = 100 * time.Millisecond
	maxRequestInterval = 400 * time.Millisecond
	// callPause is the longest pause of the first nodes between calls to a store that
	// fails, and laterPause that of the others in a fleet of up to laterFleet nodes: these
	// hear from the first when it is back. Each call to it is paid for, also while it is
	// down; in a larger fleet the others together call no more often.
	firstMaxBackoff   = 800 * time.Millisecond
	laterMaxBackoff   = 4 * time.Second
	laterBackoffNodes = 60
	// tellingPlaces is how many nodes of each zone of a large fleet tell all others of what
	// they read: these take over from each other one by one. Any other that has to read for
	// itself, since no word reaches it, answers those that ask it only. Would it tell all, a
	// thousand nodes that miss a word would send each other a million, and miss the next.
	broadcastRanks = 3
)

// Announcement is what a node says of a table that some node reads at the store.
type Announcement struct {
	Table string `json:"n"`
	// Changed is the version of the last change of the table.
	Changed tablefeed.Version `json:"c"`
	// Confirmed is the newest version up to which there is no other change.
	Confirmed tablefeed.Version `json:"v"`
	// AgeMillis is the time since the store confirmed it.
	AgeMillis int64 `json:"a"`
	// Reader is the address of the node that the store confirmed it to.
	Reader string `json:"r"`
}

// Fleet is the other nodes.
type Fleet interface {
	// Address names this node in words.
	Address() string
	// Outranks reports whether another node comes before this one among those that read
	// a table at the store.
	Outranks(table, reader string) bool
	// Place is this node's place among them, 0 the first.
	Place(table string) int
	// Nodes is how many nodes there are, and Large whether they are too many for each to tell
	// all others.
	Nodes() int
	Large() bool
	// SpreadWords and SpreadNews tell all other nodes.
	SpreadWords(announcements []Announcement)
	SpreadNews(news tablefeed.News)
	// AskWords asks some nodes for their words.
	AskWords(table string)
}

// Fetcher gets tables from other nodes.
type Fetcher interface {
	// Copy and Missed are as in tablefeed.Others.
	Copy(ctx context.Context, table string) (tablefeed.Transfer, error)
	// holders are nodes that hold a change after that version.
	Missed(ctx context.Context, table string, after tablefeed.Version, holders []netip.AddrPort) (tablefeed.Transfer, error)
}

// Coordinator holds the words of the nodes on all tables. It is safe for concurrent use.
type Coordinator struct {
	fleet Fleet
	// copies is nil where tables are read at the store only.
	fetcher Fetcher

	mu    sync.Mutex
	feeds map[string]*tablefeed.Feed
	// words holds what other nodes say, by table and reader.
	announced map[string]map[string]tablefeed.Confirmation
	// pulls are the questions for words, by table.
	requests map[string]request
	lags     lags
}

// pull is when words on a table were asked for last, and the least time until they may be
// again.
type request struct {
	at    time.Time
	pause time.Duration
}

// New returns a board.
func New(fleet Fleet) *Coordinator {
	return &Coordinator{
		fleet: fleet, feeds: make(map[string]*tablefeed.Feed),
		announced: make(map[string]map[string]tablefeed.Confirmation), requests: make(map[string]request), lags: newLags(),
	}
}

// SetFetcher has the feeds get tables from other nodes. It is called before they run.
func (c *Coordinator) SetFetcher(fetcher Fetcher) { c.fetcher = fetcher }

// FetchTable implements tablefeed.Others.
func (c *Coordinator) FetchTable(ctx context.Context, table string) (tablefeed.Transfer, error) {
	if c.fetcher == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return c.fetcher.Copy(ctx, table)
}

// FetchChanges implements tablefeed.Others.
func (c *Coordinator) FetchChanges(ctx context.Context, table string, after tablefeed.Version) (tablefeed.Transfer, error) {
	if c.fetcher == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return c.fetcher.Missed(ctx, table, after, c.holders(table, after, time.Now()))
}

// HasChangeAfter implements tablefeed.Others.
func (c *Coordinator) HasChangeAfter(table string, after tablefeed.Version, now time.Time) bool {
	return len(c.holders(table, after, now)) > 0
}

// holders returns the nodes whose words tell of a change after a version, the one heard last
// first.
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

// Add has a feed take part.
func (c *Coordinator) Add(table string, feed *tablefeed.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feeds[table] = feed
}

// Words returns what this node has to say: on the tables that it reads at the store,
// and whose last confirmation still counts.
func (c *Coordinator) Words(now time.Time) []Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var announcements []Announcement
	for table, feed := range c.feeds {
		if confirmation, own := feed.Word(); own && now.Sub(confirmation.At) < Freshness {
			announcements = append(announcements, announce(table, confirmation, c.fleet.Address(), now))
		}
	}
	return announcements
}

// Known returns all words that this node knows and that still count, its own included.
func (c *Coordinator) Known(now time.Time) []Announcement {
	known := c.Words(now)
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

// Take records words, which may have come through other nodes.
func (c *Coordinator) Take(announcements []Announcement, now time.Time) {
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
		held, _ := feed.Word()
		c.lags.observe(announced, held.Confirmed, now)
		if confirmation.Changed > before.Changed || c.endsBackoff(feed, announced, confirmation, now) {
			feed.Wake()
		}
	}
}

// endsPause reports whether a word lets a feed follow another node again whose calls to the
// store failed. One that can't rely on the word would only call again.
func (c *Coordinator) endsBackoff(feed *tablefeed.Feed, announced Announcement, confirmation tablefeed.Confirmation, now time.Time) bool {
	held, _ := feed.Word()
	follows := confirmation.Changed <= held.Confirmed // else it would have to ask for the changes
	return follows && now.Sub(held.At) >= Freshness && now.Sub(confirmation.At) < c.TakeoverDelay(announced.Table)
}

// TakeNews gives changes that another node got from the store to the feed.
func (c *Coordinator) TakeNews(news tablefeed.News) {
	c.mu.Lock()
	feed, followed := c.feeds[news.Table]
	c.mu.Unlock()
	if followed {
		feed.Offer(news)
	}
}

// TakeoverDelay implements tablefeed.Others.
func (c *Coordinator) TakeoverDelay(table string) time.Duration {
	return takeoverDelay(c.fleet.Place(table))
}

func takeoverDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return firstTakeoverDelay + min(time.Duration(rank-1)*rankDelay, Freshness-firstTakeoverDelay)
}

// MaxBackoff implements tablefeed.Others.
func (c *Coordinator) MaxBackoff(table string) time.Duration {
	if c.TakeoverDelay(table) < Freshness {
		return firstMaxBackoff
	}
	return laterMaxBackoff * time.Duration(max(c.fleet.Nodes(), laterBackoffNodes)) / laterBackoffNodes
}

// LatestConfirmation implements tablefeed.Others.
func (c *Coordinator) LatestConfirmation(table string, now time.Time, isReader bool) (tablefeed.Confirmation, bool) {
	newest, found := c.newest(table, now, isReader)
	if now.Sub(newest.At) >= requestAge && (!isReader || c.TakeoverDelay(table) > 0) && c.mayRequest(table, now) {
		c.fleet.AskWords(table)
	}
	return newest, found
}

// newest returns the word of the newest version, where this node reads among those of nodes
// that come before it.
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

// newer compares versions, and times where these are the same: an age may be wrong by the
// time for which the word lay in a buffer.
func isNewer(left, right tablefeed.Confirmation) bool {
	if left.Confirmed != right.Confirmed {
		return left.Confirmed > right.Confirmed
	}
	return left.At.After(right.At)
}

// mayPull reports whether words on a table may be asked for, and records that they are.
func (c *Coordinator) mayRequest(table string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.requests[table]
	since := now.Sub(last.at)
	if since < last.pause {
		return false
	}
	if since >= 2*maxRequestInterval {
		last.pause = 0 // it was not needed for a while
	}
	pause := requestInterval
	if c.fleet.Large() {
		pause = min(max(2*last.pause, requestInterval), maxRequestInterval)
	}
	c.requests[table] = request{at: now, pause: pause}
	return true
}

// BroadcastConfirmations implements tablefeed.Others.
func (c *Coordinator) BroadcastConfirmations() {
	announcements := slices.DeleteFunc(c.Words(time.Now()), func(a Announcement) bool { return !c.broadcasts(a.Table) })
	if len(announcements) > 0 {
		c.fleet.SpreadWords(announcements)
	}
}

// BroadcastNews implements tablefeed.Others.
func (c *Coordinator) BroadcastNews(news tablefeed.News) {
	if c.broadcasts(news.Table) {
		c.fleet.SpreadNews(news)
	}
}

// tells reports whether this node tells all others of what it reads of a table.
func (c *Coordinator) broadcasts(table string) bool {
	return !c.fleet.Large() || c.fleet.Place(table) <= broadcastRanks
}
