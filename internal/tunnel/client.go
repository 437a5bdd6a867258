package tunnel

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/httphead"
)

const (
	// maxAsked is how many nodes are asked for one connection. Those that have lost their own link say
	// so at once.
	maxAsked = 8
	// hedgeDelay is how long a node is waited for before the next one is asked too. It is longer
	// than two round trips to another region and the worker.
	hedgeDelay = 60 * time.Millisecond
	// askTimeout bounds one question, which the other node answers after dialTimeout at the latest.
	askTimeout = 400 * time.Millisecond
	// verdictLife is how long it counts that other nodes don't reach a worker, or that one node
	// doesn't. nodeLife is how long a node that gave no answer is asked last.
	verdictLife = 500 * time.Millisecond
	nodeLife    = 2 * time.Second
	// fullLife is for how long a node that has no connection to lend isn't asked for one again.
	fullLife = 100 * time.Millisecond
)

// Results of a question for a connection.
var (
	// ErrRefused means that nothing listens at the worker's address: it has ended.
	ErrRefused = eris.New("other nodes find that nothing listens at the worker's address")
	// ErrUnheard means that other nodes don't reach the worker either.
	ErrUnheard  = eris.New("other nodes don't reach the worker either")
	errLinkLost = eris.New("the other node has lost its own link to the worker")
	errUnknown  = eris.New("the other node doesn't know the worker")
	errFull     = eris.New("the other node has no connection to lend")
	// ErrNoNode means that no other node could tell.
	ErrNoNode = eris.New("no other node that reaches workers could be asked")
)

// Fleet knows the other nodes.
type Fleet interface {
	// TunnelNodes returns the present nodes that open connections for others and reach workers,
	// the preferred ones for a worker first.
	TunnelNodes(worker string) []netip.AddrPort
	// Nodes returns the number of nodes, this one included.
	Nodes() int
	// OpensTunnels reports whether a node is one of them.
	OpensTunnels(node netip.AddrPort) bool
}

// Client opens connections to workers through other nodes. It is safe for concurrent use.
type Client struct {
	node  string
	fleet Fleet
	dial  func(ctx context.Context, address string) (net.Conn, error)
	log   *logrus.Logger

	mu sync.Mutex
	// open counts the tunnels through each node.
	open map[netip.AddrPort]int
	// silent holds until when a node is asked last, since it gave no answer.
	silent map[netip.AddrPort]time.Time
	// unable holds until when a node isn't asked for a connection to a worker, since it doesn't reach
	// the worker.
	unable map[pair]time.Time
	// verdicts holds what other nodes found out about workers that they don't reach.
	verdicts map[string]verdict
}

// pair is a node and a worker, for one of the two kinds of tunnels.
type pair struct {
	node   netip.AddrPort
	worker string
	lent   bool
}

// question is what a node is asked for: a tunnel to a worker for a request. A lent one counts as a
// connection of the node that is asked.
type question struct {
	worker, request string
	lent            bool
}

func (q question) at(node netip.AddrPort) pair { return pair{node, q.worker, q.lent} }

// path returns the path of the question, as it is and escaped.
func (q question) path() (path, raw string) {
	prefix := pathPrefix
	if q.lent {
		prefix = lentPrefix
	}
	return prefix + q.worker, prefix + url.PathEscape(q.worker)
}

type verdict struct {
	err   error
	until time.Time
}

// NewClient returns a client of the node with the given incarnation, which connects to other nodes
// by dial.
func NewClient(node string, fleet Fleet, dial func(ctx context.Context, address string) (net.Conn, error), log *logrus.Logger) *Client {
	return &Client{
		node: node, fleet: fleet, dial: dial, log: log,
		open: make(map[netip.AddrPort]int), silent: make(map[netip.AddrPort]time.Time), unable: make(map[pair]time.Time), verdicts: make(map[string]verdict),
	}
}

// Open opens a connection to a worker through another node, for a request. The error is ErrRefused,
// ErrUnheard, ErrNoNode or that of the context.
func (c *Client) Open(ctx context.Context, worker, request string) (*Conn, error) {
	now := time.Now()
	if err := c.knownVerdict(worker, now); err != nil {
		return nil, err
	}
	opened, err := c.openThrough(ctx, question{worker: worker, request: request})
	if err != nil {
		c.remember(worker, err, time.Now())
	}
	return opened, err
}

