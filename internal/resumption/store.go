package resumption

import (
	"sync"
	"time"
)

const (
	// Life is how long a stream is remembered after it began or went on: for as long as it may run,
	// and its caller may come back.
	Life = 2 * time.Minute
	// maxStreams bounds the memory of a Store to some 5 MB. The oldest streams go first.
	maxStreams = 1 << 16
)

// Store remembers the origins of streams. It is safe for concurrent use.
type Store struct {
	started time.Time
	limit   int

	mu      sync.Mutex
	streams map[Key]remembered
	// origins holds each origin once: streams have few different ones.
	origins map[Origin]*Origin
	// order holds the streams as they were put, the oldest first. An entry whose time isn't that of
	// the stream was put again later.
	order []putEntry
}

// remembered is a stream and when it was put, counted from the start of the store: a step of the wall
// clock must not end its life.
type remembered struct {
	origin *Origin
	at     time.Duration
}

type putEntry struct {
	key Key
	at  time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store { return newStore(maxStreams) }

func newStore(limit int) *Store {
	return &Store{started: time.Now(), limit: limit, streams: make(map[Key]remembered), origins: make(map[Origin]*Origin)}
}

// Put remembers the origin of a stream for Life from now on.
func (s *Store) Put(key Key, origin Origin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared, known := s.origins[origin]
	if !known {
		shared = &origin
		s.origins[origin] = shared
	}
	at := now.Sub(s.started)
	s.streams[key] = remembered{shared, at}
	s.order = append(s.order, putEntry{key, at})
	s.evict(at)
}

// Get returns the origin of a stream, and false if it isn't known.
func (s *Store) Get(key Key, now time.Time) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, known := s.streams[key]
	if !known || isOver(found.at, now.Sub(s.started)) {
		return Origin{}, false
	}
	return *found.origin, true
}

// Len returns how many streams are remembered.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// isOver reports whether a stream that was put at a time has been remembered for its Life.
func isOver(at, now time.Duration) bool { return now-at >= Life }

// evict drops streams whose time is over, and the oldest ones beyond the limit.
func (s *Store) evict(now time.Duration) {
	dropped := 0
	for dropped < len(s.order) && (len(s.order)-dropped > s.limit || isOver(s.order[dropped].at, now)) {
		entry := s.order[dropped]
		if s.streams[entry.key].at == entry.at {
			delete(s.streams, entry.key)
		}
		dropped++
	}
	s.order = s.order[dropped:]
}
