package serving

import (
	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/settings"
)

// overload returns for which services the dispatcher makes its decisions under overload.
func (n *Node) overload() dispatch.Overload {
	scopes := n.settings.Overload
	return dispatch.Overload{
		SingleRead:    n.selects(scopes.SingleRead),
		Waiting:       n.selects(scopes.Waiting),
		SpreadRetries: n.selects(scopes.SpreadRetries),
	}
}

// selects returns a function that reports whether a scope selects a service.
func (n *Node) selects(scope settings.Scope) func(service string) bool {
	return func(service string) bool { return scope.Selects(n.registry.Uneven(service)) }
}
