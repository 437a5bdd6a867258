package site

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// eventBytes is the length of an event: model engines answer with four, plain workers with one.
const eventBytes = len("id: 1\ndata: 0123456789abcdef.1\n\n")

// TestBrokenOffAnswerIsNotFramedAsComplete: the end of an unframed answer's connection makes the node vouch for a part.
func TestBrokenOffAnswerIsNotFramedAsComplete(t *testing.T) {
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		for _, sent := range []int{0, 5, eventBytes, eventBytes + 5, 3*eventBytes + 5, 4*eventBytes - 1} {
			for _, framing := range []fleetworker.Framing{fleetworker.ByClose, fleetworker.HTTP10} {
				t.Run(fmt.Sprintf("%s, %s, %d", path, framing, sent), func(t *testing.T) {
					t.Parallel()
					s := start(t)
					s.setDeliveries("", fleetworker.Delivery{Framing: framing, Sent: sent}, -1)
					got := s.ask(http.MethodPost, path, nil, "x")
					whole := fleetworker.Body(got.id, s.events(path), 0)
					if got.status == http.StatusOK && got.framedAsComplete() && got.body != whole {
						t.Errorf("%q is framed as complete, the whole answer is %q", got.body, whole)
					}
				})
			}
		}
	}
}

// events is the number of events in an answer of the workers of a route.
func (s *site) events(path string) int {
	if path == "/board/1" || path == "/submit/1" {
		return 1
	}
	return 4
}
