package abuse_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/abuse"
)

// programs holds tinarchd and tinarch-lab. The clients run in a process of their own: under the race detector
// they would be too slow to press a node.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "tinarch-abuse-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"github.com/tinarch/tinarch/cmd/tinarchd", "github.com/tinarch/tinarch/cmd/tinarch-lab")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// play runs clients against processes with the resources of the smallest machine. An ordinary request may take
// long, since other tests run at the same time.
func play(t *testing.T, options ...string) {
	t.Helper()
	arguments := append([]string{"abuse", "--program", filepath.Join(programs, "tinarchd"), "--calm", "1", "--timeout", "10"}, options...)
	output, err := exec.Command(filepath.Join(programs, "tinarch-lab"), arguments...).CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Errorf("tinarch-lab %v: %v", arguments, err)
	}
}

// TestClientsThatMisbehave guards against clients whose bytes end or block a process: each kind alone,
// beside ordinary callers.
func TestClientsThatMisbehave(t *testing.T) {
	for _, kind := range abuse.Kinds() {
		t.Run(kind.Name, func(t *testing.T) { play(t, "--kind", kind.Name, "--seconds", "2.5") })
	}
}

// TestClientsThatMisbehaveInTurn mixes kinds that the seed chooses, with reloads, new configurations,
// restarts of the other node, and a stop at the end.
func TestClientsThatMisbehaveInTurn(t *testing.T) {
	play(t, "--seed", "81001", "--seconds", "10", "--changes")
	play(t, "--seed", "81002", "--seconds", "10", "--changes", "--many-addresses")
}

// TestClientsThatMisbehaveOnAPartOfACore guards against clients that take the processor of a machine that gives
// a process an eighth of a core.
func TestClientsThatMisbehaveOnAPartOfACore(t *testing.T) {
	for _, kind := range []string{"many-fields", "many-fields-whole", "large-heads-unrouted", "half-heads", "pipelined-read"} {
		t.Run(kind, func(t *testing.T) { play(t, "--kind", kind, "--seconds", "6", "--share", "0.12", "--timeout", "3") })
	}
}

// TestClientsThatMisbehaveAtGateways plays kinds of each cost at the other home of the same door: bodies, heads,
// connections, answers that aren't read, requests.
func TestClientsThatMisbehaveAtGateways(t *testing.T) {
	for _, kind := range []string{"whole-bodies", "byte-chunks", "many-fields-whole", "slow-heads", "kept-at-rest", "unread-answers", "slow-readers", "pipelined-read"} {
		t.Run(kind, func(t *testing.T) { play(t, "--gateways", "--kind", kind, "--seconds", "2.5") })
	}
}
