package fleetworker

import (
	"context"
	"net/http"
	"testing"
)

// TestPrefillReadsOnlyWhatIsNotCached: a cached prefix takes no time again, and a caller that
// leaves ends the prefill without caching anything.
func TestPrefillReadsOnlyWhatIsNotCached(t *testing.T) {
	w := Start(Options{ID: "w", Stage: "prefill", PrefillRate: 1e6})
	defer w.Close()
	if !w.readPrompt(context.Background(), "a:2000,b:1000") {
		t.Fatal("the prompt was not read")
	}
	if left := w.unread(promptParts("a:2000,c:300")); left != 300 {
		t.Errorf("%d tokens are unread, want 300", left)
	}
	gone, leave := context.WithCancel(context.Background())
	leave()
	if w.readPrompt(gone, "d:100000000") || w.unread(promptParts("d:1")) != 1 || w.CallersGone() != 1 {
		t.Error("a prefill whose caller had left went on")
	}
}

// TestHostSlowdownIsStated: the fourth figure of the load is there only once it is set.
func TestHostSlowdownIsStated(t *testing.T) {
	w := Start(Options{ID: "w", Slots: 8})
	defer w.Close()
	for factor, want := range map[float64]string{0: "1,0,8", 1.7: "1,0,8,170"} {
		w.SetHostSlowdown(factor)
		header := http.Header{}
		w.setLoadHeader(header, 3)
		if got := header.Get("X-Server-Load"); got != want {
			t.Errorf("factor %v: load %q, want %q", factor, got, want)
		}
	}
}
