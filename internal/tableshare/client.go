package tableshare

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/httphead"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// Timeouts and bounds of a node that asks others.
const (
	// callTimeout bounds one call including its response body: a table of a megabyte takes 0.4
	// s over a link of 20 Mbit/s, and a node sends it to four others at a time.
	callTimeout = 4 * time.Second
	// tableHedgeDelay is how long nodes that have nothing yet, or don't answer, are waited for
	// before the next one is asked too: they may be cut off from what they wait for, or be
	// down. changesHedgeDelay is the same for changes.
	tableHedgeDelay   = time.Second
	changesHedgeDelay = 200 * time.Millisecond
	// retryDelay is the pause before a node that has nothing yet is asked again.
	retryDelay = 50 * time.Millisecond
	// tableTimeout is how long a starting node waits for a whole table. The nodes through which
	// a table reaches it get it one after the other.
	tableTimeout = 8 * time.Second
	// atOnceTimeout and atOnceHedgeDelay are the same for a node that is to read the table at
	// the store, and only asks for what others already hold.
	atOnceTimeout    = 300 * time.Millisecond
	atOnceHedgeDelay = 100 * time.Millisecond
	// changesTimeout is how long a node waits for another to begin to send changes. It is short
	// because the store can return them as well.
	changesTimeout = 600 * time.Millisecond
	// maxBody bounds a response body, and maxHeader its header.
	maxBody   = 8 << 20
	maxHeader = 64 << 10
	// maxIdleConnections and idleTimeout bound the connections kept to other nodes.
	maxIdleConnections = 1
	idleTimeout        = 5 * time.Second
)

// errNothingNewer means that a node has nothing newer to send yet.
var errNothingNewer = eris.New("the node has no newer copy of the table yet")

// Fleet selects the other nodes to be asked for tables.
type Fleet interface {
	// TableProviders returns the nodes to be asked for a whole table, in order, and none if
	// this node is to read it at the store. It may wait until the nodes are known.
	TableProviders(ctx context.Context) []netip.AddrPort
	// Neighbours returns some nodes that may already hold the table. It is used if there are no
	// TableProviders.
	Neighbours() []netip.AddrPort
	// ChangeProviders returns the nodes to be asked for changes, in order. holders are nodes
	// that have announced the changes.
	ChangeProviders(table string, holders []netip.AddrPort) []netip.AddrPort
}

// Client fetches tables from other nodes.
type Client struct {
	fleet  Fleet
	server *Server
	client *http.Client
	log    *logrus.Logger
}

// NewClient returns a client that connects with dial, and passes what it fetches to server,
// which sends it on to other nodes.
func NewClient(fleet Fleet, server *Server, dial func(ctx context.Context, network, address string) (net.Conn, error), log *logrus.Logger) *Client {
	return &Client{
		fleet: fleet, server: server, log: log,
		client: &http.Client{Transport: httphead.Transport(&http.Transport{
			DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeader,
		})},
	}
}

// FetchTable returns a whole table from another node, or ErrNoCopy.
func (c *Client) FetchTable(ctx context.Context, table string) (tablefeed.Transfer, error) {
	begun := time.Now()
	if nodes := c.fleet.TableProviders(ctx); len(nodes) > 0 {
		return c.fetchHedged(ctx, nodes, query{table: table}, tableTimeout-time.Since(begun), tableHedgeDelay)
	}
	return c.fetchHedged(ctx, c.fleet.Neighbours(), query{table: table, atOnce: true}, atOnceTimeout, atOnceHedgeDelay)
}

// FetchChanges returns the changes of a table after a version, or ErrNoCopy. holders are nodes
// that have announced the changes.
func (c *Client) FetchChanges(ctx context.Context, table string, after tablefeed.Version, holders []netip.AddrPort) (tablefeed.Transfer, error) {
	nodes := c.fleet.ChangeProviders(table, holders)
	return c.fetchHedged(ctx, nodes, query{table: table, after: after}, changesTimeout, changesHedgeDelay)
}

// readTransfer reads a response, and passes its body to the server unchanged.
func (c *Client) readTransfer(wanted query, response *http.Response) (tablefeed.Transfer, error) {
	confirmation, err := parseConfirmation(response.Header, time.Now())
	if err != nil {
		return tablefeed.Transfer{}, err
	}
	if confirmation.Confirmed <= wanted.after {
		return tablefeed.Transfer{}, eris.Errorf("the node sent version %d, which isn't newer than %d", confirmation.Confirmed, wanted.after)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return tablefeed.Transfer{}, err
	}
	rows, err := unpack(body)
	if err != nil {
		return tablefeed.Transfer{}, err
	}
	whole := response.Header.Get(headerWhole) == "true"
	if whole {
		c.server.cacheTable(wanted.table, packedTable{body, confirmation, len(rows)})
	} else {
		c.server.cacheChanges(wanted.table, wanted.after, packedTable{body, confirmation, len(rows)})
	}
	return tablefeed.Transfer{Whole: whole, Rows: rows, Confirmation: confirmation}, nil
}

// parseConfirmation returns the confirmation in the headers of a response.
func parseConfirmation(header http.Header, now time.Time) (tablefeed.Confirmation, error) {
	changed, changedErr := strconv.ParseUint(header.Get(headerChanged), decimal, 64)
	confirmed, confirmedErr := strconv.ParseUint(header.Get(headerConfirmed), decimal, 64)
	age, ageErr := strconv.ParseInt(header.Get(headerAge), decimal, 64)
	if changedErr != nil || confirmedErr != nil || ageErr != nil || age < 0 || confirmed < changed {
		return tablefeed.Confirmation{}, eris.New("the node's response has no valid version and age")
	}
	return tablefeed.Confirmation{
		Changed: tablefeed.Version(changed), Confirmed: tablefeed.Version(confirmed),
		At: now.Add(-time.Duration(age) * time.Millisecond),
	}, nil
}
