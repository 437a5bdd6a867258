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
	takeover = 920 * time.Millisecond
	step     = 145 * time.Millisecond
	// pullAfter is the age of a word from which a node asks others for a newer one: again
	// after pullEvery, and in a large fleet less often each time up to longestPull, at which
	// it still gets one before its own is too old. While the store is down no node has any,
	// and all would ask.
	pullAfter   = 800 * time.Millisecond
	pullEvery   = 100 * time.Millisecond
	longestPull = 400 * time.Millisecond
	// callPause is the longest pause of the first nodes between calls to a store that
	// fails, and laterPause that of the others in a fleet of up to laterFleet nodes: these
	// hear from the first when it is back. Each call to it is paid for, also while it is
	// down; in a larger fleet the others together call no more often.
	callPause  = 800 * time.Millisecond
	laterPause = 4 * time.Second
	laterFleet = 60
	// tellingPlaces is how many nodes of each zone of a large fleet tell all others of what
	// they read: these take over from each other one by one. Any other that has to read for
	// itself, since no word reaches it, answers those that ask it only. Would it tell all, a
	// thousand nodes that miss a word would send each other a million, and miss the next.
	tellingPlaces = 3
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
	SpreadWords(words []Announcement)
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
	copies Fetcher

	mu    sync.Mutex
	feeds map[string]*tablefeed.Feed
	// words holds what other nodes say, by table and reader.
	words map[string]map[string]tablefeed.Confirmation
	// pulls are the questions for words, by table.
	pulls map[string]pull
	lags  lags
}

// pull is when words on a table were asked for last, and the least time until they may be
// again.
type pull struct {
	at    time.Time
	pause time.Duration
}

// New returns a board.
func New(fleet Fleet) *Coordinator {
	return &Coordinator{
		fleet: fleet, feeds: make(map[string]*tablefeed.Feed),
		words: make(map[string]map[string]tablefeed.Confirmation), pulls: make(map[string]pull), lags: newLags(),
	}
}

// SetFetcher has the feeds get tables from other nodes. It is called before they run.
func (b *Coordinator) SetFetcher(copies Fetcher) { b.copies = copies }

// FetchTable implements tablefeed.Others.
func (b *Coordinator) FetchTable(ctx context.Context, table string) (tablefeed.Transfer, error) {
	if b.copies == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return b.copies.Copy(ctx, table)
}

// FetchChanges implements tablefeed.Others.
func (b *Coordinator) FetchChanges(ctx context.Context, table string, after tablefeed.Version) (tablefeed.Transfer, error) {
	if b.copies == nil {
		return tablefeed.Transfer{}, tablefeed.ErrNoCopy
	}
	return b.copies.Missed(ctx, table, after, b.holders(table, after, time.Now()))
}

// HasChangeAfter implements tablefeed.Others.
func (b *Coordinator) HasChangeAfter(table string, after tablefeed.Version, now time.Time) bool {
	return len(b.holders(table, after, now)) > 0
}

