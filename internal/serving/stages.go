package serving

import (
	"cmp"
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/stagecontrol"
)

// stageController returns the controller of the engines' stages.
func (n *Node) stageController(metrics prometheus.Registerer) *stagecontrol.Controller {
	return stagecontrol.New(stagecontrol.Options{
		Self: n.incarnation, Authority: n.authority, Wire: n.platform,
		Fleet: n.registry, Pool: n.calls(), Log: n.log,
		Services:   n.engineServices,
		Designated: n.Designated,
		Hears:      n.hearsRegion,
		Unfenced:   !n.settings.Bounds.Fencing, Store: n.platform,
		Metrics: stagecontrol.NewMetrics(metrics),
	})
}

// hearsRegion reports whether any node of a region is heard from.
func (n *Node) hearsRegion(region string) bool {
	return slices.ContainsFunc(n.exchange.PresentZones(), func(zone string) bool { return n.registry.RegionOfZone(zone) == region })
}

// Designated reports whether the other nodes expect this one to act for all.
func (n *Node) Designated() bool { return n.Ready() && n.exchange.Designated() }

// engineServices returns the services whose workers are engines.
func (n *Node) engineServices() []stagecontrol.Service {
	var services []stagecontrol.Service
	for _, service := range n.servicesByName() {
		if service.Engine != nil {
			services = append(services, stagecontrol.Service{
				Name: service.Name, Switch: service.Engine.RoleSwitch,
				ColdStart: n.selects(n.settings.Overload.ColdStart)(service.Name),
				Empty:     n.settings.Node.FirstStart && !n.registry.Asked(service.Name),
				// Few nodes can't let in enough requests to keep many more engines reading.
				MaxPreparing: n.exchange.Nodes(),
			})
		}
	}
	return services
}

// servicesByName returns the services in force, sorted by name.
func (n *Node) servicesByName() []*routing.Service {
	table := n.front.Table()
	if table == nil {
		return nil
	}
	services := slices.Collect(maps.Values(table.Services()))
	slices.SortFunc(services, func(a, b *routing.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}
