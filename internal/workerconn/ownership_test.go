package workerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/links"
)

// repeating answers each request with its own target. It repeats some answers, later, in the place where another
// answer is due: those without an id in that of the next one, others also after that.
type repeating struct {
	mu     sync.Mutex
	random *rand.Rand
	// share is the part of the answers that are repeated.
	share float64
	// repeated counts these.
	repeated int
}

func (r *repeating) serve(c net.Conn, requests *bufio.Reader) {
	var late []string
	anonymous := "" // is repeated at the next request
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		answer := r.answerTo(request)
		r.mu.Lock()
		before := anonymous
		anonymous = ""
		if len(late) > 0 && r.random.IntN(2) == 0 {
			before, late = before+late[0], late[1:]
		}
		if r.random.Float64() < r.share && len(late) < 2 {
			if request.Header.Get("Id") == "" {
				anonymous = answer
			} else {
				late = append(late, answer)
			}
			r.repeated++
		}
		r.mu.Unlock()
		write(c, before+answer)
	}
}

// answerTo returns an answer of one of three forms. The id is repeated if the request has one.
func (r *repeating) answerTo(request *http.Request) string {
	head := ""
	if id := request.Header.Get("Id"); id != "" {
		head = "Id: " + id + "\r\n"
	}
	content := request.URL.Path
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.random.IntN(3) {
	case 0: // as a stream
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, content[:1], len(content)-1, content[1:])
	case 1:
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%sRetry-After: 1\r\nContent-Length: %d\r\n\r\n%s", head, len(content), content)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
}

// sendRandom sends requests with few ids, which are therefore sent again, and requests without one.
func sendRandom(pool *Pool, address string, random *rand.Rand, sender, count int, borrow bool) error {
	for number := range count {
		target := fmt.Sprintf("/%d/%d", sender, number)
		request := &Request{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, Borrow: borrow}
		if random.IntN(6) > 0 {
			request.ID, request.IDHeader = fmt.Sprint(sender, "-", random.IntN(5)), "Id"
			request.Header.Set("Id", request.ID)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		answer, err := pool.Do(ctx, key, address, 8, request)
		if err != nil {
			cancel()
			if errors.Is(err, ErrFull) {
				continue
			}
			return fmt.Errorf("%s: %w", target, err)
		}
		content, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		cancel()
		if err != nil || string(content) != target {
			return fmt.Errorf("%s with the id %q got the answer to %s: %w", target, request.ID, content, err)
		}
	}
	return nil
}

// TestNoSendTakesAnotherAnswer guards against an answer that a worker repeats and that is taken for the answer to
// a later request on the connection: to one with the same id, without an id, or of another node.
func TestNoSendTakesAnotherAnswer(t *testing.T) {
	for _, way := range []string{"direct", "tunnel", "lent"} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(way, " ", seed), func(t *testing.T) {
				worker := &repeating{random: rand.New(rand.NewPCG(seed, 1)), share: 0.3}
				s := serve(t, worker.serve)
				pool, address, borrow := NewPool(), s.address(), false
				switch way {
				case "tunnel":
					pool, _ = tunnelledPool(t, s.address())
					address = refusing(t)
				case "lent":
					pool, _ = tunnelledPool(t, s.address())
					pool.open[key] = 8 // all of this node's are in use
					borrow = true
				}
				defer pool.Close()
				var senders sync.WaitGroup
				for sender := range 3 {
					senders.Go(func() {
						if err := sendRandom(pool, address, rand.New(rand.NewPCG(seed, uint64(sender))), sender, 60, borrow); err != nil {
							t.Error(err)
						}
					})
				}
				senders.Wait()
				if worker.repeated == 0 {
					t.Error("no answer was repeated")
				}
			})
		}
	}
}

// TestRepeatedRefusalIsNotTaken guards against a request that is refused as not run while its worker runs it: the
// worker's first answer, a refusal, comes again where the answer to the second attempt is due.
func TestRepeatedRefusalIsNotTaken(t *testing.T) {
	refusal := "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 4\r\n\r\nbusy"
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		if _, ok := readRequest(requests); !ok {
			return
		}
		write(c, refusal)
		if id, ok := readRequest(requests); ok {
			write(c, refusal+completeAnswer(id, "run"))
		}
		_, _ = readRequest(requests)
	}, echo)
	pool := NewPool()
	defer pool.Close()
	if got := send(t, pool, s, "1", ""); got.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v", got)
	}
	wantAnswer(t, send(t, pool, s, "1", ""), "ok")
	wantAnswer(t, send(t, pool, s, "2", ""), "ok") // on the new connection
	if s.accepts() != 2 {
		t.Errorf("%d connections were accepted, want 2", s.accepts())
	}
}

// TestAnswerWithoutIDEndsTheUseOfItsConnection guards against a worker that repeats no ids: its answers can't be
// told apart.
func TestAnswerWithoutIDEndsTheUseOfItsConnection(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			write(c, strings.Replace(completeAnswer(id, "ok"), "Id: ", "Other: ", 1))
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2"} {
		wantAnswer(t, send(t, pool, s, id, ""), "ok")
	}
	if pool.Opened() != 2 {
		t.Errorf("%d connections were opened, want 2", pool.Opened())
	}
}

// TestRequestsAreVerifiedOnConnectionsThatCarriedAQuestion guards against a second request without an id on a
// connection, whose answer can't be told from that of the first.
func TestRequestsAreVerifiedOnConnectionsThatCarriedAQuestion(t *testing.T) {
	s := serve(t, echo)
	pool := NewPool()
	defer pool.Close()
	pool.SetVerifier(anyIncarnation{})
	pool.SetLinks(links.New(quietLogger(), nil))
	if _, err := pool.Do(context.Background(), key, s.address(), 0, &Request{Method: http.MethodGet, Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	answer, err := pool.Do(context.Background(), key, s.address(), 0, &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, IDHeader: "Id", ID: "1", Verify: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// TestOnlyTheSameQuestionIsAskedAgainOnAConnection guards against the answer to one question that is taken for that
// to another, or for an order that was carried out.
func TestOnlyTheSameQuestionIsAskedAgainOnAConnection(t *testing.T) {
	s := serve(t, echo)
	pool := NewPool()
	defer pool.Close()
	for i, step := range []struct {
		method, target string
		opened         uint64
	}{
		{http.MethodGet, "/health", 1}, {http.MethodGet, "/health", 1}, {http.MethodGet, "/report", 2},
		{http.MethodPost, "/order", 3}, {http.MethodPost, "/order", 4},
	} {
		answer, err := pool.Do(context.Background(), key, s.address(), 0, &Request{Method: step.method, Target: step.target, Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if err := Discard(answer, 100); err != nil || pool.Opened() != step.opened {
			t.Errorf("step %d: %d connections were opened, want %d (%v)", i, pool.Opened(), step.opened, err)
		}
	}
}

// anyIncarnation is a Verifier that accepts each answer.
type anyIncarnation struct{}

func (anyIncarnation) IncarnationRequest(string, string) (*Request, error) {
	return &Request{Method: http.MethodGet, Target: "/state", Host: "h"}, nil
}

func (anyIncarnation) IsIncarnation(string, int, []byte) bool { return true }
