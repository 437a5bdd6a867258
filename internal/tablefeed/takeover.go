package tablefeed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// begin gets the whole table: from another node where one has it, or else at the store.
func (f *Feed) begin(ctx context.Context) error {
	if f.others != nil {
		copied, err := f.others.FetchTable(ctx, f.table)
		if err == nil && f.takeOver(copied) {
			return nil
		}
	}
	return f.read(ctx)
}

// readAgain makes up for a forgotten history: from another node that holds something newer, or
// else at the store, and at once where the others wait for this node to do so.
func (f *Feed) readAgain(ctx context.Context) error {
	if f.others != nil && f.others.TakeoverDelay(f.table) > 0 && f.missed(ctx) {
		return nil
	}
	return f.read(ctx)
}

// missed gets changes that other nodes know of from one of them. It reports false where the
// store must be asked.
func (f *Feed) missed(ctx context.Context) bool {
	copied, err := f.others.FetchChanges(ctx, f.table, f.word.Confirmed)
	if err != nil || !f.takeOver(copied) {
		return false
	}
	f.forgotten = 0
	return true
}

// takeOver takes what another node holds, unless it is older than what is known. The store
// didn't confirm it to this node, so no other node relies on it here. Changes may be none:
// then the other one knows that there are none up to a later version.
func (f *Feed) takeOver(copied Transfer) bool {
	if copied.Word.Confirmed < f.word.Confirmed || !copied.Whole && copied.Word.Confirmed == f.word.Confirmed {
		return false
	}
	if copied.Word.At.Before(f.word.At) {
		copied.Word.At = f.word.At // with these rows the table is no older than it was without
	}
	switch {
	case copied.Whole:
		f.reset(copied.Rows, copied.Word, false, FromNode)
	case len(copied.Rows) > 0:
		f.apply(copied.Rows, copied.Word, false, FromNode)
	default:
		f.set(Confirmation{Changed: f.word.Changed, Confirmed: copied.Word.Confirmed, At: copied.Word.At}, false)
		return true
	}
	f.log.WithFields(logrus.Fields{
		"table": f.table, "version": copied.Word.Changed, "rows": len(copied.Rows), "whole": copied.Whole,
		"age_ms": time.Since(copied.Word.At).Milliseconds(),
	}).Info("table taken over from another node")
	return true
}

// reset and apply hand rows on. Other nodes get them here before this one tells that it has
// them, so that none is told of a version and given an older one.
func (f *Feed) reset(rows []Row, word Confirmation, own bool, source Source) {
	f.setSource(source)
	rows = f.review(rows, word.Changed.Era())
	if f.others != nil {
		f.copied.Reset(rows, word.Changed)
	}
	f.set(word, own)
	f.consumer.Reset(rows, word.Changed)
}

// review replaces rows that a restored store gives by newer ones that are held from an earlier
// era.
func (f *Feed) review(rows []Row, era uint64) []Row {
	reviewer, reviews := f.consumer.(Reconciler)
	if !reviews {
		return rows
	}
	reviewed, outliving := f.copied.review(rows, era, reviewer.IsHeldNewer)
	if len(outliving) > 0 {
		f.log.WithFields(logrus.Fields{"table": f.table, "era": era, "rows": len(outliving), "first": outliving[0]}).
			Warn("rows of before are kept: the restored store has older ones")
	}
	return reviewed
}

func (f *Feed) apply(rows []Row, word Confirmation, own bool, source Source) {
	f.setSource(source)
	if f.others != nil {
		f.copied.Apply(rows, word.Changed)
	}
	f.set(word, own)
	f.consumer.Apply(rows, word.Changed)
}

func (f *Feed) setSource(source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = source
}

// Held returns what this node holds of the table: the changes after a version where it knows
// all of them, or the whole table. It reports false where nothing is known. It is safe for
// concurrent use with Run.
func (f *Feed) Held(after Version) (Transfer, bool) {
	word, _ := f.Word()
	if rows, version, kept := f.copied.Since(after); kept && after > 0 {
		return Transfer{Rows: rows, Word: word.asOf(version)}, true
	}
	rows, version, known := f.copied.Whole()
	return Transfer{Whole: true, Rows: rows, Word: word.asOf(version)}, known
}

// asOf is the word that goes with rows of a version, which may have come just after it.
func (w Confirmation) asOf(version Version) Confirmation {
	return Confirmation{Changed: version, Confirmed: max(version, w.Confirmed), At: w.At}
}
