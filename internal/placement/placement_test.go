package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

func candidate(slot int) *Candidate {
	return &Candidate{
		Slot:         slot,
		Name:         fmt.Sprint("engine-", slot),
		Zone:         "a",
		Availability: Ready,
		Deployment:   engine.Deployment{Model: "m", Version: "v", Role: engine.RoleMixed, Adapters: []string{"lora"}},
		MaxRunning:   4,
		MemoryTokens: 100_000,
		Rates:        Rates{}.WithDefaults(),
	}
}

func request() *Request {
	return &Request{Model: "m", Version: "v", PromptTokens: 1000, OutputTokens: 10, Zone: "a"}
}

func TestFiltersDropUnsuitableEngines(t *testing.T) {
	cases := []struct {
		name   string
		filter Filter
		change func(*Request, *Candidate)
	}{
		{"other model", Serves{}, func(r *Request, _ *Candidate) { r.Model = "other" }},
		{"other version", Serves{}, func(r *Request, _ *Candidate) { r.Version = "other" }},
		{"missing adapter", Serves{}, func(r *Request, _ *Candidate) { r.Adapter = "other" }},
		{"decode role", Serves{}, func(_ *Request, c *Candidate) { c.Deployment.Role = engine.RoleDecode }},
		{"unknown", Available{}, func(_ *Request, c *Candidate) { c.Availability = Unknown }},
		{"leaving", Available{}, func(_ *Request, c *Candidate) { c.Availability = Leaving }},
		{"draining", Available{}, func(_ *Request, c *Candidate) { c.Availability = Draining }},
		{"excluded", NotExcluded{}, func(r *Request, _ *Candidate) { r.Excluded = 1 }},
		{"prompts pending", HasPrefillCapacity{}, func(_ *Request, c *Candidate) { c.Backlog.Add(0, 50_000) }},
		{"full", HasCapacity{}, func(_ *Request, c *Candidate) { c.InFlight = c.MaxRunning }},
	}
	for _, test := range cases {
		r, c := request(), candidate(0)
		var matches Matches
		if !test.filter.Keep(r, c, &matches) {
			t.Errorf("%s: a suitable engine is dropped", test.name)
		}
		test.change(r, c)
		if test.filter.Keep(r, c, &matches) {
			t.Errorf("%s: an unsuitable engine is kept", test.name)
		}
	}
}

// TestCachedPrefixRaisesPrefillCapacity guards against spreading requests with one long prefix
// over ever more engines, each of which prefills it again, only because the engine that has it
// cached, or is prefilling it, is busy.
func TestCachedPrefixRaisesPrefillCapacity(t *testing.T) {
	r, c := request(), candidate(0)
	r.PromptTokens = 40_000
	c.Backlog.Add(0, 32_000)
	var matches Matches
	if (HasPrefillCapacity{}).Keep(r, c, &matches) {
		t.Error("a busy engine without any of the prompt cached is kept")
	}
	matches[0] = 32_000 / prefix.BlockTokens
	if !(HasPrefillCapacity{}).Keep(r, c, &matches) {
		t.Error("a busy engine with the prefix cached is dropped")
	}
}

// TestBacklogOfLowerRanksIsIgnored guards against an urgent request that waits in the cell
// because all engines have prompts of a lower rank to prefill, although engines would run the
// urgent one first.
func TestBacklogOfLowerRanksIsIgnored(t *testing.T) {
	r, c := request(), candidate(0)
	c.Backlog.Add(1, 50_000)
	var matches Matches
	r.Rank = 1
	if (HasPrefillCapacity{}).Keep(r, c, &matches) {
		t.Error("an engine that is busy with the same rank is kept")
	}
	r.Rank = 2
	if !(HasPrefillCapacity{}).Keep(r, c, &matches) {
		t.Error("an engine that is busy with a lower rank is dropped")
	}
	if cost := (PrefillDelay{}).Cost(r, c, &matches); cost > 0.2 {
		t.Errorf("a lower rank's backlog costs %.2f s", cost)
	}
}

func TestPlaceReportsWhyNoEngineIsLeft(t *testing.T) {
	full := candidate(0)
	full.InFlight = full.MaxRunning
	other := candidate(1)
	other.Deployment.Model = "other"
	pipeline := NewDefaultPipeline(NewPrefixIndex(10))
	if _, err := pipeline.Place(request(), []*Candidate{other, full}); result.CodeOf(err) != result.QueueFull {
		t.Errorf("full engine: %v", err)
	}
	if _, err := pipeline.Place(request(), []*Candidate{other}); result.CodeOf(err) != result.NoEngine {
		t.Errorf("no engine of the model: %v", err)
	}
}