// Borrow opens a connection to a worker that counts as one of another node, for a request. The
// errors are those of Open; ErrNoNode also means that no node has one to lend.
func (c *Client) Borrow(ctx context.Context, worker, request string) (*Conn, error) {
	return c.openThrough(ctx, question{worker: worker, request: request, lent: true})
}

func (c *Client) openThrough(ctx context.Context, q question) (*Conn, error) {
	begun := time.Now()
	nodes := c.choose(c.fleet.TunnelNodes(q.worker), q, begun)
	if len(nodes) == 0 {
		return nil, ErrNoNode
	}
	opened, err := c.askInTurn(ctx, nodes, q)
	if err != nil {
		return nil, err
	}
	c.log.WithFields(logrus.Fields{
		"worker": q.worker, "node": opened.node.String(), "id": q.request, "lent": q.lent, "took_us": time.Since(begun).Microseconds(),
	}).Info("connection opened through another node")
	return opened, nil
}

// Usable reports whether the node of a tunnel still opens connections for others. It doesn't once
// it is about to stop, has lost its own links or is gone.
func (c *Client) Usable(opened *Conn) bool { return c.fleet.OpensTunnels(opened.node) }

func (c *Client) knownVerdict(worker string, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, exists := c.verdicts[worker]
	if exists && now.Before(known.until) {
		return known.err
	}
	delete(c.verdicts, worker)
	return nil
}

// remember keeps what other nodes found out about a worker.
func (c *Client) remember(worker string, err error, now time.Time) {
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnheard) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.verdicts, func(_ string, known verdict) bool { return now.After(known.until) })
	c.verdicts[worker] = verdict{err: err, until: now.Add(verdictLife)}
}

// choose returns the nodes to be asked: those that have answered first, and of these the ones with
// the fewest of this node's tunnels, so that the nodes which are left with their links share the
// load of the others.
func (c *Client) choose(nodes []netip.AddrPort, q question, now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.silent, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(c.unable, func(_ pair, until time.Time) bool { return now.After(until) })
	nodes = slices.DeleteFunc(nodes, func(node netip.AddrPort) bool {
		_, isUnable := c.unable[q.at(node)]
		return isUnable
	})
	silence := func(node netip.AddrPort) int {
		if _, isSilent := c.silent[node]; isSilent {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(nodes, func(a, b netip.AddrPort) int {
		return cmp.Or(silence(a)-silence(b), c.open[a]-c.open[b])
	})
	return nodes[:min(len(nodes), maxAsked)]
}

// reply is the result of asking one node.
type reply struct {
	opened *Conn
	err    error
}

// askInTurn asks one node after the other, the next one when the one before has given no tunnel or
// no answer for hedgeDelay.
func (c *Client) askInTurn(ctx context.Context, nodes []netip.AddrPort, q question) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(nodes))
	timer := time.NewTimer(0)
	defer timer.Stop()
	asked, pending := 0, 0
	var found findings
	for {
		select {
		case <-timer.C:
			if asked < len(nodes) {
				node := nodes[asked]
				asked, pending = asked+1, pending+1
				go func() { replies <- c.ask(ctx, node, q) }()
				timer.Reset(hedgeDelay)
			}
		case got := <-replies:
			pending--
			switch {
			case got.err == nil:
				go closeLate(replies, pending)
				return got.opened, nil
			case errors.Is(got.err, ErrRefused):
				found.refused++
			case errors.Is(got.err, ErrUnheard):
				found.unheard++
			}
			if asked < len(nodes) {
				timer.Reset(0)
			} else if pending == 0 {
				return nil, c.judge(found)
			}
		case <-ctx.Done():
			go closeLate(replies, pending)
			return nil, context.Cause(ctx)
		}
	}
}

// findings counts the nodes that don't reach a worker, by what they found.
type findings struct{ refused, unheard int }

