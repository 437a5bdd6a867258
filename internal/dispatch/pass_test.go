package dispatch

import (
	"net/http"
	"testing"
	"time"
)

type collector struct{ pieces int }

func (c *collector) Head(int, http.Header, Length) {}

func (c *collector) Write([]byte) error {
	c.pieces++
	return nil
}

// TestLongestPauseOfAnAnswer checks that the time to the first piece does not count as a pause.
func TestLongestPauseOfAnAnswer(t *testing.T) {
	s := &session{call: &Call{Arrived: time.Now().Add(-time.Hour)}, caller: &collector{}}
	if err := s.give([]byte("first")); err != nil || s.gap != 0 {
		t.Errorf("error %v, pause %v before the second piece", err, s.gap)
	}
	s.last -= time.Minute
	if err := s.give([]byte("second")); err != nil || s.gap < time.Minute {
		t.Errorf("error %v, pause %v, want a minute", err, s.gap)
	}
	longest := s.gap
	if err := s.give([]byte("third")); err != nil || s.gap != longest || s.pieces != 3 {
		t.Errorf("error %v, pause %v after %d pieces", err, s.gap, s.pieces)
	}
}
