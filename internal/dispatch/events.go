package dispatch

import "bytes"

// eventCutter splits a stream of server-sent events at event boundaries, so that a caller never
// gets part of an event from a worker that breaks off.
type eventCutter struct {
	pending []byte
	last    []byte
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes a piece of the stream and returns the events that are complete now.
func (c *eventCutter) add(piece []byte) []byte {
	c.pending = append(c.pending, piece...)
	end := bytes.LastIndex(c.pending, eventEnd)
	if end < 0 {
		return nil
	}
	whole := bytes.Clone(c.pending[:end+len(eventEnd)])
	c.pending = append(c.pending[:0], c.pending[end+len(eventEnd):]...)
	c.last = whole
	return whole
}

// rest returns what follows the last complete event.
func (c *eventCutter) rest() []byte { return c.pending }

// lastID returns the ID of the last event returned by add, or known if it had none.
func (c *eventCutter) lastID(known string) string {
	lines := bytes.Split(c.last, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if value, found := bytes.CutPrefix(lines[i], idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return known
}
