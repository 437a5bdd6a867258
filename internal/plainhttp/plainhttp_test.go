package plainhttp

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/dispatch"
)

func TestForwardHeaderOverridesTheCallersHeaders(t *testing.T) {
	arrived := time.Unix(0, 0)
	call := &dispatch.Call{
		Arrived: arrived, Deadline: arrived.Add(time.Minute),
		Header: http.Header{
			HeaderDeadline: {"2000"}, HeaderAttempt: {"forged"}, HeaderWorker: {"forged"}, HeaderNotRun: {"1"}, HeaderLastEvent: {"3"}, "Accept": {"*/*"},
		},
	}
	if err := (Protocol{}).Parse(call); err != nil {
		t.Fatal(err)
	}
	if call.ID == "forged" || call.ID == "" || !call.Deadline.Equal(arrived.Add(2*time.Second)) || call.LastEventID != "3" {
		t.Errorf("parsed call: %+v", call)
	}
	got := (Protocol{}).ForwardHeader(call, dispatch.Forward{WorkerID: "w", Remaining: time.Second, ResumeAfter: "4"})
	want := http.Header{
		HeaderDeadline: {"1000"}, HeaderAttempt: {call.ID}, HeaderWorker: {"w"}, HeaderLastEvent: {"4"}, "Accept": {"*/*"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestReply(t *testing.T) {
	if got := (Protocol{}).Reply(503, http.Header{}); got.NotExecuted || got.Misdirected {
		t.Error("status 503 alone counts as proof that the request didn't run")
	}
	if got := (Protocol{}).Reply(503, http.Header{HeaderNotRun: {"1"}}); !got.NotExecuted {
		t.Error("Tinarch-Not-Run doesn't count as proof that the request didn't run")
	}
	if got := (Protocol{}).Reply(421, http.Header{}); !got.Misdirected {
		t.Error("status 421 doesn't count as misdirected")
	}
}

func TestParseRejectsInvalidDeadlines(t *testing.T) {
	for _, text := range []string{"soon", "-1", "1.5"} {
		if err := (Protocol{}).Parse(&dispatch.Call{Header: http.Header{HeaderDeadline: {text}}}); err == nil {
			t.Errorf("the deadline %q was accepted", text)
		}
	}
}
