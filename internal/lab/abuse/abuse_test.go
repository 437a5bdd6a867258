package abuse

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Options of all runs. An ordinary request may take long, since other tests run at the same time.
const (
	playLength      = 3 * time.Second
	changingLength  = 12 * time.Second
	ordinaryRate    = 30
	ordinaryTimeout = 10 * time.Second
	testTimeout     = 2 * time.Minute
)

var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "tinarch-abuse-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program = filepath.Join(directory, "tinarchd")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/tinarch/tinarch/cmd/tinarchd").CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// play runs the clients of options against processes with the resources of the smallest machine.
func play(t *testing.T, options Options) {
	t.Helper()
	options.Program, options.Directory = program, t.TempDir()
	options.MemoryMegabytes, options.Descriptors = SmallestMemory, SmallestDescriptors
	options.Rate, options.Timeout, options.Calm = ordinaryRate, ordinaryTimeout, time.Second
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	report, err := Run(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Broken) > 0 {
		t.Fail()
	}
}

// TestClientsThatMisbehave guards against clients whose bytes end or block a process: each kind alone,
// beside ordinary callers.
func TestClientsThatMisbehave(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			play(t, Options{Seed: 1, Kinds: []string{kind.Name}, Length: playLength})
		})
	}
}

// TestClientsThatMisbehaveInTurn mixes kinds that the seed chooses, with reloads, new configurations,
// restarts of the other node, and a stop at the end.
func TestClientsThatMisbehaveInTurn(t *testing.T) {
	play(t, Options{Seed: 81_001, Length: changingLength, Changes: true})
	play(t, Options{Seed: 81_002, Length: changingLength, Changes: true, ManyAddresses: true})
}
