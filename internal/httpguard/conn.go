package httpguard

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// idle connections have no request.
	idle phase = iota
	// head: the head of a request is being received.
	head
	// handling: the request is at the handler.
	handling
	// finishing: the handler has returned; the rest of the body is read and of the answer written.
	finishing
	// ended connections aren't the guard's any more.
	ended
)

// conn is a guarded connection. Its fields are guarded by the lock of the guard, unless they are used
// only by the goroutine that serves the connection.
type conn struct {
	net.Conn
	guard *Guard

	phase phase
	// since is when the phase began.
	since time.Time
	// held is the memory reserved for the connection, and ofRequest the part for its request.
	held, ofRequest int64
	// ofHandler is the part of ofRequest that is given back when the handler has returned.
	ofHandler int64
	// waiting is when the node began to wait for the client to send a body or to read an answer, zero
	// if it doesn't. lag is how far the client has fallen behind the least rate before that. writing tells
	// that both are about an answer.
	waiting time.Time
	lag     time.Duration
	writing bool
	// answered tells that a request of the connection was answered.
	answered bool
	// dropped tells that the guard has closed the connection.
	dropped bool
	// over tells that nothing may be read or written any more.
	over bool
	// refused tells that the last request found no room, or that its head was refused.
	refused bool
	// lingers tells that net/http has closed the connection and the guard keeps it open.
	lingers bool
	// beyond counts what net/http may have received beyond the end of the last head: the next head may
	// begin in it.
	beyond counted

	// headBytes counts the head being received.
	headBytes int
	// ahead is what was read and net/http has not received yet, and tail the last bytes that it has.
	ahead []byte
	tail  []byte
	// credit is what the connection may do before it has to take turns, and holdsTurn tells that it
	// has one.
	credit    credit
	holdsTurn atomic.Bool
}

// Read implements net.Conn. A head is passed on only when all of it has come and its cost is reserved.
func (c *conn) Read(buffer []byte) (int, error) {
	switch phase, over := c.state(); {
	case over: // net/http reads again after an error in the middle of a head
		return 0, io.EOF
	case phase == ended:
		return c.readAhead(buffer)
	}
	// While a request is handled, net/http reads single bytes to see whether the client leaves.
	if len(buffer) == 1 {
		count, err := c.readAhead(buffer)
		c.guard.mu.Lock()
		c.beyond = c.beyond.plus(buffer[:count])
		c.guard.mu.Unlock()
		return count, err
	}
	c.endTurn()
	if !c.beginWait(false) {
		return c.readHead(buffer)
	}
	count, err := c.readAhead(buffer)
	read := counted{bytes: count}
	if len(buffer) <= readerSize {
		read = counted{}.plus(buffer[:count])
	}
	c.endWait(count)
	c.noteBeyond(read)
	c.takeTurn(read.effort())
	return count, err
}

// noteBeyond notes what may be left in net/http's buffer once the body ends.
func (c *conn) noteBeyond(read counted) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.beyond = read
}

// readAhead reads what was read ahead, and else from the client.
func (c *conn) readAhead(buffer []byte) (int, error) {
	if len(c.ahead) == 0 {
		count, err := c.Conn.Read(buffer)
		c.keepTail(buffer[:count])
		return count, err
	}
	count := copy(buffer, c.ahead)
	c.keepTail(buffer[:count])
	c.ahead = c.ahead[count:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return count, nil
}

// state returns the phase, and whether nothing may be read or written any more.
func (c *conn) state() (phase, bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.phase, c.over
}

func (c *conn) wasRefused() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.refused
}

// breakOff makes all further reads and writes fail.
func (c *conn) breakOff() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.over = true
}

// beginWait notes that the node waits for the client to send a body, or to take a piece of an answer, unless
// there is no request whose head is complete. It returns whether there is one.
func (c *conn) beginWait(writing bool) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == idle || c.phase == head {
		return false
	}
	if c.writing != writing {
		c.writing, c.lag = writing, 0
	}
	c.waiting = time.Now()
	return true
}

// endWait ends a wait in which a client sent or took a number of bytes.
func (c *conn) endWait(count int) {
	now := time.Now()
	rate := c.guard.currentLimits().LeastRate
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.lag += now.Sub(c.waiting)
	c.waiting = time.Time{}
	if rate > 0 {
		c.lag -= time.Duration(count) * time.Second / time.Duration(rate)
	}
	c.lag = max(c.lag, 0)
}

