package nodeexchange

import "slices"

// PresentZones returns the zones in which at least one node is present, including this node's
// own. Only a supervisor hears from all nodes.
func (e *Exchange) PresentZones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones := []string{e.zone}
	for _, known := range e.peers.peers {
		if known.present && !slices.Contains(zones, known.zone) {
			zones = append(zones, known.zone)
		}
	}
	return zones
}
