package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	openaisdk "github.com/openai/openai-go/v3"
	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/cli"

	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

func post(t *testing.T, url, token, body string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, content
}

func TestBadBodiesGetTheirCode(t *testing.T) {
	c, _ := start(t, 1, 1)
	url := "http://" + c.Nodes[0].CallersAddress() + "/v1/completions"
	cases := []struct {
		name, body string
		want       result.Code
	}{
		{"broken UTF-8", `{"model":"large","prompt":"` + "\xff\xfe" + `"}`, result.InvalidRequest},
		{"no JSON", `model=large`, result.InvalidRequest},
		{"two values", `{"model":"large","prompt":"x"}{}`, result.InvalidRequest},
		{"no prompt", `{"model":"large"}`, result.InvalidRequest},
		{"messages at the wrong place", `{"model":"large","messages":[{"role":"user","content":"x"}]}`, result.InvalidRequest},
		{"oversize", `{"model":"large","prompt":"` + strings.Repeat("x", 33<<20) + `"}`, result.BodyTooLarge},
		{"negative tokens", `{"model":"large","prompt":"x","max_tokens":-1}`, result.InvalidRequest},
	}
	for _, test := range cases {
		status, content := post(t, url, callerKey, test.body)
		var body openai.ErrorBody
		if err := json.Unmarshal(content, &body); err != nil {
			t.Errorf("%s: status %d, body %q", test.name, status, content)
			continue
		}
		if result.Code(body.Error.Number) != test.want || body.Error.Message == "" || body.Error.Type != string(result.DidNotRun) {
			t.Errorf("%s: %+v, want %s", test.name, body.Error, test.want)
		}
	}
	if status, content := post(t, url, callerKey, `{"model":"large","prompt":"x","max_tokens":2}`); status != http.StatusOK {
		t.Errorf("the node does not serve any more: %d %s", status, content)
	}
}

func TestOperatorsSpeakConnectGRPCAndJSON(t *testing.T) {
	c, ctx := start(t, 1, 1)
	base := "http://" + c.Nodes[0].OperatorsAddress()
	status, content := post(t, base+"/tinarch.v1.CatalogService/Get", OperatorToken, "{}")
	if status != http.StatusOK || !strings.Contains(string(content), `"revision":"1"`) {
		t.Errorf("JSON: status %d, %.80s", status, content)
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	grpc := tinarchv1connect.NewFleetServiceClient(client, base, connect.WithGRPC(), connect.WithInterceptors(cli.BearerToken(OperatorToken)))
	answer, err := grpc.Status(ctx, connect.NewRequest(&tinarchv1.StatusRequest{}))
	if err != nil || answer.Msg.GetLowestRevision() != 1 {
		t.Errorf("gRPC: %v, %v", answer, err)
	}
	stale := &tinarchv1.ApplyRequest{ExpectedRevision: 0, OperationId: "stale", Put: &tinarchv1.Catalog{Classes: []*tinarchv1.PriorityClass{{Name: "x", Weight: 1}}}}
	_, err = c.Catalog(c.Nodes[0]).Apply(ctx, connect.NewRequest(stale))
	if failure := result.From(cli.FromRPC(err)); failure.Code != result.RevisionConflict || failure.Revision != 1 {
		t.Errorf("stale revision: %v", err)
	}
}

func TestOperatorTokensAreChecked(t *testing.T) {
	c, _ := start(t, 1, 1)
	base := "http://" + c.Nodes[0].OperatorsAddress()
	if status, _ := post(t, base+"/tinarch.v1.CatalogService/Get", "wrong", "{}"); status != http.StatusUnauthorized {
		t.Errorf("a wrong token got status %d", status)
	}
	if status, _ := post(t, base+"/tinarch.v1.FleetService/Drain", ReadToken, `{"engine":"pool-01"}`); status != http.StatusForbidden {
		t.Errorf("a read token drained an engine: status %d", status)
	}
	if status, _ := post(t, base+"/tinarch.v1.FleetService/Engines", ReadToken, "{}"); status != http.StatusOK {
		t.Errorf("a read token could not read: status %d", status)
	}
}

func TestDrainedEngineEmptiesAndReturns(t *testing.T) {
	c, ctx := start(t, 1, 2)
	fleet := c.Fleet(c.Nodes[0])
	if _, err := fleet.Drain(ctx, connect.NewRequest(&tinarchv1.DrainRequest{Engine: "pool-01"})); err != nil {
		t.Fatal(err)
	}
	if err := c.Await(ctx, "one drained engine", func() bool { return c.ReadyEngines(ctx) == 1 }); err != nil {
		t.Fatal(err)
	}
	before := c.Engine("pool-01").Counters().Accepted
	for range 5 {
		if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("elsewhere", 3)); err != nil {
			t.Fatal(err)
		}
	}
	if after := c.Engine("pool-01").Counters().Accepted; after != before {
		t.Errorf("a drained engine accepted %d attempts", after-before)
	}
	if _, err := fleet.Drain(ctx, connect.NewRequest(&tinarchv1.DrainRequest{Engine: "pool-01", Undo: true})); err != nil {
		t.Fatal(err)
	}
	if err := c.AwaitEngines(ctx, 2); err != nil {
		t.Error(err)
	}
}