func TestScorersPreferTheBetterEngine(t *testing.T) {
	cases := []struct {
		name   string
		scorer Scorer
		better func(*Candidate, *Matches)
	}{
		{"cached prefix", PrefillDelay{}, func(c *Candidate, m *Matches) { m[c.Slot] = 2 }},
		{"less pending", PrefillDelay{}, func(c *Candidate, _ *Matches) { c.Backlog.Add(0, -50) }},
		{"faster steps", DecodeSlowdown{}, func(c *Candidate, _ *Matches) { c.Rates.DecodeStep = time.Millisecond }},
		{"fewer sequences", DecodeSlowdown{}, func(c *Candidate, _ *Matches) { c.InFlight = 0 }},
		{"free memory", MemoryPressure{}, func(c *Candidate, _ *Matches) { c.ReservedTokens = 0 }},
		{"same zone", ZoneDistance{}, func(c *Candidate, _ *Matches) { c.Zone = "a" }},
		{"least loaded", InFlightOnly{}, func(c *Candidate, _ *Matches) { c.InFlight = 1 }},
	}
	for _, test := range cases {
		var matches Matches
		worse, better := candidate(0), candidate(1)
		for _, c := range []*Candidate{worse, better} {
			c.InFlight, c.ReservedTokens, c.Zone = 3, 100_000, "b"
			c.Backlog.Add(0, 100)
		}
		test.better(better, &matches)
		if test.scorer.Cost(request(), better, &matches) >= test.scorer.Cost(request(), worse, &matches) {
			t.Errorf("%s: the better engine does not cost less", test.name)
		}
	}
}

func TestPlacementSticksToCachedPrefixUntilQueueCostsMore(t *testing.T) {
	index := NewPrefixIndex(1000)
	chain := []prefix.Hash{1, 2, 3}
	index.RecordPlacement(0, 1, chain)
	pipeline := NewDefaultPipeline(index)
	engines := []*Candidate{candidate(0), candidate(1)}
	r := request()
	r.Prefix = chain
	decision, err := pipeline.Place(r, engines)
	if err != nil || decision.Candidate.Slot != 1 || decision.CachedTokens != 768 {
		t.Fatalf("decision %+v, error %v; want slot 1 with 768 cached tokens", decision, err)
	}
	engines[1].Backlog.Add(0, 9000)
	if decision, _ = pipeline.Place(r, engines); decision.Candidate.Slot != 0 {
		t.Error("the request went to the engine with the cached prefix despite its long queue")
	}
}

func TestPrefixIndexFollowsEvents(t *testing.T) {
	index := NewPrefixIndex(100)
	page := engine.CacheEvents{Incarnation: "i1", Next: 4, Events: []engine.CacheEvent{
		{Sequence: 1, Type: engine.CacheStored, Block: 1},
		{Sequence: 2, Type: engine.CacheStored, Block: 2},
		{Sequence: 3, Type: engine.CacheRemoved, Block: 2},
	}}
	index.Apply(0, 5, page)
	if matches := matchOf(index, 5, 1, 2); matches != 1 {
		t.Errorf("%d blocks match, want 1", matches)
	}
	if next := index.NextEvent(5, "i1"); next != 4 {
		t.Errorf("next event %d, want 4", next)
	}
	index.Apply(0, 5, engine.CacheEvents{Incarnation: "i2", Next: 0})
	if matches := matchOf(index, 5, 1, 2); matches != 0 {
		t.Errorf("%d blocks match after a restart, want 0", matches)
	}
}

func matchOf(index *PrefixIndex, slot int, chain ...prefix.Hash) int {
	var matches Matches
	index.Match(chain, 1<<slot, &matches)
	return matches[slot]
}

func TestPrefixIndexStaysWithinCapacity(t *testing.T) {
	index := NewPrefixIndex(100)
	hot := []prefix.Hash{1, 2, 3}
	for i := range 500 {
		index.RecordPlacement(time.Duration(i), i%64, hot)
		index.RecordPlacement(time.Duration(i), i%64, []prefix.Hash{prefix.Hash(1000 + i)})
	}
	if index.Len() > 100 || len(index.order) > 200 {
		t.Errorf("%d blocks, %d in the eviction order; capacity is 100", index.Len(), len(index.order))
	}
	if got := matchOf(index, 499%64, hot...); got != 3 {
		t.Errorf("the prefix in steady use matches %d blocks, want 3", got)
	}
}

func BenchmarkPlace64Engines10kPrefixes(b *testing.B) {
	index := NewPrefixIndex(1 << 20)
	chains := make([][]prefix.Hash, 10_000)
	for i := range chains {
		chains[i] = make([]prefix.Hash, 40)
		for j := range chains[i] {
			chains[i][j] = prefix.Hash(i*1000 + j)
		}
		index.RecordPlacement(0, i%MaxEngines, chains[i])
	}
	engines := make([]*Candidate, MaxEngines)
	for slot := range engines {
		engines[slot] = candidate(slot)
	}
	pipeline := NewDefaultPipeline(index)
	r := request()
	r.PromptTokens = 40 * prefix.BlockTokens
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Prefix = chains[i%len(chains)]
		if _, err := pipeline.Place(r, engines); err != nil {
			b.Fatal(err)
		}
	}
}
