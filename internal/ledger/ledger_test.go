package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

func apply(l *Ledger, command Command) Outcome {
	data, err := json.Marshal(command)
	if err != nil {
		panic(err)
	}
	return l.Apply(data)
}

func claimCommand(key string, attempt engine.Identifier, at int64) Command {
	return Command{Type: CommandClaim, Key: key, Digest: "d", Attempt: attempt, WindowMillis: 10_000, Time: at}
}

func TestSecondClaimSeesTheFirst(t *testing.T) {
	l := New()
	if first := apply(l, claimCommand("k", "a1", 1)); !first.Granted {
		t.Fatalf("first claim: %+v", first)
	}
	second := apply(l, claimCommand("k", "a2", 2))
	if second.Granted || second.Claim.Attempt != "a1" {
		t.Errorf("second claim: %+v", second)
	}
	if again := apply(l, claimCommand("k", "a1", 3)); !again.Granted {
		t.Errorf("a repeated message of the first claim: %+v", again)
	}
	other := claimCommand("k", "a3", 4)
	other.Digest = "other"
	if reused := apply(l, other); reused.Error == nil || reused.Error.Code != result.KeyReused {
		t.Errorf("another request with the key: %+v", reused)
	}
}

func TestReplaceNeedsTheRightAttempt(t *testing.T) {
	l := New()
	apply(l, claimCommand("k", "a1", 1))
	wrong := apply(l, Command{Type: CommandReplace, Key: "k", Replaced: "a0", Attempt: "a2"})
	if wrong.Granted {
		t.Error("an attempt that is not on record was replaced")
	}
	if right := apply(l, Command{Type: CommandReplace, Key: "k", Replaced: "a1", Attempt: "a2"}); !right.Granted {
		t.Errorf("replacing the recorded attempt: %+v", right)
	}
	if late := apply(l, Command{Type: CommandReplace, Key: "k", Replaced: "a1", Attempt: "a3"}); late.Granted {
		t.Error("two gateways replaced the same attempt")
	}
}

func TestFinalClaimsStay(t *testing.T) {
	l := New()
	apply(l, claimCommand("k", "a1", 1))
	apply(l, Command{Type: CommandComplete, Key: "k", Attempt: "a1", Answer: &Answer{Text: "verdict"}})
	apply(l, Command{Type: CommandLost, Key: "k", Attempt: "a1"})
	apply(l, Command{Type: CommandRelease, Key: "k", Attempt: "a1"})
	claim := l.Lookup("k")
	if claim == nil || claim.Status != Done || claim.Answer.Text != "verdict" {
		t.Errorf("claim %+v", claim)
	}
}

func TestClaimsExpire(t *testing.T) {
	l := New()
	for i := range 100 {
		apply(l, claimCommand(fmt.Sprint(i), "a", int64(i*100)))
	}
	apply(l, Command{Type: CommandTick, Time: 15_000})
	// Claims made before 5,000 ms expired before 15,000 ms: half of them.
	if l.Len() != 50 {
		t.Errorf("%d claims live, want 50", l.Len())
	}
	apply(l, Command{Type: CommandTick, Time: 1_000_000})
	if l.Len() != 0 || len(l.expiry) != 0 {
		t.Errorf("%d claims and %d seconds with expiring claims left", l.Len(), len(l.expiry))
	}
}

func TestKeysAreUnknownAfterStateLossUnlessProvedNew(t *testing.T) {
	l := New()
	apply(l, Command{Type: CommandStateLoss, WindowMillis: 10_000, Time: 1000, WallTime: 5_000_000})
	if old := apply(l, claimCommand("k", "a", 2000)); old.Error == nil || old.Error.Code != result.OutcomeUnknown {
		t.Errorf("claim of a key that may be old: %+v", old)
	}
	proved := claimCommand("new", "a", 2000)
	proved.KeyTime = 5_000_000 + keyTimeMargin.Milliseconds()
	if fresh := apply(l, proved); !fresh.Granted {
		t.Errorf("claim of a key that proves its time: %+v", fresh)
	}
	if later := apply(l, claimCommand("k", "a", 11_001)); !later.Granted {
		t.Errorf("claim after the window: %+v", later)
	}
}

func TestSnapshotRestoresTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		count := rapid.IntRange(0, 30).Draw(t, "commands")
		for i := range count {
			command := Command{
				Type:    rapid.SampledFrom([]CommandType{CommandClaim, CommandReplace, CommandRelease, CommandComplete, CommandLost, CommandTick}).Draw(t, "type"),
				Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Attempt: rapid.SampledFrom([]engine.Identifier{"1", "2"}).Draw(t, "attempt"),
				Digest:  "d", Replaced: "1", WindowMillis: 5000, Time: int64(i) * 700,
			}
			apply(l, command)
		}
		restored := New()
		if err := restored.Restore(l.Snapshot()); err != nil {
			t.Fatal(err)
		}
		for _, key := range []string{"a", "b", "c"} {
			if diff := cmp.Diff(l.Lookup(key), restored.Lookup(key)); diff != "" {
				t.Fatalf("key %s:\n%s", key, diff)
			}
		}
		for _, m := range []*Ledger{l, restored} {
			apply(m, Command{Type: CommandTick, Time: 1_000_000})
			if m.Len() != 0 {
				t.Fatal("a claim does not expire")
			}
		}
	})
}