// minFindings is how many other nodes must not reach a worker either to confirm that it isn't
// reached: one alone may have lost its link at the same time.
const minFindings = 2

// judge returns the result of a question that no node answered with a tunnel.
func (c *Client) judge(found findings) error {
	least := min(minFindings, c.fleet.Nodes()-1)
	switch {
	case found.refused > 0 && found.refused >= least:
		return ErrRefused
	case found.refused+found.unheard > 0 && found.refused+found.unheard >= least:
		return ErrUnheard
	}
	return ErrNoNode
}

// closeLate closes the tunnels that come after another one was taken.
func closeLate(replies <-chan reply, pending int) {
	for range pending {
		if got := <-replies; got.opened != nil {
			_ = got.opened.Close()
		}
	}
}

// ask asks one node for a connection.
func (c *Client) ask(ctx context.Context, node netip.AddrPort, q question) reply {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	opened, err := c.openAt(askCtx, node, q)
	if err != nil && ctx.Err() == nil {
		c.recordFailure(node, q, err, time.Now())
		c.log.WithFields(logrus.Fields{"worker": q.worker, "node": node.String(), "id": q.request, "lent": q.lent, "cause": err.Error()}).
			Warn("another node opens no connection")
	}
	return reply{opened: opened, err: err}
}

// recordFailure keeps a node from being asked again soon: for this worker if it doesn't reach it, and
// for all workers if it gave no answer.
func (c *Client) recordFailure(node netip.AddrPort, q question, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, ErrRefused):
	case errors.Is(err, ErrUnheard), errors.Is(err, errLinkLost), errors.Is(err, errUnknown):
		c.unable[q.at(node)] = now.Add(verdictLife)
	case errors.Is(err, errFull):
		c.unable[q.at(node)] = now.Add(fullLife)
	default:
		c.silent[node] = now.Add(nodeLife)
	}
}

func (c *Client) openAt(ctx context.Context, node netip.AddrPort, q question) (*Conn, error) {
	inner, err := c.dial(ctx, node.String())
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = inner.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = inner.SetDeadline(time.Unix(1, 0)) })
	reader := httphead.NewReader(inner, lengthBytes+frameBytes)
	counts, err := upgrade(inner, reader, node, c.header(q.request), q)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	_ = inner.SetDeadline(time.Time{})
	c.count(node, 1)
	return &Conn{Conn: inner, node: node, reader: reader.Reader, counts: counts, closed: sync.OnceFunc(func() { c.count(node, -1) })}, nil
}

func (c *Client) header(request string) http.Header {
	return http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerNode: {c.node}, headerRequest: {request},
	}
}

func (c *Client) count(node netip.AddrPort, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[node] += change
	if c.open[node] <= 0 {
		delete(c.open, node)
	}
}

// upgrade asks for the tunnel on a connection to a node. counts is set if the node sends a count with the end of the
// worker's connection.
func upgrade(inner net.Conn, reader *httphead.Reader, node netip.AddrPort, header http.Header, q question) (counts bool, err error) {
	path, raw := q.path()
	target := &url.URL{Scheme: "http", Host: node.String(), Path: path, RawPath: raw}
	request := &http.Request{Method: http.MethodGet, URL: target, Header: header, Host: node.String()}
	if err := request.Write(inner); err != nil {
		return false, err
	}
	response, err := reader.ReadHead(request)
	if err != nil {
		return false, err
	}
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return response.Header.Get(headerCounts) != "", nil
	case response.StatusCode == http.StatusNotFound && (q.lent || response.Header.Get(headerCause) == causeUnknown):
		return false, errUnknown
	case response.StatusCode == http.StatusBadGateway && response.Header.Get(headerCause) == causeRefused:
		return false, ErrRefused
	case response.Header.Get(headerCause) == causeFull:
		return false, errFull
	case response.StatusCode == http.StatusBadGateway && response.Header.Get(headerCause) == causeLost:
		return false, errLinkLost
	case response.StatusCode == http.StatusBadGateway:
		return false, ErrUnheard
	}
	return false, eris.Errorf("the node at %s answered %d; see its log for a connection that was refused", node, response.StatusCode)
}
