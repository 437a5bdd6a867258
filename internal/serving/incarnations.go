package serving

import (
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// incarnations implements workerconn.Verifier for engines that tell when they started. The list of
// workers is older than a worker that has just started again under its name, possibly with another
// software version.
type incarnations struct{ node *Node }

// IncarnationRequest implements workerconn.Verifier.
func (i incarnations) IncarnationRequest(key, address string) *workerconn.Request {
	known, listed := i.node.registry.Get(key)
	if worker.BornOf(key) == 0 || !listed || known.Stage == worker.Opaque {
		return nil
	}
	known.Address = address
	i.node.exchange.CountTurn(key) // it arrives there like a request
	return i.node.platform.StateRequest(known, "")
}

// IsIncarnation implements workerconn.Verifier. An answer that doesn't tell when the worker started
// proves nothing against it.
func (i incarnations) IsIncarnation(key string, status int, body []byte) bool {
	born, told := i.node.platform.Born(status, body)
	return !told || born == worker.BornOf(key)
}
