package virtual

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/replica"
)

// Guard names a safety mechanism of the protocol that a run can leave out, to show that the
// checks then report a violation.
type Guard string

// The mechanisms that a run can leave out.
const (
	NoGuard Guard = ""
	// GuardPromise is the followers' promise to the leader not to vote for another member while
	// its lease runs.
	GuardPromise Guard = "promise"
	// GuardClaim is the ledger's rule that a key is granted to one attempt only.
	GuardClaim Guard = "claim"
)

// Outcome is the result of one schedule.
type Outcome struct {
	Seed    uint64
	Claims  int
	Granted int
	Unknown int
	// Trace lists the faults that the schedule injected, with their times.
	Trace []string
	// Problem describes the first violated guarantee; it is empty if all held.
	Problem string
}

// String formats a failed schedule with its faults.
func (o Outcome) String() string {
	text := fmt.Sprintf("seed %d\n", o.Seed)
	for _, line := range o.Trace {
		text += "  " + line + "\n"
	}
	return text + "  PROBLEM: " + o.Problem + "\n"
}

// greedyLedger grants every claim, also of a key that is already granted.
type greedyLedger struct{ *ledger.Ledger }

// Apply implements StateMachine.
func (g greedyLedger) Apply(data []byte) any {
	outcome := g.Ledger.Apply(data)
	var command ledger.Command
	_ = json.Unmarshal(data, &command)
	if outcome.Claim != nil {
		outcome.Claim.Attempt = command.Attempt
	}
	return outcome
}

// plainLedger is the ledger as it is, with the methods of a StateMachine.
type plainLedger struct{ *ledger.Ledger }

// Apply implements StateMachine.
func (p plainLedger) Apply(data []byte) any { return p.Ledger.Apply(data) }

type claimInput struct {
	key     string
	attempt engine.Identifier
}

// claimModel is the sequential specification: the first claim of a key wins, and every later
// claim returns the winner. An empty output means that the caller never learned the result.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var order []string
		for _, operation := range history {
			key := operation.Input.(claimInput).key
			if byKey[key] == nil {
				order = append(order, key)
			}
			byKey[key] = append(byKey[key], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(order))
		for _, key := range order {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return engine.Identifier("") },
	Step: func(state, input, output any) (bool, any) {
		holder, answered := state.(engine.Identifier), output.(engine.Identifier)
		if holder == "" {
			holder = input.(claimInput).attempt
		}
		return answered == "" || answered == holder, holder
	},
}

const (
	claimKeys     = 6
	scheduleSteps = 30
	maxStepMillis = 1500
	recoveryTime  = 8 * time.Second
)

// RunClaims runs one schedule of random faults while clients claim the same keys. It checks
// that at most one member holds the lease, that all members apply the same commands, and that
// the claims are linearizable.
func RunClaims(seed uint64, without Guard) Outcome {
	settings := replica.DefaultSettings()
	settings.MaxLog = 16
	var settingsFor func(int) replica.Settings
	if without == GuardPromise {
		settingsFor = func(i int) replica.Settings {
			own := settings
			if i > 0 {
				// As a follower its promise lasts for 1 ms. As a leader it holds the lease
				// for about as long as the others: the negative margin makes up for the
				// short lease.
				own.Lease = time.Millisecond
				own.DriftMargin = -settings.Lease
			}
			return own
		}
	}
	newMachine := func() StateMachine { return plainLedger{ledger.New()} }
	if without == GuardClaim {
		newMachine = func() StateMachine { return greedyLedger{ledger.New()} }
	}
	r := &claimRun{
		cluster: NewCluster(seed, settings, newMachine, settingsFor),
		random:  rand.New(rand.NewPCG(seed, 0xc1a1)),
		outcome: Outcome{Seed: seed},
	}
	r.run()
	return r.outcome
}

type claimRun struct {
	cluster *Cluster
	random  *rand.Rand
	outcome Outcome
	history []porcupine.Operation
}

func (r *claimRun) run() {
	r.cluster.Loss = r.random.Float64() * 0.3
	for range scheduleSteps {
		r.injectFault()
		for range 3 {
			r.claim()
		}
		length := time.Duration(10+r.random.IntN(maxStepMillis)) * time.Millisecond
		if err := r.cluster.Run(length); err != nil {
			r.outcome.Problem = err.Error()
			return
		}
	}
	r.cluster.Heal()
	if err := r.cluster.Run(recoveryTime); err != nil {
		r.outcome.Problem = err.Error()
		return
	}
	if !r.claim() {
		r.outcome.Problem = "no member accepts a claim after all faults have ended"
		return
	}
	if err := r.cluster.Run(time.Second); err != nil {
		r.outcome.Problem = err.Error()
		return
	}
	if !porcupine.CheckOperations(claimModel, r.history) {
		r.outcome.Problem = "the claims are not linearizable: a key was granted twice or a grant was lost"
	}
}

func (r *claimRun) injectFault() {
	n := r.cluster.Nodes[r.random.IntN(MemberCount)]
	var what string
	switch r.random.IntN(5) {
	case 0:
		n.Paused = !n.Paused
		what = fmt.Sprintf("%s paused: %v", n.ID, n.Paused)
	case 1:
		n.Cut = !n.Cut
		what = fmt.Sprintf("%s partitioned: %v", n.ID, n.Cut)
	case 2:
		n.Member.HandOver(n.Clock(r.cluster.Now))
		r.cluster.ProcessReady(n)
		what = fmt.Sprintf("%s transfers leadership", n.ID)
	default:
		return
	}
	r.outcome.Trace = append(r.outcome.Trace, fmt.Sprintf("%8v  %s", r.cluster.Now, what))
}

// claim proposes a claim of a random key. It reports whether a leader accepted the proposal.
func (r *claimRun) claim() bool {
	input := claimInput{key: fmt.Sprint("key-", r.random.IntN(claimKeys)), attempt: engine.Identifier(fmt.Sprint("attempt-", r.outcome.Claims))}
	data, err := json.Marshal(ledger.Command{
		Type: ledger.CommandClaim, Key: input.key, Digest: "d", Attempt: input.attempt, WindowMillis: int64(time.Hour / time.Millisecond),
	})
	if err != nil {
		r.outcome.Problem = err.Error()
		return false
	}
	index := len(r.history)
	const never = int64(1) << 62
	operation := porcupine.Operation{ClientId: index, Input: input, Call: int64(r.cluster.Now), Output: engine.Identifier(""), Return: never}
	r.history = append(r.history, operation)
	accepted := r.cluster.Propose(data, func(result any, committed bool) {
		outcome, ok := result.(ledger.Outcome)
		if !committed || !ok || outcome.Claim == nil {
			return
		}
		r.history[index].Output = outcome.Claim.Attempt
		r.history[index].Return = int64(r.cluster.Now)
		if outcome.Granted {
			r.outcome.Granted++
		}
	})
	if !accepted {
		r.history = r.history[:index]
		return false
	}
	r.outcome.Claims++
	return true
}
