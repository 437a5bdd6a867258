package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/operator"
)

// Claims is the cost of claims.
type Claims struct {
	RoundTripMillis [3]float64 `json:"peer_round_trip_ms_p50_p95_p99"`
	ClaimMillis     [3]float64 `json:"claim_ms_p50_p95_p99"`
	AddedMillis     [3]float64 `json:"added_ms_p50_p95_p99"`
	PerSecond       float64    `json:"claims_per_second_one_group"`
	BytesPerClaim   float64    `json:"heap_bytes_per_live_claim"`
}

const (
	claimSamples = 2000
	claimWorkers = 64
	claimSeconds = 4
	claimsHeld   = 100_000
)

// MeasureClaims measures claims from a node that does not lead their group: one
// call to the leader, and one majority round trip there. Calls to the same leader
// that do nothing are the baseline.
func MeasureClaims(ctx context.Context) (Claims, error) {
	perClaim := bytesPerClaim() // first, while the heap is quiet
	c, err := startCluster(ctx, 3, 1, fastModel(), false)
	if err != nil {
		return Claims{}, err
	}
	defer c.Close()
	home := ledger.GroupName(0)
	var leader, other int
	if err := c.Await(ctx, "a leader of the ledger group", func() bool {
		for i, n := range c.Nodes {
			if _, leads := n.LedGroups()[home]; leads {
				leader, other = i, (i+1)%len(c.Nodes)
				return true
			}
		}
		return false
	}); err != nil {
		return Claims{}, err
	}
	keys := newKeys()
	trips, claims := newHistogram(), newHistogram()
	from := c.Nodes[other]
	for i := range claimSamples + 200 {
		began := time.Now()
		if err := from.PeerClient().Call(ctx, c.Nodes[leader].PeersAddress(), operator.MethodRevision, struct{}{}, nil); err != nil {
			return Claims{}, err
		}
		middle := time.Now()
		if _, _, err := from.LedgerClient().Execute(ctx, claim(keys.next(home))); err != nil {
			return Claims{}, err
		}
		if i >= 200 { // the first ones warm up
			_ = trips.RecordValue(middle.Sub(began).Microseconds())
			_ = claims.RecordValue(time.Since(middle).Microseconds())
		}
	}
	measured := Claims{RoundTripMillis: quantiles(trips), ClaimMillis: quantiles(claims)}
	for i := range measured.AddedMillis {
		measured.AddedMillis[i] = measured.ClaimMillis[i] - measured.RoundTripMillis[i]
	}
	measured.PerSecond = claimRate(ctx, from.LedgerClient(), keys, home)
	measured.BytesPerClaim = perClaim
	return measured, nil
}

// keys draws keys of one home group.
type keys struct {
	mu     sync.Mutex
	number int
}

func newKeys() *keys { return &keys{} }

// benchGroups is the number of ledger groups of the bench's deployment.
const benchGroups = 2

func (k *keys) next(home string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		k.number++
		if key := fmt.Sprintf("%032x", k.number); ledger.HomeGroup(key, benchGroups) == home {
			return key
		}
	}
}

func claim(key string) ledger.Command {
	return ledger.Command{
		Type: ledger.CommandClaim, Key: key, Digest: "0123456789abcdef0123456789abcdef", Attempt: engine.NewIdentifier(), WindowMillis: 600_000,
		Location: ledger.Location{Pool: "pool", Engine: "engine-01", Address: "127.0.0.1:9010", Incarnation: engine.NewIdentifier()},
	}
}

func claimRate(ctx context.Context, client *ledger.Client, keys *keys, home string) float64 {
	var done atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	for range claimWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(began) < claimSeconds*time.Second {
				if _, _, err := client.Execute(ctx, claim(keys.next(home))); err == nil {
					done.Add(1)
				}
			}
		}()
	}
	group.Wait()
	return float64(done.Load()) / time.Since(began).Seconds()
}

// bytesPerClaim measures the heap that live claims take in the state machine.
func bytesPerClaim() float64 {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	l := ledger.New()
	for i := range claimsHeld {
		command := claim(fmt.Sprintf("%032x", i))
		command.Time = 1
		data, err := json.Marshal(command)
		if err != nil {
			return 0
		}
		l.Apply(data)
	}
	after := heap()
	runtime.KeepAlive(l)
	return float64(after-before) / claimsHeld
}
