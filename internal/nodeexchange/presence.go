package nodeexchange

import "slices"

// PresentZones lists the zones of which some node is heard, this node's own included. Only
// a supervisor hears all nodes.
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
