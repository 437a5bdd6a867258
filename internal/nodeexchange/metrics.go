package nodeexchange

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count the messages and bytes sent, by kind and by distance: within the zone, within
// the region, or to another region.
type Metrics struct {
	messages, bytes *prometheus.CounterVec
	// grants counts the engines granted to waiting requests of this node, by what became of
	// the grant.
	grants *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	labels := []string{"kind", "to"}
	m := &Metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_exchange_messages_total", Help: "Messages sent to other nodes, by kind and distance.",
		}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_exchange_bytes_total", Help: "Bytes of messages sent to other nodes, by kind and distance.",
		}, labels),
	}
	m.grants = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_wait_grants_total", Help: "Engines granted to waiting requests of this node, by what became of the grant.",
	}, []string{"outcome"})
	registry.MustRegister(m.messages, m.bytes, m.grants)
	return m
}

// SetMetrics sets the metrics. It must be called before Run.
func (e *Exchange) SetMetrics(metrics *Metrics) { e.metrics = metrics }

// distanceTo returns the distance to a node, as a label of the metrics.
func (e *Exchange) distanceTo(address netip.AddrPort) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	zone := ""
	if known, exists := e.peers.peers[address]; exists {
		zone = known.zone
	}
	return e.peers.places.DistanceTo(zone).String()
}

// sent counts a datagram.
func (m *Metrics) sent(kind, to string, bytes int) {
	m.messages.WithLabelValues(kind, to).Inc()
	m.bytes.WithLabelValues(kind, to).Add(float64(bytes))
}

// The kinds of messages in metrics. Those of kind "words" hold announcements about tables, or
// ask for them.
const (
	kindLoad          = "load"
	kindQuestion      = "question"
	kindReply         = "reply"
	kindContents      = "contents"
	kindUsage         = "usage"
	kindMemory        = "memory"
	kindNews          = "news"
	kindAnnouncements = "words"
	kindDeparted      = "departed"
	kindSuspects      = "suspects"
	kindQuota         = "quota"
	kindTurns         = "turns"
	kindWaits         = "waits"
)

// kind returns the kind of a message, as a label of the metrics.
func (m Message) kind() string {
	switch {
	case m.Question != nil:
		return kindQuestion
	case m.Reply != nil:
		return kindReply
	case m.Contents != nil:
		return kindContents
	case m.Usage != nil, m.UsageReply != nil, m.WantUsage != 0, m.Gathered != nil, m.Records != nil:
		return kindUsage
	case m.WantMemory != nil, m.Memory:
		return kindMemory
	case m.News != nil:
		return kindNews
	case m.Announcements != nil, m.WantAnnouncements:
		return kindAnnouncements
	case m.Departed != nil:
		return kindDeparted
	case m.Suspects != nil:
		return kindSuspects
	case m.Quota != nil:
		return kindQuota
	case m.Turns != nil:
		return kindTurns
	case m.Waits != nil:
		return kindWaits
	}
	return kindLoad
}
