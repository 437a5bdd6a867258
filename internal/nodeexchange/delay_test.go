package nodeexchange

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
)

// TestDelayIsMeasuredWithoutCommonClocks checks that the delay of a message is found although
// the clocks of the two nodes differ.
func TestDelayIsMeasuredWithoutCommonClocks(t *testing.T) {
	const apart = 1000 * time.Hour
	begun := time.Unix(0, 0)
	var ways delayEstimator
	for i, message := range []struct{ made, way, want time.Duration }{
		{0, 40 * time.Millisecond, 0}, // nothing to compare with
		{time.Second, 10 * time.Millisecond, 0},
		{2 * time.Second, 3010 * time.Millisecond, 3 * time.Second},
		{6 * time.Second, 12 * time.Millisecond, 2 * time.Millisecond},
		{minDelayWindow + time.Second, 510 * time.Millisecond, 500 * time.Millisecond},
		{3*minDelayWindow + time.Second, 510 * time.Millisecond, 0}, // the way has changed
	} {
		made := begun.Add(message.made)
		if got := ways.excess("maker", made.Add(-apart), made.Add(message.way)); got != message.want {
			t.Errorf("message %d: delayed by %v, want %v", i, got, message.want)
		}
	}
}

// TestWordThatLayInABufferIsAsOldAsItIs checks that the age of an announcement includes the
// time for which it lay in a buffer while the receiving process didn't run.
func TestWordThatLayInABufferIsAsOldAsItIs(t *testing.T) {
	board := &coordinatorStub{received: make(chan []tablerelay.Announcement, 2)}
	exchanges, _ := clusterWithCoordinators(t, []TableCoordinator{board}, "w")
	now := time.Now()
	word := []tablerelay.Announcement{{Table: "table", Changed: tablefeed.Version(1), AgeMillis: 100}}
	for _, late := range []time.Duration{0, 2 * time.Second} {
		made := now.Add(-late - 5*time.Millisecond)
		exchanges[0].receiveAnnouncementsAt(exchanges[0].peers.address, Message{Node: "maker", Announcements: word, CreatedMillis: made.UnixMilli()}, now)
	}
	<-board.received
	if got := <-board.received; got[0].AgeMillis != 2100 {
		t.Errorf("an announcement of age 100 ms that lay 2 s in a buffer has the age %d ms", got[0].AgeMillis)
	}
	if word[0].AgeMillis != 100 {
		t.Error("the delay was added to the announcement that is relayed")
	}
}
