package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/result"
)

// Offsets of the served ports from the base port.
const (
	portTable    = 0
	portObjects  = 1
	portMachines = 2
	portFaults   = 3
	portEngines  = 10
)

// Serve starts a deployment's platform services and engines on fixed ports, from base on, for
// nodes that run in processes of their own.
func Serve(deployment Deployment, base int) (*Cluster, error) {
	options := deployment.Options()
	c := &Cluster{options: options}
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	var err error
	if c.Table, err = platform.StartTable(address(portTable)); err != nil {
		return nil, err
	}
	if c.Objects, err = platform.StartObjects(address(portObjects)); err != nil {
		c.Close()
		return nil, err
	}
	if c.Machines, err = platform.StartMachines(address(portMachines), options.ListLag); err != nil {
		c.Close()
		return nil, err
	}
	number := 0
	if err := c.startEnginesAt(func() string {
		number++
		return address(portEngines + number - 1)
	}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// faultRequest is the body of POST /faults.
type faultRequest struct {
	// Service is table, objects or machines.
	Service           string  `json:"service"`
	Down              bool    `json:"down"`
	DelayMillis       int     `json:"delay_ms"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	LoseAnswers       int     `json:"lose_answers"`
}

// ServeFaults serves an HTTP interface to inject faults by hand. POST /faults sets the faults
// of a platform service, POST /leaving?engine=NAME marks an engine as about to be removed (with
// undo set, it removes the mark), and GET /machines returns the machine list without its lag.
func (c *Cluster) ServeFaults(base int) (*http.Server, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portFaults))
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "the faults port")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", c.postFaults)
	mux.HandleFunc("POST /leaving", func(w http.ResponseWriter, r *http.Request) {
		c.SetLeaving(r.URL.Query().Get("engine"), r.URL.Query().Get("undo") == "")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		content, _ := machines.Render(c.Machines.Current())
		_, _ = w.Write(content)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func (c *Cluster) postFaults(w http.ResponseWriter, r *http.Request) {
	var request faultRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := platform.Faults{
		Down: request.Down, Delay: time.Duration(request.DelayMillis) * time.Millisecond,
		RequestsPerSecond: request.RequestsPerSecond, LoseAnswers: request.LoseAnswers,
	}
	switch request.Service {
	case "table":
		c.Table.SetFaults(faults)
	case "objects":
		c.Objects.SetFaults(faults)
	case "machines":
		c.Machines.SetFaults(faults)
	default:
		http.Error(w, "service must be table, objects or machines", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cluster) startEnginesAt(nextAddress func() string) error {
	for _, pool := range c.options.Pools {
		for i := range pool.Count {
			started, err := labengine.Start(nextAddress(), labengine.Options{
				Name:            fmt.Sprintf("%s-%02d", pool.Name, i+1),
				Model:           pool.Model,
				TimeScale:       c.options.TimeScale,
				ReportLag:       c.options.ReportLag,
				DropCacheEvents: dropEveryCacheEvent,
			})
			if err != nil {
				return err
			}
			c.Engines = append(c.Engines, started)
			c.list = append(c.list, machines.Machine{
				Kind: machines.KindEngine, Name: started.Name(), Address: started.Address(),
				Pool: pool.Name, Zone: c.zone(i),
			})
		}
	}
	c.Machines.Set(c.list)
	return nil
}

// dropEveryCacheEvent is the n for which engines drop every n-th cache event.
const dropEveryCacheEvent = 50
