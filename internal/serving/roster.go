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

// pruneEvery is the time between two looks for nodes that are gone for good: a tenth of
// the time for which they have been silent (digest.departedAfter) and more.
const pruneEvery = 10 * time.Second

// nodeListStore is the part of the platform's store that the list of nodes needs.
type nodeListStore interface {
	Read(ctx context.Context, table string) ([]tablefeed.Row, tablefeed.Version, error)
	Transact(ctx context.Context, transaction rowstore.Transaction) (version uint64, done bool, err error)
}

// relistSpread is the time over which the nodes look after a restore of the store whether it
// still lists them.
const relistSpread = 2 * time.Second

// signalRestored has this node look whether the store still lists it.
func (n *Node) signalRestored() {
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// keepListed writes this node's row, again where it was taken away though the node lives, or
// lost by the store.
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

// pruneNodes has all nodes forget those that are gone for good, until ctx ends: machines
// that were replaced at another address would count for ever, as homes of accounts, heads
// of zones, and in each node's share of the limits.
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

// unlistNodes takes nodes out of the store's list, and returns those that are not in it.
func (n *Node) unlistNodes(ctx context.Context, gone []netip.AddrPort) []netip.AddrPort {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	unlisted, err := removeRows(callCtx, n.platform, gone)
	log := n.log.WithFields(logrus.Fields{"silent": gone, "unlisted": unlisted})
	if err != nil {
		log.WithField("cause", err.Error()).Warn("nodes that are silent can't all be taken out of the list; tried again")
	} else {
		log.Warn("nodes taken out of the list: they were silent for long")
	}
	return unlisted
}

// removeRows removes the rows of nodes at these addresses. A row that was written anew
// meanwhile stays. It returns the addresses that no row has any more.
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
			continue // a malformed row is nobody's whom others could hear
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

// removeRow removes a row as it was read.
func removeRow(ctx context.Context, store nodeListStore, row tablefeed.Row) (done bool, err error) {
	_, done, err = store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: nodesTable, Key: row.Key, Version: uint64(row.Version)}},
		Writes:     []rowstore.Write{{Table: nodesTable, Key: row.Key}},
	})
	return done, err
}

// exchangeAddress reads the address in a node's row.
func exchangeAddress(row tablefeed.Row) (netip.AddrPort, error) {
	var value nodeRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(value.Exchange)
}
