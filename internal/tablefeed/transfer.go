package tablefeed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// readFirst gets the whole table from another node that has it, or else from the store.
func (f *Feed) readFirst(ctx context.Context) error {
	if f.peers != nil {
		transfer, err := f.peers.FetchTable(ctx, f.table)
		if err == nil && f.applyTransfer(transfer) {
			return nil
		}
	}
	return f.readStore(ctx)
}

// readAfterGap gets the table after the store has discarded the changes that this node needs:
// from another node that holds a newer version, or else from the store. The node that others
// wait for reads at the store at once.
func (f *Feed) readAfterGap(ctx context.Context) error {
	if f.peers != nil && f.peers.TakeoverDelay(f.table) > 0 && f.fetchMissed(ctx) {
		return nil
	}
	return f.readStore(ctx)
}

// fetchMissed fetches changes that other nodes know of from one of them. It returns false if
// the store must be asked.
func (f *Feed) fetchMissed(ctx context.Context) bool {
	transfer, err := f.peers.FetchChanges(ctx, f.table, f.confirmation.Confirmed)
	if err != nil || !f.applyTransfer(transfer) {
		return false
	}
	f.historyGoneAfter = 0
	return true
}

// applyTransfer applies what another node sent, unless it is older than what this node holds.
// The store didn't confirm it to this node, so other nodes must not rely on this node for it. A
// transfer without rows means that there were no changes up to a later version.
func (f *Feed) applyTransfer(transfer Transfer) bool {
	if transfer.Confirmation.Confirmed < f.confirmation.Confirmed || !transfer.Whole && transfer.Confirmation.Confirmed == f.confirmation.Confirmed {
		return false
	}
	if transfer.Confirmation.At.Before(f.confirmation.At) {
		transfer.Confirmation.At = f.confirmation.At // with these rows, the table is as fresh as before at least
	}
	switch {
	case transfer.Whole:
		f.reset(transfer.Rows, transfer.Confirmation, false, FromNode)
	case len(transfer.Rows) > 0:
		f.apply(transfer.Rows, transfer.Confirmation, false, FromNode)
	default:
		f.set(Confirmation{Changed: f.confirmation.Changed, Confirmed: transfer.Confirmation.Confirmed, At: transfer.Confirmation.At}, false)
		return true
	}
	// This line is logged for changed rows too; the field whole tells which.
	f.log.WithFields(logrus.Fields{
		"table": f.table, "version": transfer.Confirmation.Changed, "rows": len(transfer.Rows), "whole": transfer.Whole,
		"age_ms": time.Since(transfer.Confirmation.At).Milliseconds(),
	}).Info("table taken over from another node")
	return true
}

// reset replaces all rows. Like apply, it updates copy before the confirmation: a node that
// hears of a version must be able to get it here.
func (f *Feed) reset(rows []Row, confirmation Confirmation, own bool, source Source) {
	f.setSource(source)
	rows = f.reconcile(rows, confirmation.Changed.Era())
	if f.peers != nil {
		f.copy.Reset(rows, confirmation.Changed)
	}
	f.set(confirmation, own)
	f.consumer.Reset(rows, confirmation.Changed)
}

// reconcile replaces rows of a restored store by the held ones from an earlier era that are
// newer.
func (f *Feed) reconcile(rows []Row, era uint64) []Row {
	reconciler, ok := f.consumer.(Reconciler)
	if !ok {
		return rows
	}
	reconciled, kept := f.copy.reconcile(rows, era, reconciler.IsHeldNewer)
	if len(kept) > 0 {
		f.log.WithFields(logrus.Fields{"table": f.table, "era": era, "rows": len(kept), "first": kept[0]}).
			Warn("kept rows from before the restore: the restored store has older ones")
	}
	return reconciled
}

func (f *Feed) apply(rows []Row, confirmation Confirmation, own bool, source Source) {
	f.setSource(source)
	if f.peers != nil {
		f.copy.Apply(rows, confirmation.Changed)
	}
	f.set(confirmation, own)
	f.consumer.Apply(rows, confirmation.Changed)
}

func (f *Feed) setSource(source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = source
}

// Held returns what this node holds of the table: the changes after a version if it has all of
// them, or else the whole table. It returns false if it holds nothing. It is safe for
// concurrent use with Run.
func (f *Feed) Held(after Version) (Transfer, bool) {
	confirmation, _ := f.Confirmation()
	if rows, version, kept := f.copy.Since(after); kept && after > 0 {
		return Transfer{Rows: rows, Confirmation: confirmation.asOf(version)}, true
	}
	rows, version, known := f.copy.Whole()
	return Transfer{Whole: true, Rows: rows, Confirmation: confirmation.asOf(version)}, known
}

// asOf returns the confirmation for rows of a version, which may have arrived just after c.
func (c Confirmation) asOf(version Version) Confirmation {
	return Confirmation{Changed: version, Confirmed: max(version, c.Confirmed), At: c.At}
}
