package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/cluster"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/result"
)

const example = "../../examples/hnefi/catalog.yaml"

func startCluster(t *testing.T) *cluster.Cluster {
	t.Helper()
	c, err := cluster.Start(cluster.Options{
		Name: "cli", Zones: []string{"a"}, Nodes: 1, TimeScale: 0.01,
		Pools: []cluster.Pool{{Name: "skald-llm", Count: 1, Model: labengine.SmallModel()}, {Name: "match-api", Count: 1, Model: labengine.SmallModel()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.Await(ctx, "the node", c.CaughtUp); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TINARCH_SERVER", "http://"+c.Nodes[0].OperatorsAddress())
	t.Setenv("TINARCH_TOKEN", cluster.OperatorToken)
	return c
}

func TestCommandsAgainstANode(t *testing.T) {
	c := startCluster(t)
	steps := []struct {
		name       string
		parameters []string
		want       int
	}{
		{"apply", []string{"apply", example}, 0},
		{"get", []string{"get"}, 0},
		{"get as JSON", []string{"get", "-o", "json"}, 0},
		{"status", []string{"status"}, 0},
		{"stale revision", []string{"apply", example, "--expect", "0"}, result.RevisionConflict.ExitStatus()},
		{"delete of an object in use", []string{"delete", "class", "turn"}, result.InvalidCatalog.ExitStatus()},
		{"delete of an unknown object", []string{"delete", "tenant", "none"}, result.NotFound.ExitStatus()},
		{"delete", []string{"delete", "tenant", "hnefi"}, 0},
		{"unknown engine", []string{"drain", "none"}, result.NotFound.ExitStatus()},
		{"wrong token", []string{"get", "--token", "wrong"}, result.Unauthenticated.ExitStatus()},
	}
	for _, step := range steps {
		if got := run(step.parameters); got != step.want {
			t.Errorf("%s: exit status %d, want %d", step.name, got, step.want)
		}
	}
	if revision := c.Nodes[0].Revision(); revision != 2 {
		t.Errorf("revision %d after one apply and one delete", revision)
	}
}

func TestOfflineCommands(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "wrong.yaml")
	if err := os.WriteFile(wrong, []byte("kinds: [{name: k, model: none}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name       string
		parameters []string
		want       int
	}{
		{"check", []string{"check", example}, 0},
		{"check of an invalid file", []string{"check", wrong}, result.InvalidCatalog.ExitStatus()},
		{"check of a missing file", []string{"check", "none.yaml"}, result.InvalidCatalog.ExitStatus()},
		{"check of settings", []string{"check", "--settings", "../../examples/routed-node.yaml"}, 0},
		{"check of invalid settings", []string{"check", "--settings", example}, result.SettingsInvalid.ExitStatus()},
		{"completion", []string{"completion", "bash"}, 0},
		{"unknown shell", []string{"completion", "csh"}, result.UsageInvalid.ExitStatus()},
		{"no command", nil, result.UsageInvalid.ExitStatus()},
		{"unknown command", []string{"nothing"}, result.UsageInvalid.ExitStatus()},
		{"unknown format", []string{"check", example, "-o", "xml"}, result.UsageInvalid.ExitStatus()},
		{"no node at the address", []string{"get", "--server", "http://127.0.0.1:1"}, result.PeerUnavailable.ExitStatus()},
		{"help", []string{"--help"}, 0},
		{"version", []string{"--version"}, 0},
	}
	for _, step := range steps {
		if got := run(step.parameters); got != step.want {
			t.Errorf("%s: exit status %d, want %d", step.name, got, step.want)
		}
	}
}
