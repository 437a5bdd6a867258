package tablerelay

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestLagLastsFromAnnouncementUntilChangeIsHeld, whichever node announces it.
func TestLagLastsFromAnnouncementUntilChangeIsHeld(t *testing.T) {
	lags := newLags()
	lags.log = logrus.New()
	lags.log.SetOutput(io.Discard)
	lags.observe(Announcement{Table: "table", Changed: 4, Confirmed: 9, Reader: "z"}, 4, origin)
	if len(lags.open) != 0 {
		t.Error("a node that holds the last change has a lag")
	}
	lags.observe(Announcement{Table: "table", Changed: 7, Confirmed: 9, Reader: "z"}, 4, origin)
	lags.observe(Announcement{Table: "table", Changed: 8, Confirmed: 9, Reader: "a"}, 4, origin.Add(lagLogThreshold))
	if lag := lags.open["table"]; lag != (Lag{Since: origin, Version: 8, Reader: "a"}) {
		t.Errorf("%+v", lag)
	}
	if !lags.logged["table"] {
		t.Error("a lag of lagLogThreshold was not logged")
	}
	lags.observe(Announcement{Table: "table", Changed: 8, Confirmed: 12, Reader: "z"}, 8, origin.Add(lagLogThreshold))
	if len(lags.open)+len(lags.logged) != 0 {
		t.Error("the lag remains though the change is held")
	}
}
