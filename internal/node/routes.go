package node

import (
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/ingress"
	"github.com/tinarch/tinarch/internal/notices"
	"github.com/tinarch/tinarch/internal/plainhttp"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// routedServices serves the catalog's routes by the plain workers in the machine list.
type routedServices struct {
	ingress  *ingress.Handler
	dispatch *dispatch.Dispatcher
	registry *worker.Registry
	pool     *workerconn.Pool
	limits   routing.Limits
}

// retryLimits bounds how many requests of routes are sent to a second worker.
var retryLimits = retry.Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

func (n *Node) buildRoutes() {
	registry := worker.NewRegistry(topology.New(n.self.Zone, nil))
	pool := workerconn.NewPool()
	pool.SetMonitor(notices.New(notices.Options{
		Registry: registry, Read: plainhttp.Protocol{}.Notice, Log: n.options.Log, Metrics: n.registry,
		ListAge: func() time.Duration { return 0 }, // this list has no version, so its age is unknown
	}))
	dispatcher := dispatch.New(dispatch.Options{
		Registry: registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: pool,
		Wire: plainhttp.Protocol{}, Log: n.options.Log, Metrics: dispatch.NewMetrics(n.registry),
		Nodes: func() int { return max(len(n.Candidates()), 1) }, Retries: retryLimits,
	})
	n.routes = &routedServices{
		ingress: ingress.New(ingress.Options{
			Parser: plainhttp.Protocol{}, Runner: dispatcher, Log: n.options.Log, Metrics: ingress.NewMetrics(n.registry),
		}),
		dispatch: dispatcher,
		registry: registry,
		pool:     pool,
		limits:   routing.Limits{MaxBodyBytes: n.settings.Limits.MaxBodyBytes},
	}
}

// withRoutes returns a handler that serves requests for which there is a route, and passes all
// others to next.
func (s *routedServices) withRoutes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.ingress.HasRoute(request) {
			s.ingress.ServeHTTP(writer, request)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// setCatalog applies the routes of a configuration revision.
func (s *routedServices) setCatalog(snapshot *catalog.Snapshot) error {
	table, err := snapshot.Routes(s.limits)
	if err != nil {
		return err
	}
	s.ingress.SetTable(table)
	return nil
}

// setMachines replaces the workers by those in the machine list.
func (s *routedServices) setMachines(list []machines.Machine, snapshot *catalog.Snapshot) {
	var workers []worker.Worker
	for _, machine := range list {
		if machine.Kind != machines.KindWorker {
			continue
		}
		slots := 0
		if snapshot != nil {
			slots = snapshot.SlotsOf(machine.Pool)
		}
		workers = append(workers, worker.Worker{
			ID: machine.Name, Service: machine.Pool, Address: machine.Address, Zone: machine.Zone,
			Slots: slots, Draining: machine.Leaving,
		})
	}
	_, gone := s.registry.Replace(workers)
	for _, id := range gone {
		s.pool.CloseIdle(id)
	}
}