// holders returns the nodes whose words tell of a change after a version, the one heard last
// first.
func (b *Coordinator) holders(table string, after tablefeed.Version, now time.Time) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var readers []string
	for reader, word := range b.words[table] {
		if word.Changed > after && now.Sub(word.At) < Freshness {
			readers = append(readers, reader)
		}
	}
	slices.SortFunc(readers, func(left, right string) int {
		return b.words[table][right].At.Compare(b.words[table][left].At)
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
func (b *Coordinator) Add(table string, feed *tablefeed.Feed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feeds[table] = feed
}

// Words returns what this node has to say: on the tables that it reads at the store,
// and whose last confirmation still counts.
func (b *Coordinator) Words(now time.Time) []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Announcement
	for table, feed := range b.feeds {
		if word, own := feed.Word(); own && now.Sub(word.At) < Freshness {
			words = append(words, render(table, word, b.fleet.Address(), now))
		}
	}
	return words
}

// Known returns all words that this node knows and that still count, its own included.
func (b *Coordinator) Known(now time.Time) []Announcement {
	known := b.Words(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for table, heard := range b.words {
		for reader, word := range heard {
			if now.Sub(word.At) < Freshness {
				known = append(known, render(table, word, reader, now))
			}
		}
	}
	return known
}

func render(table string, word tablefeed.Confirmation, reader string, now time.Time) Announcement {
	return Announcement{
		Table: table, Changed: word.Changed, Confirmed: word.Confirmed,
		AgeMillis: now.Sub(word.At).Milliseconds(), Reader: reader,
	}
}

// Take records words, which may have come through other nodes.
func (b *Coordinator) Take(words []Announcement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, said := range words {
		feed, followed := b.feeds[said.Table]
		if !followed || said.Reader == b.fleet.Address() {
			continue
		}
		if b.words[said.Table] == nil {
			b.words[said.Table] = make(map[string]tablefeed.Confirmation)
		}
		before := b.words[said.Table][said.Reader]
		word := tablefeed.Confirmation{
			Changed: said.Changed, Confirmed: said.Confirmed,
			At: now.Add(-time.Duration(said.AgeMillis) * time.Millisecond),
		}
		if !newer(word, before) {
			continue
		}
		b.words[said.Table][said.Reader] = word
		held, _ := feed.Word()
		b.lags.heard(said, held.Confirmed, now)
		if word.Changed > before.Changed || b.endsPause(feed, said, word, now) {
			feed.Wake()
		}
	}
}

// endsPause reports whether a word lets a feed follow another node again whose calls to the
// store failed. One that can't rely on the word would only call again.
func (b *Coordinator) endsPause(feed *tablefeed.Feed, said Announcement, word tablefeed.Confirmation, now time.Time) bool {
	held, _ := feed.Word()
	follows := word.Changed <= held.Confirmed // else it would have to ask for the changes
	return follows && now.Sub(held.At) >= Freshness && now.Sub(word.At) < b.TakeoverDelay(said.Table)
}

// TakeNews gives changes that another node got from the store to the feed.
func (b *Coordinator) TakeNews(news tablefeed.News) {
	b.mu.Lock()
	feed, followed := b.feeds[news.Table]
	b.mu.Unlock()
	if followed {
		feed.Offer(news)
	}
}

// TakeoverDelay implements tablefeed.Others.
func (b *Coordinator) TakeoverDelay(table string) time.Duration {
	return patience(b.fleet.Place(table))
}

func patience(place int) time.Duration {
	if place == 0 {
		return 0
	}
	return takeover + min(time.Duration(place-1)*step, Freshness-takeover)
}

// MaxBackoff implements tablefeed.Others.
func (b *Coordinator) MaxBackoff(table string) time.Duration {
	if b.TakeoverDelay(table) < Freshness {
		return callPause
	}
	return laterPause * time.Duration(max(b.fleet.Nodes(), laterFleet)) / laterFleet
}

// LatestConfirmation implements tablefeed.Others.
func (b *Coordinator) LatestConfirmation(table string, now time.Time, reads bool) (tablefeed.Confirmation, bool) {
	newest, found := b.newest(table, now, reads)
	if now.Sub(newest.At) >= pullAfter && (!reads || b.TakeoverDelay(table) > 0) && b.mayPull(table, now) {
		b.fleet.AskWords(table)
	}
	return newest, found
}

// newest returns the word of the newest version, where this node reads among those of nodes
// that come before it.
func (b *Coordinator) newest(table string, now time.Time, reads bool) (newest tablefeed.Confirmation, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for reader, word := range b.words[table] {
		if now.Sub(word.At) >= Freshness {
			delete(b.words[table], reader)
			continue
		}
		if reads && !b.fleet.Outranks(table, reader) {
			continue
		}
		if !found || newer(word, newest) {
			newest, found = word, true
		}
	}
	return newest, found
}

// newer compares versions, and times where these are the same: an age may be wrong by the
// time for which the word lay in a buffer.
func newer(left, right tablefeed.Confirmation) bool {
	if left.Confirmed != right.Confirmed {
		return left.Confirmed > right.Confirmed
	}
	return left.At.After(right.At)
}

// mayPull reports whether words on a table may be asked for, and records that they are.
func (b *Coordinator) mayPull(table string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.pulls[table]
	since := now.Sub(last.at)
	if since < last.pause {
		return false
	}
	if since >= 2*longestPull {
		last.pause = 0 // it was not needed for a while
	}
	pause := pullEvery
	if b.fleet.Large() {
		pause = min(max(2*last.pause, pullEvery), longestPull)
	}
	b.pulls[table] = pull{at: now, pause: pause}
	return true
}

// BroadcastConfirmations implements tablefeed.Others.
func (b *Coordinator) BroadcastConfirmations() {
	words := slices.DeleteFunc(b.Words(time.Now()), func(w Announcement) bool { return !b.tells(w.Table) })
	if len(words) > 0 {
		b.fleet.SpreadWords(words)
	}
}

// BroadcastNews implements tablefeed.Others.
func (b *Coordinator) BroadcastNews(news tablefeed.News) {
	if b.tells(news.Table) {
		b.fleet.SpreadNews(news)
	}
}

// tells reports whether this node tells all others of what it reads of a table.
func (b *Coordinator) tells(table string) bool {
	return !b.fleet.Large() || b.fleet.Place(table) <= tellingPlaces
}
