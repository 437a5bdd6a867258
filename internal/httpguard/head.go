package httpguard

import (
	"bytes"
	"io"
	"syscall"
	"time"
)

// readerSize is the size of the buffer that net/http reads a connection with. A larger read is one of a
// body, and leaves nothing in that buffer.
const readerSize = 4 << 10

// counted is a number of bytes with the lines in them.
type counted struct{ bytes, lines int }

func (c counted) plus(content []byte) counted {
	return counted{c.bytes + len(content), c.lines + bytes.Count(content, []byte{'\n'})}
}

// cost is the memory that a head of this size takes.
func (c counted) cost() int64 { return int64(c.lines)*fieldCost + int64(c.bytes)*headByteCost }

// effort is the work that a head of this size makes.
func (c counted) effort() int { return c.bytes + c.lines*lineEffort }

// readHead reads until the head of a request is complete and returns what fits in the buffer; the rest is
// read ahead. net/http calls it with its whole buffer.
func (c *conn) readHead(buffer []byte) (int, error) {
	if phase, _ := c.state(); phase == head && len(c.ahead) > 0 {
		return c.readAhead(buffer)
	}
	received, searched := c.ahead, 0
	c.ahead = nil
	for {
		size := counted{}.plus(received[searched:])
		if cause := c.receive(size); cause != "" {
			return 0, c.refuseHead(cause)
		}
		c.takeTurn(size.effort())
		if end := endOfHead(c.tail, received, searched); end >= 0 {
			if isReset(c.Conn) {
				c.breakOff()
				return 0, syscall.ECONNRESET
			}
			return c.passHead(buffer, received, end)
		}
		searched = len(received)
		c.endTurn()
		grown, err := c.readMore(buffer, received)
		if err != nil {
			if len(received) > 0 { // nothing that comes later continues what is dropped here
				c.breakOff()
			}
			return 0, err
		}
		received = grown
	}
}

// readMore reads once and returns all that was received. The first read goes to the buffer of the caller:
// connections without a request hold none of their own.
func (c *conn) readMore(buffer, received []byte) ([]byte, error) {
	if len(received) == 0 {
		count, err := c.Conn.Read(buffer)
		if count > 0 {
			return buffer[:count], nil
		}
		return nil, err
	}
	if &received[0] == &buffer[0] || len(received) == cap(received) {
		received = append(make([]byte, 0, 2*max(len(received), readerSize/2)), received...)
	}
	count, err := c.Conn.Read(received[len(received):cap(received)])
	if count > 0 {
		return received[:len(received)+count], nil
	}
	return nil, err
}

// receive counts a piece of a head and reserves memory for it. It returns why the request must be refused,
// empty if it needn't.
func (c *conn) receive(size counted) Cause {
	if size.bytes == 0 {
		return ""
	}
	now := time.Now()
	limit := c.guard.currentLimits().HeadBytes
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == idle {
		c.phase, c.since, c.headBytes = head, now, 0
	}
	c.headBytes += size.bytes
	switch {
	case limit > 0 && c.headBytes > limit:
		return HeadTooLarge
	case !c.reserveRequest(size.cost(), 0, now):
		return NoRoomForHead
	}
	return ""
}

// passHead passes on a complete head.
func (c *conn) passHead(buffer, received []byte, end int) (int, error) {
	c.noteBeyond(counted{}.plus(received[end:]))
	if &received[0] == &buffer[0] {
		c.keepTail(received)
		return len(received), nil
	}
	c.ahead = received
	return c.readAhead(buffer)
}

// keepTail keeps the last bytes that net/http has received: the end of a head could begin with them.
func (c *conn) keepTail(content []byte) {
	const most = len("\n\r")
	kept := append(c.tail, content[max(len(content)-most, 0):]...)
	c.tail = append(c.tail[:0], kept[max(len(kept)-most, 0):]...)
}

// endOfHead returns the index after the first empty line that ends beyond the bytes already searched, -1
// if there is none. The line may begin in the tail of what was received before.
func endOfHead(tail, received []byte, searched int) int {
	for at := searched; at < len(received); at++ {
		next := bytes.IndexByte(received[at:], '\n')
		if next < 0 {
			return -1
		}
		at += next
		if endsLine(tail, received, at-1) || byteAt(tail, received, at-1) == '\r' && endsLine(tail, received, at-2) {
			return at + 1
		}
	}
	return -1
}

func endsLine(tail, received []byte, at int) bool { return byteAt(tail, received, at) == '\n' }

// byteAt returns a byte of what was received; negative indexes are of the tail.
func byteAt(tail, received []byte, at int) byte {
	switch {
	case at >= 0:
		return received[at]
	case len(tail)+at >= 0:
		return tail[len(tail)+at]
	}
	return 0
}

// answerTimeout bounds the time for an answer to a client whose connection is closed after it.
const answerTimeout = 100 * time.Millisecond

// refuseHead answers a request whose head isn't parsed. net/http then closes the connection, which lingers.
func (c *conn) refuseHead(cause Cause) error {
	now := time.Now()
	c.guard.mu.Lock()
	c.refuse(cause, now)
	c.over = true
	c.guard.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(now.Add(answerTimeout))
	_, _ = io.WriteString(c.Conn, cause.answer())
	return io.EOF
}
