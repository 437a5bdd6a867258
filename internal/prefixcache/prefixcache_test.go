package prefixcache

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var origin = time.Unix(0, 0)

func at(second int) time.Time { return origin.Add(time.Duration(second) * time.Second) }

func TestMatchCountsOnlyTheLeadingParts(t *testing.T) {
	cache := New(1000)
	cache.Use([]Part{{1, 100}, {2, 50}, {3, 25}}, at(1))
	for _, example := range []struct {
		prompt []Part
		want   int
	}{
		{[]Part{{1, 100}, {2, 50}, {9, 10}}, 150},
		{[]Part{{9, 10}, {1, 100}}, 0},
		{[]Part{{1, 100}, {9, 10}, {3, 25}}, 100},
		{nil, 0},
	} {
		if got := cache.Match(example.prompt); got != example.want {
			t.Errorf("%v: %d tokens match, want %d", example.prompt, got, example.want)
		}
	}
}

func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	cache := New(250)
	cache.Use([]Part{{1, 100}}, at(1))
	cache.Use([]Part{{2, 100}}, at(2))
	cache.Use([]Part{{1, 100}}, at(3))
	cache.Use([]Part{{3, 100}}, at(4))
	if cache.Match([]Part{{2, 100}}) != 0 || cache.Match([]Part{{1, 100}}) != 100 || cache.Match([]Part{{3, 100}}) != 100 {
		t.Errorf("cached %v, want parts 1 and 3", cache.entries)
	}
	cache.Clear()
	if cache.Size() != 0 || cache.Match([]Part{{1, 100}}) != 0 {
		t.Error("something is cached after Clear")
	}
}

func TestSizeStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := New(500)
		for second := range rapid.IntRange(1, 40).Draw(t, "uses") {
			part := Part{ID: PartID(rapid.IntRange(0, 9).Draw(t, "id")), Tokens: rapid.IntRange(0, 300).Draw(t, "tokens")}
			cache.Use([]Part{part}, at(second))
			sum := 0
			for _, kept := range cache.entries {
				sum += kept.tokens
			}
			if sum != cache.Size() || sum > 500 {
				t.Fatalf("%d tokens cached, Size returns %d", sum, cache.Size())
			}
		}
	})
}
