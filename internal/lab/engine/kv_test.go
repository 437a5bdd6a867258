package engine

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/openai"
)

// runPrompt runs a prompt directly on an engine, without a ticket, and returns the usage.
func runPrompt(t *testing.T, e *Engine, client *engine.Client, attempt engine.Identifier, incarnation engine.Identifier, prompt string) engine.Usage {
	t.Helper()
	body, err := json.Marshal(openai.Request{Model: "m", Prompt: &prompt, MaxTokens: 3, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	ticket := engine.Ticket{Attempt: attempt, Engine: "e", Address: e.Address(), Incarnation: incarnation, Model: "m", Version: "v", Role: engine.RoleMixed}
	stream, err := client.Start(context.Background(), ticket, string(openai.Completions), body)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	content, err := io.ReadAll(stream)
	if err != nil {
		t.Fatal(err)
	}
	reader := engine.NewStreamReader(attempt, 1)
	for event := range strings.SplitSeq(string(content), "\n\n") {
		if _, err := reader.Classify([]byte(event)); err != nil {
			t.Fatal(err)
		}
	}
	if !reader.Complete() {
		t.Fatalf("incomplete stream: %q", content)
	}
	return reader.Usage()
}

func startDeployed(t *testing.T) (*Engine, *engine.Client, engine.Identifier) {
	t.Helper()
	e, err := Start("127.0.0.1:0", Options{
		Name: "e", Model: SmallModel(), TimeScale: 0.01,
		Deployment: engine.Deployment{Model: "m", Version: "v", Role: engine.RoleMixed},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := engine.NewClient()
	t.Cleanup(client.Close)
	status, err := client.Status(context.Background(), e.Address())
	if err != nil {
		t.Fatal(err)
	}
	return e, client, status.Incarnation
}

func TestImportedCacheIsUsed(t *testing.T) {
	first, client, firstIncarnation := startDeployed(t)
	second, _, secondIncarnation := startDeployed(t)
	prompt := strings.Repeat("a long shared prompt ", 400)
	attempt := engine.NewIdentifier()
	if usage := runPrompt(t, first, client, attempt, firstIncarnation, prompt); usage.CachedTokens != 0 {
		t.Errorf("a cold engine had %d tokens cached", usage.CachedTokens)
	}
	export, err := client.ExportKV(context.Background(), first.Address(), firstIncarnation, attempt)
	if err != nil || len(export.Blocks) == 0 || export.SizeBytes == 0 {
		t.Fatalf("export %+v, error %v", export, err)
	}
	if err := client.ImportKV(context.Background(), second.Address(), export); err != nil {
		t.Fatal(err)
	}
	if usage := runPrompt(t, second, client, engine.NewIdentifier(), secondIncarnation, prompt); usage.CachedTokens < 1024 {
		t.Errorf("only %d tokens cached after the import", usage.CachedTokens)
	}
}
