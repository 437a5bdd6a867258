package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/result"
)

// call is a request of a caller with its last answer.
type call struct {
	keyed  bool
	seed   uint64
	number int
	answer load.Answer
	right  bool
}

// callers send requests and retry as a careful client does: if the connection breaks, or the
// answer allows a repetition, they send the same request with the same idempotency key to
// another node.
type callers struct {
	parent *run
	sender *load.Sender
	random *rand.Rand

	mu    sync.Mutex
	calls []call
}

func newCallers(r *run) *callers {
	addresses := make([]string, len(r.nodes))
	for i, n := range r.nodes {
		addresses[i] = n.callers()
	}
	return &callers{parent: r, sender: load.NewSender(addresses), random: rand.New(rand.NewPCG(r.options.Seed, 0xca11))}
}

const (
	maxCallAttempts = 12
	retryDelay      = 300 * time.Millisecond
	callTimeout     = 35 * time.Second
)

// send sends requests at random intervals with a constant mean rate for the given time, and
// waits for all answers.
func (c *callers) send(ctx context.Context, length time.Duration) {
	began := time.Now()
	var sending sync.WaitGroup
	for number := 0; time.Since(began) < length; number++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() / requestsPerSecond * float64(time.Second))):
		}
		keyed, tokens := c.random.IntN(2) == 0, 20+c.random.IntN(150)
		sending.Add(1)
		go func() {
			defer sending.Done()
			c.sendOne(ctx, number, keyed, tokens)
		}()
	}
	sending.Wait()
	c.sender.Close()
}

func (c *callers) sendOne(ctx context.Context, number int, keyed bool, tokens int) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream := load.Stream{Model: "model", Kind: "screen", Whole: number%3 == 0}
	key := ""
	if keyed {
		stream.Kind = "verdict"
		key = fmt.Sprintf("key-%d-%d", c.parent.options.Seed, number)
	}
	prompt := fmt.Sprintf("request %d of seed %d", number, c.parent.options.Seed)
	want, seed := expectedText(prompt, tokens)
	made := call{keyed: keyed, seed: seed, number: number}
	for try := range maxCallAttempts {
		made.answer = c.sender.Send(callCtx, number+try, stream, load.Arrival{OutputTokens: tokens, Key: callerKey}, prompt, key)
		made.right = made.answer.Text == want
		if !shouldRetry(made.answer, keyed) || callCtx.Err() != nil {
			break
		}
		select {
		case <-callCtx.Done():
		case <-time.After(retryDelay):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, made)
}

// shouldRetry reports whether the request is to be sent again. A request with an idempotency
// key may also be sent again if its outcome is unknown, since the key prevents a second run.
func shouldRetry(answer load.Answer, keyed bool) bool {
	switch {
	case answer.Code == result.OK:
		return !answer.Whole
	case answer.CodeName == "connection" || answer.CodeName == "cut":
		return true
	case keyed && answer.Code == result.OutcomeUnknown:
		return true
	}
	return answer.Code.Entry().Repeat
}

// check compares the answers with the runs that the engines recorded.
func (c *callers) check() {
	runs := c.parent.lab.Runs()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, made := range c.calls {
		if made.answer.Code == result.OK && made.answer.Whole && !made.right {
			c.parent.addProblem("request %d got an answer that is incomplete or belongs to another request", made.number)
		}
		if made.keyed && runs[made.seed] > 1 {
			c.parent.addProblem("request %d with an idempotency key ran %d times", made.number, runs[made.seed])
		}
		notRun := made.answer.Code != result.OK && made.answer.CodeName != "connection" && made.answer.CodeName != "cut" &&
			made.answer.Code.Entry().Outcome == result.DidNotRun
		if made.keyed && notRun && runs[made.seed] > 0 {
			c.parent.addProblem("request %d was refused as not run (%s) but ran", made.number, made.answer.Code)
		}
	}
}

func (c *callers) addTo(outcome *Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome.Requests = len(c.calls)
	for _, made := range c.calls {
		switch {
		case made.answer.Code == result.OK && made.answer.Whole:
			outcome.Whole++
		case made.answer.Code.Entry().Outcome == result.DidNotRun:
			outcome.NotRun++
		default:
			outcome.Unknown++
		}
	}
}