// reserveRequest reserves memory for the request of the connection, which will take that much more later. The caller
// holds the lock.
func (c *conn) reserveRequest(bytes, later int64, now time.Time) bool {
	if !c.guard.reserve(c, bytes, later, now) {
		return false
	}
	c.ofRequest += bytes
	return true
}

// mostAtOnce is how much of an answer is written at a time, so that progress is seen.
const mostAtOnce = 16 << 10

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	c.endTurn()
	switch phase, over := c.state(); {
	case over:
		return 0, net.ErrClosed
	case phase == ended:
		return c.Conn.Write(content)
	}
	written := 0
	for {
		piece := content[written:min(len(content), written+mostAtOnce)]
		waits := c.beginWait(true)
		count, err := c.Conn.Write(piece)
		if waits {
			c.endWait(count)
		}
		written += count
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// Close implements net.Conn. Beside the goroutine that serves the connection, Server.Close and Server.Shutdown
// call it.
func (c *conn) Close() error {
	c.endTurn()
	if c.guard.linger(c) {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http close one direction, so that clients receive an answer that is sent before
// all of their request was read. A refused client isn't told so, or it would connect again at once.
func (c *conn) CloseWrite() error {
	c.endTurn()
	if c.wasRefused() {
		return nil
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets SO_LINGER where the connection has it.
func (c *conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// rest notes that the connection has no request any more.
func (c *conn) rest() {
	c.endTurn()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.releaseRequest(c.ofRequest)
	c.lag, c.refused = 0, false
	c.phase, c.since, c.answered = idle, time.Now(), true
}

// begin notes that a request is handed to the handler, with the length of its body that was announced, zero or less
// if none was. It returns false if there is no room for it: a large body begins only where its rest finds room too.
func (c *conn) begin(announced int64) bool {
	now := time.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	cost := int64(requestCost)
	if c.phase == idle { // the whole head came with the request before
		cost += c.beyond.cost()
	}
	c.phase, c.since, c.lag = handling, now, 0
	if c.reserveRequest(cost, max(announced, 0), now) {
		c.ofHandler = requestCost
		return true
	}
	c.refuse(NoRoomForRequest, now)
	return false
}

// refuse notes that the request of the connection is refused. The caller holds the lock.
func (c *conn) refuse(cause Cause, now time.Time) {
	c.refused = true
	if !c.dropped {
		c.guard.count(cause, c.Conn, now)
	}
}

// finish notes that the handler has returned.
func (c *conn) finish() {
	c.endTurn()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == handling {
		c.phase, c.since, c.lag = finishing, time.Now(), 0
		c.releaseRequest(c.ofHandler)
		c.ofHandler = 0
	}
}

// releaseRequest gives back memory of the request of the connection, at most what is reserved for it. The
// caller holds the lock.
func (c *conn) releaseRequest(bytes int64) {
	bytes = min(bytes, c.ofRequest)
	c.ofRequest -= bytes
	c.guard.release(c, bytes)
}

// stalled returns for how long the connection has made no progress that depends on its client. The caller
// holds the lock.
func (c *conn) stalled(now time.Time) time.Duration {
	switch c.phase {
	case idle, head, finishing:
		return now.Sub(c.since)
	case handling:
		switch {
		case c.guard.options.Brief:
			return now.Sub(c.since)
		case !c.waiting.IsZero():
			return c.lag + now.Sub(c.waiting)
		}
	}
	return 0
}

// awaitsFirstHead reports whether no head has been complete on the connection yet. The caller holds the lock.
func (c *conn) awaitsFirstHead() bool { return !c.answered && (c.phase == idle || c.phase == head) }

// awaitsReader reports whether the node waits for the client to read its answer. The caller holds the lock.
func (c *conn) awaitsReader() bool { return c.phase == handling && c.writing && !c.waiting.IsZero() }

// overdue returns the limit that the client exceeds, empty if there is none. The caller holds the lock.
func (c *conn) overdue(limits Limits, now time.Time) Cause {
	stalled, timeout := c.stalled(now), limits.StallTimeout
	if c.phase == handling && c.writing {
		timeout = limits.AnswerTimeout
	}
	switch {
	case c.phase == idle && limits.IdleTimeout > 0 && stalled > limits.IdleTimeout:
		return Idle
	case c.phase == head && limits.HeadTimeout > 0 && stalled > limits.HeadTimeout:
		return HeadTooSlow
	case (c.phase == handling || c.phase == finishing) && timeout > 0 && stalled > timeout:
		return Stalled
	}
	return ""
}
