// Package tablerelay lets nodes follow a table of the platform's store through one
// another, so that few of them call the store and the others hear of a change from
// these. Each node that reads a table at the store says in its digests up to which
// version the store has confirmed it, and when. A node relies on that word while it
// is fresh, and reads at the store itself as soon as it isn't.
//
// Guarantee: what a node that relies on another holds of a table is at most
// Freshness older than what the store held, plus the time of one call to it.
package tablerelay

import (
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

const (
	// Freshness is how long after the store's confirmation a word counts.
	Freshness = 1500 * time.Millisecond
	// smallFleet is the number of nodes up to which all rely on one; above it, those
	// of each zone rely on one of their zone, which costs no bytes between zones.
	smallFleet = 16
)

// Word is what a node says of a table that it reads at the store.
type Word struct {
	Table string `json:"n"`
	// Changed is the version of the last change of the table.
	Changed tablefeed.Version `json:"c"`
	// Confirmed is the newest version up to which there is no other change.
	Confirmed tablefeed.Version `json:"v"`
	// AgeMillis is the time since the store confirmed it.
	AgeMillis int64 `json:"a"`
}

// heardWord is a word as its receiver keeps it.
type heardWord struct {
	zone string
	word tablefeed.Word
}

// Board holds the words of the nodes on all tables. It is safe for concurrent use.
type Board struct {
	node, zone string
	// fleet returns the number of nodes.
	fleet func() int
	send  func(news tablefeed.News, zone string)

	mu    sync.Mutex
	feeds map[string]*tablefeed.Feed
	// words holds what other nodes say, by table and node.
	words map[string]map[string]heardWord
}

// New returns a board of a node. fleet returns the number of nodes; send tells the
// others of a zone of changes, or all where the zone is empty.
func New(node, zone string, fleet func() int, send func(news tablefeed.News, zone string)) *Board {
	return &Board{
		node: node, zone: zone, fleet: fleet, send: send,
		feeds: make(map[string]*tablefeed.Feed), words: make(map[string]map[string]heardWord),
	}
}

// Add has a feed take part.
func (b *Board) Add(table string, feed *tablefeed.Feed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feeds[table] = feed
}

// Words returns what this node has to say: on the tables that it reads at the store,
// and whose last confirmation still counts.
func (b *Board) Words(now time.Time) []Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Word
	for table, feed := range b.feeds {
		word, own := feed.Word()
		if age := now.Sub(word.At); own && age < Freshness {
			words = append(words, Word{
				Table: table, Changed: word.Changed, Confirmed: word.Confirmed, AgeMillis: age.Milliseconds(),
			})
		}
	}
	return words
}

// Take records the words of another node.
func (b *Board) Take(node, zone string, words []Word, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, said := range words {
		feed, followed := b.feeds[said.Table]
		if !followed {
			continue
		}
		if b.words[said.Table] == nil {
			b.words[said.Table] = make(map[string]heardWord)
		}
		before := b.words[said.Table][node].word
		word := tablefeed.Word{
			Changed: said.Changed, Confirmed: said.Confirmed,
			At: now.Add(-time.Duration(said.AgeMillis) * time.Millisecond),
		}
		b.words[said.Table][node] = heardWord{zone: zone, word: word}
		if word.Changed > before.Changed {
			feed.Wake()
		}
	}
}

// TakeNews gives changes that another node got from the store to the feed.
func (b *Board) TakeNews(news tablefeed.News) {
	b.mu.Lock()
	feed, followed := b.feeds[news.Table]
	b.mu.Unlock()
	if followed {
		feed.Offer(news)
	}
}

// Word implements tablefeed.Others: a node relies on the nodes with a lower
// incarnation, in a large fleet on those of its zone.
func (b *Board) Word(table string, now time.Time) (tablefeed.Word, bool) {
	anyZone := b.relyOnAnyZone()
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest tablefeed.Word
	found := false
	for node, heard := range b.words[table] {
		if now.Sub(heard.word.At) >= Freshness {
			delete(b.words[table], node)
			continue
		}
		if node > b.node || heard.zone != b.zone && !anyZone {
			continue
		}
		if !found || heard.word.At.After(newest.At) {
			newest, found = heard.word, true
		}
	}
	return newest, found
}

// Publish implements tablefeed.Others.
func (b *Board) Publish(news tablefeed.News) {
	if b.relyOnAnyZone() {
		b.send(news, "")
		return
	}
	b.send(news, b.zone)
}

func (b *Board) relyOnAnyZone() bool { return b.fleet() <= smallFleet }
