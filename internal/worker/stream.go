package worker

import "github.com/tinarch/tinarch/internal/resumption"

// Stream is a stream of a caller that a worker has begun, or gone on with.
type Stream struct {
	Worker string
	Key    resumption.Key
	Origin resumption.Origin
}

// ObserveStream queues a stream for the other nodes.
func (r *Registry) ObserveStream(stream Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, stream)
	r.touch(stream.Worker)
}
