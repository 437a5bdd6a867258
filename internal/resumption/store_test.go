package resumption

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestOldestStreamsAreForgottenFirst(t *testing.T) {
	s := newStore(3)
	for i, key := range []Key{1, 2, 3, 1, 4} {
		s.Put(key, Origin{Service: "s", Software: "v1"}, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(5 * time.Second)
	for key, want := range map[Key]bool{1: true, 2: false, 3: true, 4: true} {
		if _, known := s.Get(key, now); known != want {
			t.Errorf("stream %v is known: %v", key, known)
		}
	}
}

func TestStreamsAreForgottenAfterTheirLife(t *testing.T) {
	s := NewStore()
	s.Put(1, Origin{}, start)
	s.Put(2, Origin{}, start)
	s.Put(2, Origin{}, start.Add(Life/2))
	if _, known := s.Get(1, start.Add(Life)); known {
		t.Error("a stream is remembered for too long")
	}
	s.Put(3, Origin{}, start.Add(Life))
	if _, known := s.Get(2, start.Add(Life)); !known || s.Len() != 2 {
		t.Errorf("a stream that went on is known: %v; %d are remembered", known, s.Len())
	}
}

func TestStreamOfAnotherTenantHasAnotherKey(t *testing.T) {
	keys := make(map[Key]bool)
	for _, tenant := range []string{"", "a", "ab"} {
		for _, attempt := range []string{"b1", "1", "ab1"} {
			keys[KeyOf(tenant, attempt)] = true
		}
	}
	if len(keys) != 9 {
		t.Errorf("9 streams have %d keys", len(keys))
	}
}
