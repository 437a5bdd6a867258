package digest

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
)

// boardStub records what comes to it.
type boardStub struct{ words chan []tablerelay.Word }

func (b *boardStub) Words(time.Time) []tablerelay.Word { return nil }
func (b *boardStub) Known(time.Time) []tablerelay.Word {
	return []tablerelay.Word{{Table: "known"}}
}
func (b *boardStub) Take(words []tablerelay.Word, _ time.Time) { b.words <- words }
func (b *boardStub) TakeNews(tablefeed.News)                   {}

// TestWordsReachAllNodes: in a large fleet two nodes of each zone pass them on, so that
// each node hears them at least once, and no node sends to all.
func TestWordsReachAllNodes(t *testing.T) {
	const nodes = 50
	boards := make([]Board, nodes)
	for i := range boards {
		boards[i] = &boardStub{words: make(chan []tablerelay.Word, 100)}
	}
	exchanges, _ := clusterWithBoards(t, boards, "w")
	exchanges[0].mu.Lock()
	near, across := exchanges[0].peers.spreadTargets()
	targets := len(near) + len(across)
	exchanges[0].mu.Unlock()
	if targets > leastHomes {
		t.Errorf("one node tells %d of one zone", targets)
	}
	exchanges[0].SpreadWords([]tablerelay.Word{{Table: "spread"}})
	for i, board := range boards[1:] {
		select {
		case words := <-board.(*boardStub).words:
			if words[0].Table != "spread" {
				t.Errorf("node %d heard %v", i+1, words)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("node %d heard nothing", i+1)
		}
	}
}

// TestWordsAreAskedFor where none has come.
func TestWordsAreAskedFor(t *testing.T) {
	asking, asked := &boardStub{words: make(chan []tablerelay.Word, 100)}, &boardStub{words: make(chan []tablerelay.Word, 100)}
	exchanges, _ := clusterWithBoards(t, []Board{asking, asked}, "w")
	exchanges[0].AskWords("table")
	select {
	case words := <-asking.words:
		if words[0].Table != "known" {
			t.Errorf("%v", words)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no words came")
	}
}
