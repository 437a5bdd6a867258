package serving

import (
	"cmp"
	"slices"

	"github.com/tinarch/tinarch/internal/stagecontrol"
)

// controller plans the stages of the engines.
func (n *Node) controller() *stagecontrol.Controller {
	return stagecontrol.New(stagecontrol.Options{
		Self: n.identity, Authority: n.authority, Wire: n.platform,
		Fleet: n.registry, Pool: n.pool, Log: n.log,
		Services:   n.engineServices,
		Designated: n.designated,
	})
}

// designated reports whether the other nodes expect this one to act for all.
func (n *Node) designated() bool { return n.Ready() && n.exchange.Designated() }

// engineServices lists the services of engines.
func (n *Node) engineServices() []stagecontrol.Service {
	table := n.front.Table()
	if table == nil {
		return nil
	}
	var services []stagecontrol.Service
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		services = append(services, stagecontrol.Service{
			Name: service.Name, Switch: service.Engine.RoleSwitch,
		})
	}
	slices.SortFunc(services, func(left, right stagecontrol.Service) int { return cmp.Compare(left.Name, right.Name) })
	return services
}
