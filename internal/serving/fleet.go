package serving

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/fleetsize"
	"github.com/tinarch/tinarch/internal/settings"
)

// startFleetControl starts the controller of the number of workers if the platform accepts
// orders for workers.
func (n *Node) startFleetControl(ctx context.Context, metrics *prometheus.Registry) {
	if !n.settings.API.HasDuty(settings.DutyAutoscale) {
		return
	}
	controller := fleetsize.New(fleetsize.Options{
		Node: n.settings.Node.Name, Authority: n.authority, Store: n.platform, API: n.api,
		Workers: n.registry, Services: n.scaledServices, Designated: n.Designated, Log: n.log,
		Nodes: n.exchange.Nodes, Metrics: fleetsize.NewMetrics(metrics), Heartbeat: settings.Milliseconds(n.settings.Bounds.HeartbeatMillis),
	})
	n.work.Go(func() { controller.Run(ctx) })
}

// scaledServices returns the services whose number of workers is controlled.
func (n *Node) scaledServices() []fleetsize.Service {
	var services []fleetsize.Service
	for _, service := range n.servicesByName() {
		if service.Scaling != nil {
			services = append(services, fleetsize.Service{Name: service.Name, Terms: service.Scaling})
		}
	}
	return services
}
