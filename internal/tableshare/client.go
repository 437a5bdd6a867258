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

	"github.com/tinarch/tinarch/internal/tablefeed"
)

// The figures of a node that asks others.
const (
	// callTimeout bounds one call, its answer included: a table of a megabyte takes 0.4 s over a link of
	// 20 Mbit/s, and a node hands it to four others at a time.
	callTimeout = 4 * time.Second
	// nextAfter is how long nodes are asked that have nothing yet, or don't answer, before the
	// next one is asked too: they may be cut off from what they wait for, or not run. For
	// changes it is nextAfterMissed.
	tableHedgeDelay   = time.Second
	changesHedgeDelay = 200 * time.Millisecond
	// againAfter is how long a node isn't asked again that has nothing yet.
	retryDelay = 50 * time.Millisecond
	// startWait is how long a node that starts waits for others that answer: those through
	// which a table reaches it get it one after the other.
	tableTimeout = 8 * time.Second
	// atOnceWait and nextAtOnce are the same for a node that reads the table at the store, and
	// asks only for what others hold already.
	atOnceTimeout    = 300 * time.Millisecond
	atOnceHedgeDelay = 100 * time.Millisecond
	// missedWait is how long it waits until one begins to give changes, of which the store may
	// tell as well.
	changesTimeout = 600 * time.Millisecond
	// maxBody bounds an answer.
	maxBody = 16 << 20
	// maxIdle and idleTimeout bound the connections kept to other nodes.
	maxIdleConnections = 1
	idleTimeout        = 5 * time.Second
)

// errNotYet tells that a node has nothing to give yet.
var errNothingNewer = eris.New("the node has no newer copy of the table yet")

// Fleet tells which other nodes are to be asked for tables.
type Fleet interface {
	// Givers returns those to be asked for a whole table, the first first, and none where
	// this node is to read it at the store. It may wait until the nodes are known.
	Givers(ctx context.Context) []netip.AddrPort
	// Neighbours returns some that may hold it at the moment, where there are no givers.
	Neighbours() []netip.AddrPort
	// ChangeGivers returns those to be asked for changes, the first first. holders are nodes
	// that have told of them.
	ChangeGivers(table string, holders []netip.AddrPort) []netip.AddrPort
}

// Client gets tables from other nodes.
type Client struct {
	fleet  Fleet
	server *Server
	client *http.Client
	log    *logrus.Logger
}

// NewClient returns a client that dials by a function and hands whole tables on
// to a server.
func NewClient(fleet Fleet, server *Server, dial func(ctx context.Context, network, address string) (net.Conn, error), log *logrus.Logger) *Client {
	return &Client{
		fleet: fleet, server: server, log: log,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout,
		}},
	}
}

// Copy returns a whole table as another node holds it, or ErrNoCopy.
func (c *Client) Copy(ctx context.Context, table string) (tablefeed.Transfer, error) {
	begun := time.Now()
	if nodes := c.fleet.Givers(ctx); len(nodes) > 0 {
		return c.fetchHedged(ctx, nodes, query{table: table}, tableTimeout-time.Since(begun), tableHedgeDelay)
	}
	return c.fetchHedged(ctx, c.fleet.Neighbours(), query{table: table, atOnce: true}, atOnceTimeout, atOnceHedgeDelay)
}

// Missed returns the changes of a table after a version, or ErrNoCopy. holders are nodes that
// have told of them.
func (c *Client) Missed(ctx context.Context, table string, after tablefeed.Version, holders []netip.AddrPort) (tablefeed.Transfer, error) {
	nodes := c.fleet.ChangeGivers(table, holders)
	return c.fetchHedged(ctx, nodes, query{table: table, after: after}, changesTimeout, changesHedgeDelay)
}

// read reads an answer, and has it handed on as it is.
func (c *Client) readTransfer(wanted query, response *http.Response) (tablefeed.Transfer, error) {
	confirmation, err := parseConfirmation(response.Header, time.Now())
	if err != nil {
		return tablefeed.Transfer{}, err
	}
	if confirmation.Confirmed <= wanted.after {
		return tablefeed.Transfer{}, eris.Errorf("the node gave version %d, not newer than %d", confirmation.Confirmed, wanted.after)
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

// wordOf reads what the answering node knows of the table's version.
func parseConfirmation(header http.Header, now time.Time) (tablefeed.Confirmation, error) {
	changed, changedErr := strconv.ParseUint(header.Get(headerChanged), decimal, 64)
	confirmed, confirmedErr := strconv.ParseUint(header.Get(headerConfirmed), decimal, 64)
	age, ageErr := strconv.ParseInt(header.Get(headerAge), decimal, 64)
	if changedErr != nil || confirmedErr != nil || ageErr != nil || age < 0 || confirmed < changed {
		return tablefeed.Confirmation{}, eris.New("the node doesn't tell which version its copy has")
	}
	return tablefeed.Confirmation{
		Changed: tablefeed.Version(changed), Confirmed: tablefeed.Version(confirmed),
		At: now.Add(-time.Duration(age) * time.Millisecond),
	}, nil
}
