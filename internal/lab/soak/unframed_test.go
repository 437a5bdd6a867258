package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// TestPartOfAnAnswerIsSeen: the check takes a part of an answer that its caller was told is complete for allowed.
func TestPartOfAnAnswerIsSeen(t *testing.T) {
	const id = "0123456789abcdef"
	whole := completeAnswer(id)
	event := len(fleetworker.Body(id, 1, 0))
	now := time.Now()
	sent := func(size int) *fleetworker.Delivery {
		return &fleetworker.Delivery{Framing: fleetworker.ByClose, Closing: fleetworker.Orderly, Sent: size}
	}
	for name, example := range map[string]struct {
		framed   bool
		size     int
		service  string
		delivery *fleetworker.Delivery
		broken   bool
	}{
		"whole":                             {true, len(whole), engines, sent(len(whole)), false},
		"framed":                            {true, event, engines, sent(event), true},
		"between events":                    {false, event, engines, sent(event), false},
		"less than was sent":                {false, event, engines, sent(2 * event), true},
		"less than the whole that was sent": {false, event, engines, sent(len(whole)), true},
		"without the started event":         {false, event, engines, sent(event + 1), true},
		"inside an event":                   {false, event + 1, engines, sent(event + 1), true},
		"plain":                             {false, event + 1, plain, sent(event + 1), false},
		"reset":                             {false, event, engines, &fleetworker.Delivery{Framing: fleetworker.ByClose, Closing: fleetworker.Reset, Sent: event}, true},
		"the worker's answer was framed":    {false, event, engines, &fleetworker.Delivery{Framing: fleetworker.ByChunks, Closing: fleetworker.Orderly, Sent: event}, true},
		"the worker answered as net/http":   {false, event, engines, nil, true},
	} {
		worker := fleetworker.Start(fleetworker.Options{ID: "w"})
		got := observation{
			id: id, class: class{service: example.service, prefix: "/"}, status: http.StatusOK, framed: example.framed, body: whole[:example.size],
			header: http.Header{"X-Instance-Id": {"w"}, "X-Response-Signature": {worker.Signature(id)}, "X-Request-Id": {id}},
		}
		runs := []fleetworker.Run{{ID: id, Target: "/" + id, Header: http.Header{"X-Tenant": {""}}, At: now, Delivery: example.delivery}}
		violations := checkRequest(got, runs, map[string]*soakWorker{"w": {Worker: worker}})
		if (len(violations) > 0) != example.broken {
			t.Errorf("%s: %v", name, violations)
		}
		worker.Close()
	}
}
