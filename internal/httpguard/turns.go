package httpguard

import (
	"sync/atomic"
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

// spend takes work from the credit. It returns false once none is left.
func (c *credit) spend(work int, now time.Time) bool {
	c.left = min(creditBytes, c.left+now.Sub(c.at).Seconds()*creditRate) - float64(work)
	c.at = now
	if c.left < 0 {
		c.left = 0
		return false
	}
	return true
}

const (
	// turnBurst is how long turns may follow one another at once. After that the processor is left to
	// others: the scheduler polls the network only when nothing is ready, so ordinary requests would wait
	// for many turns at each of their steps.
	turnBurst = time.Millisecond
	// turnPause is how much longer than the turns the pause after them is.
	turnPause = 2
	// handlerTurn is how long a turn goes on once a request is handled: forwarding a head takes as much work
	// as parsing it. Later a handler may wait, and others would wait with it.
	handlerTurn = 2 * time.Millisecond
)

// Turns lets one of the connections without credit work at a time, in the order in which they ask.
type Turns struct {
	slot    chan struct{}
	waiting atomic.Int32
	// since is when the turn began, and spent the length of the turns that followed one another. Only
	// who has the turn uses them.
	since time.Time
	spent time.Duration
}

// NewTurns returns turns that nobody has.
func NewTurns() *Turns { return &Turns{slot: make(chan struct{}, 1)} }

func (t *Turns) begin() {
	t.waiting.Add(1)
	t.slot <- struct{}{}
	t.waiting.Add(-1)
	t.since = time.Now()
}

func (t *Turns) end() {
	t.spent += time.Since(t.since)
	switch pause := t.spent; {
	case t.waiting.Load() == 0:
		t.spent = 0
	case pause >= turnBurst:
		t.spent = 0
		time.AfterFunc(turnPause*pause, func() { <-t.slot })
		return
	}
	<-t.slot
}

// takeTurn charges work to the connection. A connection without credit waits for its turn, which it
// keeps until its goroutine waits for the client, or for handlerTurn while its request is handled.
func (c *conn) takeTurn(work int) {
	if c.credit.spend(work, time.Now()) || c.holdsTurn.Load() {
		return
	}
	c.guard.options.Turns.begin()
	c.holdsTurn.Store(true)
}

// endTurnSoon ends the turn of the connection after handlerTurn.
func (c *conn) endTurnSoon() {
	if c.holdsTurn.Load() {
		time.AfterFunc(handlerTurn, c.endTurn)
	}
}

func (c *conn) endTurn() {
	if c.holdsTurn.CompareAndSwap(true, false) {
		c.guard.options.Turns.end()
	}
}
