package tablefeed

// Version orders the transactions of a store. A store that was restored from a backup reuses
// transaction numbers, so a version consists of the era of the store's history, which each
// restore begins anew, and the transaction number. Code that compares, keeps or sends versions
// can thus tell the histories apart.
type Version uint64

// versionsPerEra leaves twelve decimal digits for the transactions of an era, so that a version
// in a log reads as era and number. 9,000 eras fit into the integers that JSON numbers
// represent exactly.
const versionsPerEra = 1_000_000_000_000

// VersionOf returns the version of a transaction number in an era.
func VersionOf(era, number uint64) Version { return Version(era*versionsPerEra + number) }

// Era returns the number of the store's history that the version belongs to.
func (v Version) Era() uint64 { return uint64(v) / versionsPerEra }

// Number returns the store's own number of the transaction.
func (v Version) Number() uint64 { return uint64(v) % versionsPerEra }

// EraTracker tracks the era of a table that is read as a whole repeatedly.
type EraTracker struct{ era uint64 }

// Advances reports whether a version is of a later era than all before it. The era starts at
// zero.
func (w *EraTracker) Advances(version Version) bool {
	if version.Era() <= w.era {
		return false
	}
	w.era = version.Era()
	return true
}
