package serving

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// pruneEvery is how often to look for nodes that are gone for good. It is a sixth of the time
// for which a node must have been silent to count as gone (departedAfter in package
// nodeexchange).
const pruneEvery = 10 * time.Second

// nodeListStore is the part of the platform's store that the list of nodes needs.
type nodeListStore interface {
	Read(ctx context.Context, table string) ([]tablefeed.Row, tablefeed.Version, error)
	Transact(ctx context.Context, transaction rowstore.Transaction) (version uint64, done bool, err error)
}

// relistSpread is the time over which the nodes, after a restore of the store, spread their
// checks whether it still lists them.
const relistSpread = 2 * time.Second

// signalRestored makes this node check whether the store still lists it.
func (n *Node) signalRestored() {
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// keepListed writes this node's row, and writes it again if it was removed although the node is
// alive, or lost when the store was restored.
func (n *Node) keepListed(ctx context.Context) {
	n.announce(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.exchange.Unlisted():
			n.announce(ctx)
		case <-n.restored:
			if sleepFor(ctx, rand.N(relistSpread)) {
				n.announce(ctx)
			}
		}
	}
}

// pruneNodes makes all nodes forget nodes that are gone for good, until ctx ends. Otherwise
// machines that were replaced under another address would count forever: as homes of workers,
// as heads of zones, and in each node's share of the limits.
func (n *Node) pruneNodes(ctx context.Context) {
	ticker := time.NewTicker(pruneEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gone := n.exchange.DepartedPeers(time.Now())
		if len(gone) > 0 {
			gone = n.unlistNodes(ctx, gone)
		}
		n.exchange.DropPeers(gone, time.Now())
	}
}

// unlistNodes removes nodes from the store's list and returns those that are no longer in it.
func (n *Node) unlistNodes(ctx context.Context, gone []netip.AddrPort) []netip.AddrPort {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	unlisted, err := removeRows(callCtx, n.platform, gone)
	log := n.log.WithFields(logrus.Fields{"silent": gone, "unlisted": unlisted})
	if err != nil {
		log.WithField("cause", err.Error()).Warn("not all silent nodes could be removed from the list; trying again")
	} else {
		log.Warn("nodes removed from the list: they were silent for too long")
	}
	return unlisted
}

// removeRows removes the rows of nodes at the given addresses, except rows that were rewritten
// meanwhile. It returns the addresses without a row.
func removeRows(ctx context.Context, store nodeListStore, gone []netip.AddrPort) ([]netip.AddrPort, error) {
	rows, _, err := store.Read(ctx, nodesTable)
	if err != nil {
		return nil, eris.Wrap(err, "the list of nodes can't be read")
	}
	kept := make(map[netip.AddrPort]bool)
	var failed error
	for _, row := range rows {
		address, err := exchangeAddress(row)
		if err != nil || !slices.Contains(gone, address) {
			continue // no node can be reached by a malformed row
		}
		done, err := removeRow(ctx, store, row)
		if err != nil {
			failed = eris.Wrapf(err, "row %s can't be removed", row.Key)
		}
		if err != nil || !done {
			kept[address] = true
		}
	}
	unlisted := slices.DeleteFunc(slices.Clone(gone), func(address netip.AddrPort) bool { return kept[address] })
	return unlisted, failed
}

// removeRow removes a row unless it has changed since it was read.
func removeRow(ctx context.Context, store nodeListStore, row tablefeed.Row) (done bool, err error) {
	_, done, err = store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: nodesTable, Key: row.Key, Version: uint64(row.Version)}},
		Writes:     []rowstore.Write{{Table: nodesTable, Key: row.Key}},
	})
	return done, err
}

// exchangeAddress parses the address in a node's row.
func exchangeAddress(row tablefeed.Row) (netip.AddrPort, error) {
	var value nodeRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(value.Exchange)
}
