package workerconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
)

var errEnded = eris.New("the incarnation has ended")

// endedIncarnation is a Verifier of incarnations that aren't in use any more.
type endedIncarnation struct{ anyIncarnation }

func (endedIncarnation) IncarnationRequest(string, string) (*Request, error) { return nil, errEnded }

// TestRequestIsNotSentToAnIncarnationThatHasEnded guards against streams that reach another process of a worker
// unverified, since their incarnation ended between the choice of the worker and the send.
func TestRequestIsNotSentToAnIncarnationThatHasEnded(t *testing.T) {
	asked := make(chan bool, 1)
	s := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		_, got := readRequest(requests)
		asked <- got
	})
	pool := NewPool()
	defer pool.Close()
	pool.SetVerifier(endedIncarnation{})
	_, err := pool.Do(context.Background(), key, s.address(), 0, &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, IDHeader: "Id", ID: "1", Verify: true,
	})
	var failed *SendError
	if !errors.As(err, &failed) || !failed.Unsent || !errors.Is(err, errEnded) {
		t.Errorf("the send ended with %v, want an unsent request whose incarnation has ended", err)
	}
	if <-asked {
		t.Error("the request was sent")
	}
}
