package cluster

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/result"
)

const callerKey = "member-key"

func testCatalog() *tinarchv1.Catalog {
	return &tinarchv1.Catalog{
		Classes: []*tinarchv1.PriorityClass{
			{Name: "urgent", Rank: 10, Weight: 10}, {Name: "calm", Rank: 1, Weight: 1},
		},
		Pools:  []*tinarchv1.Pool{{Name: "pool"}},
		Models: []*tinarchv1.Model{{Name: "large", Pool: "pool", ContextTokens: 100_000, DefaultVersion: "v1"}},
		Versions: []*tinarchv1.ModelVersion{
			{Model: "large", Name: "v1", Weights: "weights/large-v1", SizeBytes: 1e9},
			{Model: "large", Name: "v2", Weights: "weights/large-v2", SizeBytes: 1e9},
		},
		Kinds: []*tinarchv1.RequestKind{
			{Name: "screen", PriorityClass: "urgent", Model: "large", Repeatable: true, DeadlineMs: 20_000, MaxOutputTokens: 64},
			{Name: "verdict", PriorityClass: "calm", Model: "large", DeadlineMs: 20_000, MaxOutputTokens: 200},
		},
		Tenants: []*tinarchv1.Tenant{{Name: "member", PriorityClass: "calm", DefaultKind: "screen", KeySha256: []string{catalog.KeyDigest(callerKey)}}},
	}
}