func TestVersionChangeCutsNoRequest(t *testing.T) {
	c, ctx := start(t, 2, 3)
	next := testCatalog()
	next.Models[0].DefaultVersion = "v2"
	stop := make(chan struct{})
	failures := make(chan error, 1)
	go func() {
		defer close(failures)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("during the change", 10)); err != nil {
				failures <- err
				return
			}
		}
	}()
	if _, err := c.Apply(ctx, next); err != nil {
		t.Fatal(err)
	}
	err := c.Await(ctx, "version 2 everywhere", func() bool {
		answer, err := c.Fleet(c.Nodes[0]).Engines(ctx, connect.NewRequest(&tinarchv1.EnginesRequest{}))
		if err != nil {
			return false
		}
		for _, status := range answer.Msg.GetEngines() {
			if status.GetModel() != "large/v2" || status.GetState() != "ready" {
				return false
			}
		}
		return len(answer.Msg.GetEngines()) == 3
	})
	close(stop)
	if err != nil {
		t.Error(err)
	}
	if failure := <-failures; failure != nil {
		t.Errorf("a request failed during the change: %v", failure)
	}
	if cut := c.Counters().CutByOrder; cut != 0 {
		t.Errorf("%d attempts were cut", cut)
	}
}

// answerOf returns the body of an error answer, which contains the result code.
func answerOf(err error) string {
	var refusal *openaisdk.Error
	if errors.As(err, &refusal) {
		return string(refusal.DumpResponse(true))
	}
	return ""
}

// TestEnginesMoveBetweenCells checks that engines can move from a cell with a higher fence to
// one with a lower fence. An engine refuses orders of its new leader until that cell's epoch,
// from which its fences are made, has risen above the fence that the engine knows.
func TestEnginesMoveBetweenCells(t *testing.T) {
	c, ctx := start(t, 3, 4)
	// Each new leader raises the fence of the only cell.
	for range 2 {
		leader := leaderOf(c, testCell)
		if leader < 0 {
			t.Fatal("nobody leads the cell")
		}
		before := c.Nodes[leader].LedGroups()[testCell]
		c.Nodes[leader].HandOver()
		if err := c.Await(ctx, "the next leader", func() bool {
			now := leaderOf(c, testCell)
			return now >= 0 && c.Nodes[now].LedGroups()[testCell] > before
		}); err != nil {
			t.Fatal(err)
		}
	}
	split := testCatalog()
	split.Pools[0].Cells = 2
	if _, err := c.Apply(ctx, split); err != nil {
		t.Fatal(err)
	}
	if err := c.Await(ctx, "engines in both cells", func() bool {
		return c.ReadyEngines(ctx) == 4 && leaderOf(c, "cell/pool/1") >= 0
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("after the split", 5)); err != nil {
		t.Errorf("%v: %s", err, answerOf(err))
	}
	checkEngines(t, c)
}

func TestLeaderIsReplacedWithAHigherFence(t *testing.T) {
	c, ctx := start(t, 3, 2)
	const cell = "cell/pool/0"
	leader := -1
	for i, n := range c.Nodes {
		if _, leads := n.LedGroups()[cell]; leads {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("nobody leads the cell")
	}
	before := c.Nodes[leader].LedGroups()[cell]
	c.Nodes[leader].Close()
	c.Nodes = append(c.Nodes[:leader], c.Nodes[leader+1:]...)
	if _, err := caller(c, 0).Chat.Completions.New(ctx, chat("meanwhile", 5)); err != nil {
		t.Errorf("a repeatable request without a leader: %v", err)
	}
	if err := c.Await(ctx, "another leader", func() bool {
		for _, n := range c.Nodes {
			if n.LedGroups()[cell] > before {
				return true
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := caller(c, 1).Chat.Completions.New(ctx, chat("after", 5), verdict("after")...); err != nil {
		t.Errorf("a keyed request under the next leader: %v", err)
	}
}

func TestCallerThatLeavesCancelsItsWork(t *testing.T) {
	c, ctx := start(t, 1, 1)
	callCtx, leave := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := caller(c, 0).Chat.Completions.New(callCtx, chat("long", 64))
		ended <- err
	}()
	if err := c.Await(ctx, "the request at the engine", func() bool { return c.Counters().Accepted == 1 }); err != nil {
		t.Fatal(err)
	}
	leave()
	<-ended
	if err := c.Await(ctx, "the end of its work", func() bool {
		counters := c.Counters()
		return counters.Cancelled+counters.Finished == 1
	}); err != nil {
		t.Error(err)
	}
}
