package resumption

import (
	"sync"
	"time"
)

const (
	// Life is how long a stream is remembered after it began or went on: for as long as it may run,
	// and its caller may come back.
	Life = 2 * time.Minute
	// maxStreams bounds the memory of a Store to some 6 MB. The oldest streams go first.
	maxStreams = 1 << 16
)

// Store remembers the origins of streams. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	limit   int
	streams map[Key]remembered
	// order holds the streams as they were put, the oldest first. An entry whose time isn't that of
	// the stream was put again later.
	order []putEntry
}

type remembered struct {
	origin Origin
	at     time.Time
}

type putEntry struct {
	key Key
	at  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return newStore(maxStreams) }

func newStore(limit int) *Store { return &Store{limit: limit, streams: make(map[Key]remembered)} }

// Put remembers the origin of a stream for Life from now on.
func (s *Store) Put(key Key, origin Origin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[key] = remembered{origin, now}
	s.order = append(s.order, putEntry{key, now})
	s.evict(now)
}

// Get returns the origin of a stream, and false if it isn't known.
func (s *Store) Get(key Key, now time.Time) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, known := s.streams[key]
	if !known || now.Sub(found.at) >= Life {
		return Origin{}, false
	}
	return found.origin, true
}

// Len returns how many streams are remembered.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// evict drops streams whose time is over, and the oldest ones beyond the limit.
func (s *Store) evict(now time.Time) {
	dropped := 0
	for dropped < len(s.order) && (len(s.order)-dropped > s.limit || now.Sub(s.order[dropped].at) >= Life) {
		entry := s.order[dropped]
		if s.streams[entry.key].at.Equal(entry.at) {
			delete(s.streams, entry.key)
		}
		dropped++
	}
	s.order = s.order[dropped:]
}
