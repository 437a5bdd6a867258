package serving

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// pastTable holds one row: the resumption.Past. The designated node writes it when it changes: in a
// fleet of one software version whose routes don't move, once. All nodes follow it, since streams begin
// only where it shows them.
const (
	pastTable = "streams"
	pastKey   = "past"
)

const (
	// keepPastInterval is the time between two looks of the designated node at what there is to
	// write.
	keepPastInterval = 250 * time.Millisecond
	// keepPastBackoff is the time until the next one after the store failed.
	keepPastBackoff = time.Second
)

// keepPast writes the past to the store while this node is designated, until ctx ends.
func (n *Node) keepPast(ctx context.Context) {
	writer := &pastWriter{node: n, keeper: resumption.NewPastKeeper()}
	wait := keepPastInterval
	for sleepFor(ctx, wait) {
		wait = keepPastInterval
		if !n.Designated() {
			writer.known = false
			continue
		}
		if !writer.update(ctx) {
			wait = keepPastBackoff
			n.authority.StepBack() // new versions get no streams until another node has written
		}
	}
}

// pastWriter keeps the row of the past up to date.
type pastWriter struct {
	node   *Node
	keeper *resumption.PastKeeper
	// known tells that written is what the row held in the era, at a version.
	known   bool
	era     uint64
	version uint64
	written string
	// since is from when on the past is complete, and mixed tells that it isn't, since nodes of an earlier
	// build begin streams wherever they like.
	since int64
	mixed bool
}

// update writes the row if it lacks something or holds something that is over. It returns false if
// the store failed. A store that was restored may have an older row, and another node may have written
// it since.
func (w *pastWriter) update(ctx context.Context) bool {
	if w.known {
		w.observe(keepPastBackoff + 2*keepPastInterval)
	}
	if !w.known || w.era != w.node.platform.Era() || w.isOverwritten() || w.mixed != w.node.exchange.HasEarlierBuild() {
		if !w.takeOver(ctx) {
			return false
		}
	}
	past := w.keeper.Past(time.Now())
	past.Complete, past.SinceMillis, past.Era = !w.mixed, w.since, w.era
	encoded := encodePast(past)
	if encoded == w.written {
		return true
	}
	if !w.write(ctx, encoded) {
		return false
	}
	w.node.log.WithFields(logrus.Fields{
		"versions": past.Versions, "moved": len(past.Moved), "any_moved": past.AnyMoved, "complete": past.Complete, "since_ms": past.SinceMillis,
	}).Info("what streams may have begun at lately was written")
	return true
}

// isOverwritten reports whether the node has heard of a later row than the one that it wrote.
func (w *pastWriter) isOverwritten() bool {
	heard := w.node.pastApplied.Load()
	return heard > w.version && tablefeed.Version(heard).Era() == w.era
}

// takeOver reads the row, and goes on from it.
func (w *pastWriter) takeOver(ctx context.Context) bool {
	w.known = false
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	row, past, err := w.node.readPastRow(readCtx)
	cancel()
	if err != nil {
		w.node.log.WithField("cause", err.Error()).Warn("what streams may have begun at lately can't be read")
		return false
	}
	now := time.Now()
	w.keeper.Observe(past, now)
	if past.RoutesDigest != w.node.routes.currentDigest() {
		// Nobody has seen which routes have moved since.
		w.keeper.Observe(resumption.Past{AnyMoved: row.Version > 0, RoutesDigest: w.node.routes.currentDigest()}, now)
	}
	w.mixed = w.node.exchange.HasEarlierBuild()
	switch {
	case past.Complete && past.Era == row.Era:
		w.since = past.SinceMillis
	case row.Version == 0 && w.node.settings.Node.FirstStart:
		w.since = 0
	default:
		w.since = row.NowMillis + resumption.CompleteAfter.Milliseconds()
	}
	w.known, w.era, w.version, w.written = true, row.Era, row.Version, encodePast(past)
	w.observe(resumption.Life) // what nobody has written while no node was designated
	return true
}

// write writes the row unless another node has done so since it was read.
func (w *pastWriter) write(ctx context.Context, encoded string) bool {
	return w.node.tryCall(ctx, "write what streams may have begun at lately", func(ctx context.Context) error {
		version, done, err := w.node.platform.Transact(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{{Table: pastTable, Key: pastKey, Version: w.version}},
			Writes:     []rowstore.Write{{Table: pastTable, Key: pastKey, Value: []byte(encoded)}},
		})
		// Without an answer it isn't known what the row holds.
		w.known = err == nil && done
		if w.known {
			w.version, w.written = version, encoded
		}
		return err
	})
}

// observe adds what this node has seen lately.
func (w *pastWriter) observe(lookBack time.Duration) {
	now := time.Now()
	w.keeper.Observe(w.node.seenSince(now.Add(-lookBack)), now)
}

func encodePast(past resumption.Past) string {
	encoded, _ := json.Marshal(past) // strings and a flag can always be encoded
	return string(encoded)
}

// seenSince returns the versions and moved routes that this node has seen since a time.
func (n *Node) seenSince(since time.Time) resumption.Past {
	seen := resumption.Past{Versions: make(map[string][]string), Moved: n.routes.movedSince(since), RoutesDigest: n.routes.currentDigest()}
	for _, service := range n.servicesByName() {
		seen.Versions[service.Name] = n.registry.SoftwareSince(service.Name, since)
	}
	return seen
}

// readPast reads the past from the store, empty if nothing was written.
func (n *Node) readPast(ctx context.Context) (resumption.ReadPast, error) {
	row, past, err := n.readPastRow(ctx)
	return resumption.ReadPast{Past: past, NowMillis: row.NowMillis, CurrentEra: row.Era}, err
}

// readPastRow reads the row of the past, and returns the past that it holds.
func (n *Node) readPastRow(ctx context.Context) (rowstore.DatedRow, resumption.Past, error) {
	row, err := n.platform.ReadDated(ctx, pastTable, pastKey)
	if err != nil || row.Version == 0 {
		return row, resumption.Past{}, err
	}
	past, err := decodePast(row.Value)
	return row, past, err
}

func decodePast(value []byte) (resumption.Past, error) {
	var past resumption.Past
	err := json.Unmarshal(value, &past)
	return past, err
}
