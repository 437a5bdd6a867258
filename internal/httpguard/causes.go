package httpguard

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Cause is why a client was refused or its connection closed.
type Cause string

// The causes. Those up to NoRoomForRequest concern clients that come when there is no room.
const (
	NoRoomToAccept   Cause = "no room to accept"
	NoRoomForHead    Cause = "no room for the head"
	NoRoomForBody    Cause = "no room for the body"
	NoRoomForRequest Cause = "no room for the request"
	HeadTooLarge     Cause = "head too large"
	HeadTooSlow      Cause = "head too slow"
	Idle             Cause = "idle"
	// Stalled clients send a body or read an answer too slowly.
	Stalled Cause = "stalled"
	// Evicted connections made room for others.
	Evicted Cause = "evicted"
)

// answer returns the whole answer to a client whose request isn't parsed.
func (c Cause) answer() string {
	const rest = "\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\n\r\n"
	if c == HeadTooLarge {
		return "HTTP/1.1 431 Request Header Fields Too Large" + rest
	}
	return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1" + rest
}

// logInterval is the least time between two log lines of a cause.
const logInterval = time.Second

// count counts a refused or closed connection, and logs one of each cause a second. The caller holds the
// lock.
func (g *Guard) count(cause Cause, remote net.Conn, now time.Time) {
	g.ended[cause]++
	if cause == Idle || g.options.Log == nil || now.Sub(g.logged[cause]) < logInterval {
		return
	}
	g.logged[cause] = now
	g.options.Log.WithFields(logrus.Fields{
		"port": g.options.Port, "cause": string(cause), "client": remote.RemoteAddr().String(), "times": g.ended[cause],
		"connections": len(g.conns), "held": g.used, "budget": g.options.Memory,
	}).Warn("client refused or closed")
}

// Register registers the metrics of guards.
func Register(registry prometheus.Registerer, guards ...*Guard) {
	registry.MustRegister(collector(guards))
}

var (
	descConnections = prometheus.NewDesc("tinarch_client_connections", "Open connections of clients.", []string{"port"}, nil)
	descHeld        = prometheus.NewDesc("tinarch_client_memory_bytes", "Memory reserved for clients.", []string{"port"}, nil)
	descBudget      = prometheus.NewDesc("tinarch_client_memory_budget_bytes", "Memory that clients may hold.", []string{"port"}, nil)
	descTurns       = prometheus.NewDesc("tinarch_client_turn_wait_seconds_total", "Time that connections without credit have waited for their turns.", nil, nil)
	descEnded       = prometheus.NewDesc("tinarch_client_refused_total", "Clients that were refused or whose connection was closed, by cause.", []string{"port", "cause"}, nil)
)

type collector []*Guard

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{descConnections, descHeld, descBudget, descTurns, descEnded} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	if len(c) > 0 { // the ports of a process share their turns
		waited := time.Duration(c[0].options.Turns.waited.Load())
		out <- prometheus.MustNewConstMetric(descTurns, prometheus.CounterValue, waited.Seconds())
	}
	for _, g := range c {
		port := g.options.Port
		connections, held, causes := g.figures()
		out <- prometheus.MustNewConstMetric(descConnections, prometheus.GaugeValue, float64(connections), port)
		out <- prometheus.MustNewConstMetric(descHeld, prometheus.GaugeValue, float64(held), port)
		out <- prometheus.MustNewConstMetric(descBudget, prometheus.GaugeValue, float64(g.options.Memory), port)
		for cause, times := range causes {
			out <- prometheus.MustNewConstMetric(descEnded, prometheus.CounterValue, float64(times), port, string(cause))
		}
	}
}

func (g *Guard) figures() (connections int, held int64, causes map[Cause]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	causes = make(map[Cause]uint64, len(g.ended))
	for cause, times := range g.ended {
		causes[cause] = times
	}
	return len(g.conns), g.used, causes
}
