package httpguard

import (
	"container/heap"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// turnBurst is how long turns may follow one another at once. After that the processor is left to
	// others: the scheduler polls the network only when nothing is ready, so ordinary requests would wait
	// for many turns at each of their steps.
	turnBurst = time.Millisecond
	// turnPause is the least pause after that. It is repeated until the processor is idle at its end, that is,
	// nobody works for longer than idleDelay after it, or mostPauses times.
	turnPause  = time.Millisecond
	idleDelay  = 500 * time.Microsecond
	mostPauses = 32
	// agingRate is the work in bytes a second for which a connection may be passed over by others that ask for
	// less.
	agingRate = 4 << 10
	// handlerTurn is how long a turn goes on once a request is handled: forwarding a head takes as much work
	// as parsing it. Later a handler may wait, and others would wait with it.
	handlerTurn = 2 * time.Millisecond
)

// turnState is what turns are at.
type turnState int

const (
	// free: no connection has the turn.
	free turnState = iota
	// taken: a connection has it.
	taken
	// pausing: the last turn has ended, and the next one waits until the processor is idle.
	pausing
)

// Turns lets one of the connections without credit work at a time, those first that ask for little or have waited
// for long. Others have precedence: the next turns begin once nothing else is to be done.
type Turns struct {
	mu      sync.Mutex
	state   turnState
	waiting waiters
	// since is when the turn began, or the last one ended, and spent the length of the turns since the last pause.
	since time.Time
	spent time.Duration
	// waited is how long connections have waited for turns, in nanoseconds.
	waited atomic.Int64
	// sleep pauses, and returns for how long others went on working after that.
	sleep func(time.Duration) time.Duration
}

// NewTurns returns turns that nobody has.
func NewTurns() *Turns { return &Turns{sleep: sleepAndYield} }

// sleepAndYield sleeps, and lets all goroutines run that are ready then: one that wakes up runs before them. It
// returns how late it is after that.
func sleepAndYield(pause time.Duration) time.Duration {
	begun := time.Now()
	time.Sleep(pause)
	runtime.Gosched()
	return time.Since(begun) - pause
}

// begin waits for a turn in which a connection does work that its credit doesn't cover.
func (t *Turns) begin(work int) {
	now := time.Now()
	t.mu.Lock()
	if t.state == free {
		if now.Sub(t.since) >= turnPause {
			t.spent = 0
		}
		t.state, t.since = taken, now
		t.mu.Unlock()
		return
	}
	w := &waiter{due: now.Add(time.Duration(work) * time.Second / agingRate), ready: make(chan struct{})}
	heap.Push(&t.waiting, w)
	t.mu.Unlock()
	<-w.ready
	t.waited.Add(int64(time.Since(now)))
}

func (t *Turns) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.spent += now.Sub(t.since)
	if t.spent >= turnBurst { // also if nobody waits: others may be about to ask
		t.state, t.spent = pausing, 0
		go t.nextWhenIdle()
		return
	}
	t.next(now)
}

// next hands the turn over. The caller holds the lock.
func (t *Turns) next(now time.Time) {
	t.state, t.since = free, now
	if len(t.waiting) == 0 {
		return
	}
	t.state = taken
	w, _ := heap.Pop(&t.waiting).(*waiter)
	close(w.ready)
}

// nextWhenIdle hands the turn over once nothing else is to be done. The clock alone doesn't tell: a process that
// has a part of a core may have been stopped meanwhile.
func (t *Turns) nextWhenIdle() {
	for range mostPauses {
		if t.sleep(turnPause) < idleDelay {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next(time.Now())
}

// waiter is a connection that waits for its turn.
type waiter struct {
	due   time.Time
	ready chan struct{}
}

// waiters is a heap.Interface whose first element is due first.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool { return w[i].due.Before(w[j].due) }

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	if waiting, ok := x.(*waiter); ok {
		*w = append(*w, waiting)
	}
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return popped
}

// takeTurn charges work to the connection. A connection without credit waits for its turn, which it
// keeps until its goroutine waits for the client, or for handlerTurn while its request is handled.
func (c *conn) takeTurn(work int) {
	uncovered := c.credit.spend(work, time.Now())
	if uncovered == 0 || c.holdsTurn.Load() {
		return
	}
	c.guard.options.Turns.begin(uncovered)
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
