package tablefeed

import (
	"fmt"
	"testing"
)

// TestCopyReturnsAllChangesOrNone: a copy that has discarded some of the changes must say so
// instead of returning the rest.
func TestCopyReturnsAllChangesOrNone(t *testing.T) {
	var c Copy
	if _, _, known := c.Whole(); known {
		t.Error("an empty copy returns a table")
	}
	if _, _, kept := c.Since(1); kept {
		t.Error("an empty copy returns changes")
	}
	c.Reset([]Row{{Key: "a", Version: 3}}, 10)
	const changes = minRecentChanges + 500
	for i := range changes {
		version := Version(11 + i/2) // two rows per version
		c.Apply([]Row{{Key: fmt.Sprint(i), Version: version}}, version)
	}
	newest := Version(11 + (changes-1)/2)
	for after := Version(1); after <= newest; after++ {
		rows, version, kept := c.Since(after)
		if version != newest {
			t.Fatalf("version %d, want %d", version, newest)
		}
		if want := 2 * int(newest-after); kept && len(rows) != want {
			t.Fatalf("after %d: %d changes, want %d", after, len(rows), want)
		}
		if kept != (after >= c.recentSince) {
			t.Fatalf("after %d: kept %v", after, kept)
		}
	}
	if rows, _, _ := c.Whole(); len(rows) != changes+1 {
		t.Errorf("%d rows, want one per change and the first one", len(rows))
	}
	c.Apply([]Row{{Key: "a", Gone: true, Version: newest + 1}}, newest+1)
	if rows, _, _ := c.Whole(); len(rows) != changes {
		t.Errorf("%d rows after one was deleted", len(rows))
	}
}
