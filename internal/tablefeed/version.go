package tablefeed

// Version orders the transactions of a store. A store that has come back from an older copy
// gives out its numbers again; so the era of its history comes first, and whatever compares,
// keeps or sends on a version tells the histories apart.
type Version uint64

// versionsPerEra leaves an era's transactions twelve decimal digits, so that a version in a log
// reads as its era and number, and 9,000 eras fit what JSON numbers hold exactly.
const versionsPerEra = 1_000_000_000_000

// VersionOf returns the version of a transaction's number in an era.
func VersionOf(era, number uint64) Version { return Version(era*versionsPerEra + number) }

// Era numbers the history of the store that the version is of.
func (v Version) Era() uint64 { return uint64(v) / versionsPerEra }

// Number is the store's own number of the transaction.
func (v Version) Number() uint64 { return uint64(v) % versionsPerEra }

// EraTracker notes the era of a table that is given as a whole again and again.
type EraTracker struct{ era uint64 }

// Advances reports whether a version is of a later era than all before, zero at first.
func (w *EraTracker) Advances(version Version) bool {
	if version.Era() <= w.era {
		return false
	}
	w.era = version.Era()
	return true
}
