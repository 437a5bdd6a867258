package dispatch

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// eventScanner finds the ends of events in a stream of server-sent events. Lines end with CRLF,
// LF or CR, and an event ends with an empty line. Its zero value is at the beginning of a stream.
type eventScanner struct {
	// bom counts the bytes of a byte order mark that have come; it is beyond the mark once the
	// stream can't begin with one any more.
	bom int
	// inLine tells that the current line has begun, and isComment that it is a comment.
	inLine, isComment bool
	// inEvent tells that a field has come since the last empty line.
	inEvent bool
	// afterCR tells that the last byte was a CR, to whose line end an LF belongs. afterEvent tells
	// that nothing has come since the last event end.
	afterCR, afterEvent bool
}

const (
	byteOrderMark = "\xef\xbb\xbf"
	bomPassed     = len(byteOrderMark) + 1
)

// scan reads the next piece of a stream. It returns the length of the part up to the last event
// end in it, zero if there is none.
func (e *eventScanner) scan(piece []byte) int {
	end := 0
	for i, b := range piece {
		if e.inByteOrderMark(b) {
			continue
		}
		switch {
		case b == '\n' && e.afterCR: // ends no line of its own
		case b == '\n' || b == '\r':
			e.afterEvent = e.endLine()
		default:
			e.beginLine(b)
			e.afterEvent = false
		}
		e.afterCR = b == '\r'
		if e.afterEvent {
			end = i + 1
		}
	}
	return end
}

// beginLine begins a line with a byte, unless one has begun.
func (e *eventScanner) beginLine(first byte) {
	if !e.inLine {
		e.inLine, e.isComment = true, first == ':'
	}
}

// endLine ends the current line, and reports whether that ends an event.
func (e *eventScanner) endLine() bool {
	empty := !e.inLine
	e.inEvent = !empty && (e.inEvent || !e.isComment)
	e.inLine = false
	return empty
}

// inByteOrderMark reports whether a byte belongs to the byte order mark that the stream may
// begin with.
func (e *eventScanner) inByteOrderMark(b byte) bool {
	if e.bom < len(byteOrderMark) && b == byteOrderMark[e.bom] {
		e.bom++
		return true
	}
	e.bom = bomPassed
	return false
}

// insideEvent reports whether the stream has a part of an event, or of a line, since the last
// event end.
func (e *eventScanner) insideEvent() bool { return e.inEvent || e.inLine }

// maxEventBytes bounds an event of a stream that may be resumed, since it is kept until it ends.
const maxEventBytes = 64 << 10

var errEventTooLong = eris.Errorf("an event of the stream has more than %d bytes; the stream is broken off", maxEventBytes)

// eventCutter splits a stream of server-sent events at event ends, so that a caller never gets
// part of an event from a worker that breaks off.
type eventCutter struct {
	scanner eventScanner
	pending []byte
	last    []byte
}

// add takes a piece of the stream and returns the events that are complete now. It returns
// errEventTooLong if one goes on beyond maxEventBytes.
func (c *eventCutter) add(piece []byte) ([]byte, error) {
	end := c.scanner.scan(piece)
	if end == 0 && len(c.pending)+len(piece) > maxEventBytes {
		return nil, errEventTooLong
	}
	if end == 0 {
		c.pending = append(c.pending, piece...)
		return nil, nil
	}
	whole := append(bytes.Clone(c.pending), piece[:end]...)
	c.pending = append(c.pending[:0], piece[end:]...)
	c.last = whole
	return whole, nil
}

// rest returns what follows the last complete event.
func (c *eventCutter) rest() []byte { return c.pending }

var idField = []byte("id:")

// lastID returns the ID of the last event returned by add, or known if it had none.
func (c *eventCutter) lastID(known string) string {
	lines := bytes.FieldsFunc(c.last, func(r rune) bool { return r == '\n' || r == '\r' })
	for i := len(lines) - 1; i >= 0; i-- {
		line := bytes.TrimPrefix(lines[i], []byte(byteOrderMark))
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return known
}
