package serving

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/settings"
)

const (
	// exchangeParts is the part of the connections of callers that other nodes may have.
	exchangeParts = 10
	// operatorConnections bounds the connections of whoever asks for readiness or metrics.
	operatorConnections = 128
)

// evictionGrace is how long a caller, or another node, may go without progress before its connection can be
// closed to make room.
const evictionGrace = 100 * time.Millisecond

// Memory for the clients of the ports other than that of callers, and the least for callers.
const (
	operatorMemory    = 3 << 20
	exchangeMemory    = 4 << 20
	leastCallerMemory = 4 << 20
)

// Bounds of a head. That of the configuration is checked once the head has been parsed.
const (
	maxHead = 64 << 10
	// headSlack is what comes with a head: the request line, and what follows it in a buffer.
	headSlack       = 8 << 10
	maxOperatorHead = 8 << 10
)

// guards bound the clients of a node's ports.
type guards struct {
	callers, readiness, metrics, exchange *httpguard.Guard
}

// setUpGuards divides the memory and the descriptors of clients among the ports.
func (n *Node) setUpGuards(metrics prometheus.Registerer) {
	const megabyte = 1 << 20
	memory := int64(n.settings.Clients.MemoryShare * float64(n.settings.Limits.MemoryMegabytes) * megabyte)
	connections := httpguard.CallerConnections(n.settings.Limits.Descriptors)
	turns := httpguard.NewTurns()
	n.guards = guards{
		callers: httpguard.New(httpguard.Options{
			Port: "callers", Memory: max(memory-2*operatorMemory-exchangeMemory, leastCallerMemory),
			Connections: connections, Limits: n.callerLimits, Grace: evictionGrace, Turns: turns, Log: n.log,
		}),
		readiness: n.operatorGuard("readiness", operatorMemory, operatorConnections, turns),
		metrics:   n.operatorGuard("metrics", operatorMemory, operatorConnections, turns),
		exchange: httpguard.New(httpguard.Options{
			Port: "exchange", Memory: exchangeMemory, Connections: max(connections/exchangeParts, operatorConnections),
			Limits: n.operatorLimits, Grace: evictionGrace, Turns: turns, Log: n.log,
		}),
	}
	n.pool.SetShort(n.guards.callers.EvictReaders)
	httpguard.Register(metrics, n.guards.callers, n.guards.readiness, n.guards.metrics, n.guards.exchange)
}

// operatorGuard returns the guard of a port whose requests are answered at once: whoever asks for readiness
// must find room although all connections are new.
func (n *Node) operatorGuard(port string, memory int64, connections int, turns *httpguard.Turns) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Port: port, Memory: memory, Connections: connections, Limits: n.operatorLimits, Brief: true, Turns: turns, Log: n.log,
	})
}

// callerLimits returns the limits of single callers: those of the configuration where it has them.
func (n *Node) callerLimits() httpguard.Limits {
	limits := n.operatorLimits()
	limits.HeadBytes = maxHead + headSlack
	table := n.front.Table()
	if table == nil {
		return limits
	}
	if most := table.Limits.MaxHeaderBytes; most > 0 {
		limits.HeadBytes = min(limits.HeadBytes, most+headSlack)
	}
	if timeout := table.Limits.HeaderTimeout; timeout > 0 {
		limits.HeadTimeout = timeout
	}
	if timeout := table.Limits.IdleTimeout; timeout > 0 {
		limits.IdleTimeout = timeout
	}
	return limits
}

// operatorLimits returns the limits of single clients of the other ports.
func (n *Node) operatorLimits() httpguard.Limits {
	clients := n.settings.Clients
	return httpguard.Limits{
		HeadBytes: maxOperatorHead, HeadTimeout: settings.Milliseconds(clients.HeaderMillis), IdleTimeout: settings.Milliseconds(clients.IdleMillis),
		StallTimeout: settings.Milliseconds(clients.StallMillis), AnswerTimeout: settings.Milliseconds(clients.StallMillis),
		LeastRate: clients.LeastBytesPerSecond,
	}
}

// guardedPort is a port with its server and guard.
type guardedPort struct {
	address string
	server  *http.Server
	guard   *httpguard.Guard
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHead + headSlack, ErrorLog: discardLog()}
}