func start(t *testing.T, nodes, engines int) (*Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	c, err := Start(Options{
		Name: "test", Zones: []string{"a", "b", "c"}, Nodes: nodes, TimeScale: 0.05,
		Pools: []Pool{{Name: "pool", Count: engines, Model: labengine.SmallModel()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Await(ctx, "caught up", c.CaughtUp); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Apply(ctx, testCatalog()); err != nil {
		t.Fatal(err)
	}
	if err := c.AwaitEngines(ctx, engines); err != nil {
		t.Fatal(err)
	}
	return c, ctx
}

func caller(c *Cluster, i int, options ...option.RequestOption) *openai.Client {
	base := []option.RequestOption{
		option.WithAPIKey(callerKey), option.WithBaseURL("http://" + c.Nodes[i].CallersAddress() + "/v1/"), option.WithMaxRetries(0),
	}
	client := openai.NewClient(append(base, options...)...)
	return &client
}

func chat(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "large", MaxCompletionTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func expected(prompt string, tokens int) string {
	return labengine.Text(labengine.TextSeed("large", "v1", "", prompt), tokens)
}

func TestClientLibraryGetsWholeAnswers(t *testing.T) {
	c, ctx := start(t, 3, 3)
	for i := range c.Nodes {
		client := caller(c, i)
		answer, err := client.Chat.Completions.New(ctx, chat("compare this", 20))
		if err != nil {
			t.Fatalf("node %d: %v", i, err)
		}
		if got := answer.Choices[0].Message.Content; got != expected("compare this", 20) {
			t.Errorf("node %d answered %q", i, got)
		}
		if answer.Usage.CompletionTokens != 20 {
			t.Errorf("usage %+v", answer.Usage)
		}
		stream := client.Chat.Completions.NewStreaming(ctx, chat("stream this", 30))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatalf("stream at node %d: %v", i, err)
		}
		if text.String() != expected("stream this", 30) {
			t.Errorf("node %d streamed %q", i, text.String())
		}
	}
}

func TestClientLibrarySeesNumberedErrors(t *testing.T) {
	c, ctx := start(t, 1, 1)
	cases := []struct {
		name   string
		params openai.ChatCompletionNewParams
		option option.RequestOption
		want   result.Code
	}{
		{"wrong key", chat("x", 1), option.WithAPIKey("wrong"), result.Unauthenticated},
		{"unknown kind", chat("x", 1), option.WithHeader("Tinarch-Kind", "none"), result.UnknownKind},
		{"unknown model", openai.ChatCompletionNewParams{Model: "none", Messages: chat("x", 1).Messages}, option.WithHeader("X", "y"), result.UnknownModel},
		{"long answer", chat("x", 1000), option.WithHeader("X", "y"), result.OutputTooLong},
		{"long prompt", chat(strings.Repeat("long ", 90_000), 1), option.WithHeader("X", "y"), result.PromptTooLong},
		{"unknown field", chat("x", 1), option.WithJSONSet("no_such_field", 1), result.InvalidRequest},
		{"wrong type", chat("x", 1), option.WithJSONSet("max_completion_tokens", "many"), result.InvalidRequest},
	}
	client := caller(c, 0)
	for _, test := range cases {
		_, err := client.Chat.Completions.New(ctx, test.params, test.option)
		var refusal *openai.Error
		if !errors.As(err, &refusal) {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if refusal.Code != test.want.Entry().Name || refusal.StatusCode != test.want.Entry().HTTPStatus {
			t.Errorf("%s: code %s, status %d, want %s", test.name, refusal.Code, refusal.StatusCode, test.want)
		}
	}
	if _, err := client.Chat.Completions.New(ctx, chat("still serving", 3)); err != nil {
		t.Errorf("the node does not serve any more: %v", err)
	}
}

func TestBrokenStreamsAreResumedWhole(t *testing.T) {
	c, ctx := start(t, 1, 2)
	for _, e := range c.Engines {
		e.SetFaults(labengine.Faults{BreakAfter: 7, CrossEvents: 3, RepeatEvents: 4})
	}
	answer, err := caller(c, 0).Chat.Completions.New(ctx, chat("break it", 40))
	if err != nil {
		t.Fatal(err)
	}
	if got := answer.Choices[0].Message.Content; got != expected("break it", 40) {
		t.Errorf("answer %q", got)
	}
}

// TestCrashedEngineIsReplacedUnseen checks that another engine generates the answer again if an
// engine crashes before the caller of an unstreamed request has seen any of it.
func TestCrashedEngineIsReplacedUnseen(t *testing.T) {
	c, ctx := start(t, 1, 2)
	answered := make(chan error, 1)
	go func() {
		answer, err := caller(c, 0).Chat.Completions.New(ctx, chat("survive", 64))
		if err == nil && answer.Choices[0].Message.Content != expected("survive", 64) {
			err = errors.New("another answer: " + answer.Choices[0].Message.Content)
		}
		answered <- err
	}()
	if err := c.Await(ctx, "the request at an engine", func() bool { return c.Counters().Accepted == 1 }); err != nil {
		t.Fatal(err)
	}
	for _, e := range c.Engines {
		if e.Counters().Accepted == 1 {
			e.Crash(0)
		}
	}
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// TestPromptThatCrashesEnginesIsStopped checks that a prompt that crashes engines is
// quarantined. A node may place a request on up to four engines, and each retry of the caller
// is another request, so only the prompt tells that they belong together.
func TestPromptThatCrashesEnginesIsStopped(t *testing.T) {
	const poison = "poison"
	c, ctx := start(t, 1, 4)
	for _, e := range c.Engines {
		e.SetFaults(labengine.Faults{CrashOn: poison})
	}
	client := caller(c, 0)
	serves := func() bool {
		_, err := client.Chat.Completions.New(ctx, chat("harmless", 5))
		return err == nil
	}
	var last error
	for range 6 {
		if err := c.Await(ctx, "engines are back", serves); err != nil {
			t.Fatal(err)
		}
		if _, last = client.Chat.Completions.New(ctx, chat(poison, 5)); last == nil {
			t.Fatal("it was answered")
		}
	}
	const most = 6 // three crashes quarantine the prompt; three more are tolerated
	if got := c.Counters().CutByCrash; got > most {
		t.Errorf("%d engines ended under it, want %d at most", got, most)
	}
	var refused *openai.Error
	if !errors.As(last, &refused) || refused.StatusCode != http.StatusServiceUnavailable || !strings.Contains(refused.RawJSON(), "2011") {
		t.Errorf("its caller is told: %v", last)
	}
	if err := c.Await(ctx, "another prompt is served", serves); err != nil {
		t.Error(err)
	}
}

func TestRefusedTicketsArePlacedAgain(t *testing.T) {
	c, ctx := start(t, 1, 2)
	c.Engines[0].SetFaults(labengine.Faults{RefuseRequests: 1})
	c.Engines[1].SetFaults(labengine.Faults{RefuseRequests: 1})
	if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("again", 5)); err != nil {
		t.Fatal(err)
	}
}

func verdict(key string) []option.RequestOption {
	return []option.RequestOption{option.WithHeader("Tinarch-Kind", "verdict"), option.WithHeader("Idempotency-Key", key)}
}

func TestKeyRunsOnceAcrossNodes(t *testing.T) {
	c, ctx := start(t, 3, 3)
	answers := make(chan string, 6)
	for i := range 6 {
		client := caller(c, i%3)
		go func() {
			answer, err := client.Chat.Completions.New(ctx, chat("judge", 50), verdict("same-key")...)
			if err != nil {
				answers <- err.Error()
				return
			}
			answers <- answer.Choices[0].Message.Content
		}()
	}
	for range 6 {
		if got := <-answers; got != expected("judge", 50) {
			t.Errorf("answer %q", got)
		}
	}
	if counters := c.Counters(); counters.Finished != 1 {
		t.Errorf("the engines ran the request %d times", counters.Finished)
	}
	later, err := caller(c, 2).Chat.Completions.New(ctx, chat("judge", 50), verdict("same-key")...)
	if err != nil || later.Choices[0].Message.Content != expected("judge", 50) {
		t.Errorf("stored answer %v, error %v", later, err)
	}
	_, err = caller(c, 1).Chat.Completions.New(ctx, chat("other", 50), verdict("same-key")...)
	var refusal *openai.Error
	if !errors.As(err, &refusal) || refusal.Code != result.KeyReused.Entry().Name {
		t.Errorf("another request with the key: %v", err)
	}
}

func TestLostAcceptanceIsAskedAbout(t *testing.T) {
	c, ctx := start(t, 1, 1)
	c.Engines[0].SetFaults(labengine.Faults{LoseAcceptReplies: 1})
	answer, err := caller(c, 0).Chat.Completions.New(ctx, chat("lost", 10), verdict("k")...)
	if err != nil || answer.Choices[0].Message.Content != expected("lost", 10) {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	if accepted := c.Counters().Accepted; accepted != 1 {
		t.Errorf("the engine accepted %d attempts", accepted)
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c, ctx := start(t, 3, 3)
	stopped := c.Nodes[1]
	ended := make(chan error, 20)
	for range 20 {
		client := caller(c, 1, option.WithHTTPClient(&http.Client{}))
		go func() {
			answer, err := client.Chat.Completions.New(ctx, chat("go on", 60))
			if err == nil && answer.Choices[0].Message.Content != expected("go on", 60) {
				err = errors.New("cut answer")
			}
			ended <- err
		}()
	}
	if err := c.Await(ctx, "requests in progress", func() bool { return c.Counters().Accepted >= 20 }); err != nil {
		t.Fatal(err)
	}
	if err := stopped.Stop(ctx); err != nil {
		t.Errorf("stop: %v", err)
	}
	c.Nodes = append(c.Nodes[:1], c.Nodes[2:]...)
	for range 20 {
		if err := <-ended; err != nil {
			t.Errorf("request during the stop: %v", err)
		}
	}
	if _, err := caller(c, 1).Chat.Completions.New(ctx, chat("after", 5)); err != nil {
		t.Errorf("after the stop: %v", err)
	}
}
