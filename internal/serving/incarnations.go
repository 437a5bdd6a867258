package serving

import (
	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// incarnations implements workerconn.Verifier for engines that tell when they started. The list of
// workers is older than a worker that has just started again under its name, possibly with another
// software version.
type incarnations struct{ node *Node }

// errNotListed means that a worker has left the list since it was chosen. It may have started again under
// its name, at another software version.
var errNotListed = eris.New("the worker has left the list")

// IncarnationRequest implements workerconn.Verifier.
func (i incarnations) IncarnationRequest(key, address string) (*workerconn.Request, error) {
	known, listed := i.node.registry.Get(key)
	switch {
	case worker.BornOf(key) == 0:
		return nil, nil
	case !listed:
		return nil, errNotListed
	case known.Stage == worker.Opaque:
		return nil, nil
	}
	known.Address = address
	i.node.exchange.CountTurn(key) // it arrives there like a request
	return i.node.platform.StateRequest(known, ""), nil
}

// IsIncarnation implements workerconn.Verifier. An answer that doesn't tell when the worker started proves
// nothing: the process may be another one, which is in trouble or not ready yet.
func (i incarnations) IsIncarnation(key string, status int, body []byte) bool {
	born, told := i.node.platform.Born(status, body)
	return told && born == worker.BornOf(key)
}
