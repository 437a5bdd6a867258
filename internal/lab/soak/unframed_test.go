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
	orderly := &fleetworker.Delivery{Framing: fleetworker.ByClose, Closing: fleetworker.Orderly}
	for name, example := range map[string]struct {
		framed   bool
		size     int
		service  string
		delivery *fleetworker.Delivery
		broken   bool
	}{
		"whole":                           {true, len(whole), engines, orderly, false},
		"framed":                          {true, event, engines, orderly, true},
		"between events":                  {false, event, engines, orderly, false},
		"inside an event":                 {false, event + 1, engines, orderly, true},
		"plain":                           {false, event + 1, plain, orderly, false},
		"reset":                           {false, event, engines, &fleetworker.Delivery{Framing: fleetworker.ByClose, Closing: fleetworker.Reset}, true},
		"the worker's answer was framed":  {false, event, engines, &fleetworker.Delivery{Framing: fleetworker.ByChunks, Closing: fleetworker.Orderly}, true},
		"the worker answered as net/http": {false, event, engines, nil, true},
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
