package usage

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// Table is the store table of usage. It has a row for each recorded window, and a row for each
// node that reaches no supervisor, written by the node itself.
const (
	Table        = "usage"
	windowPrefix = "window/"
	nodePrefix   = "node/"
)

func windowKey(window Window) string { return windowPrefix + strconv.FormatInt(int64(window), 10) }

// NodeKey returns the key of a node's own row.
func NodeKey(node string) string { return nodePrefix + node }

// NodeRow is the content of a node's own row: the entries of its tally.
type NodeRow struct {
	Incarnation string  `json:"incarnation"`
	Entries     []Entry `json:"entries"`
}

// recorded returns the windows recorded in the store, with nil for those that must not be
// reported, adds the others to the history, and merges the rows that nodes have written.
func (r *Reporter) recorded(ctx context.Context) (map[Window]Counts, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := r.options.Store.Read(callCtx, Table)
	if err != nil {
		return nil, eris.Wrap(err, "the recorded windows can't be read")
	}
	recorded := make(map[Window]Counts)
	for _, row := range rows {
		if err := r.readRow(row, recorded); err != nil {
			r.options.Log.WithFields(logrus.Fields{"row": row.Key, "cause": err.Error()}).Error("a usage row can't be parsed and is skipped")
		}
	}
	r.setAside(recorded, version)
	r.options.Collector.History().Merge(recordsOf(recorded, version))
	r.options.Collector.History().ReadStore(version.Era())
	return recorded, nil
}

// setAside sets windows to nil that must not be reported with the counts that the store has.
// Earlier builds record windows anew that may have been reported before the store was restored.
func (r *Reporter) setAside(recorded map[Window]Counts, version tablefeed.Version) {
	if version.Era() == 0 || !r.options.Fleet.EarlierBuildHeard() {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(recorded)) {
		known, exists := r.options.Collector.History().Find(window)
		differs := exists && known.Counts.Sum() != recorded[window].Sum()
		if !differs && !r.options.Collector.History().InDoubt(window, r.gathering.all) {
			continue
		}
		recorded[window] = nil
		if window > r.asideThrough {
			r.asideThrough = window
			r.options.Log.WithFields(logrus.Fields{"window": window, "differs": differs, "era": version.Era()}).Warn(
				"a usage window isn't reported as the store has it: an earlier build may have recorded it anew")
			r.options.Metrics.observeLeftOut()
		}
	}
}

// recordsOf returns the records of windows that the store had at a version.
func recordsOf(recorded map[Window]Counts, version tablefeed.Version) map[Window]Record {
	records := make(map[Window]Record, len(recorded))
	for window, counts := range recorded {
		records[window] = Record{Counts: counts, Era: version.Era()}
	}
	return records
}

func (r *Reporter) readRow(row tablefeed.Row, recorded map[Window]Counts) error {
	if strings.HasPrefix(row.Key, nodePrefix) {
		var node NodeRow
		if err := json.Unmarshal(row.Value, &node); err != nil {
			return err
		}
		r.options.Collector.MergeEntries(node.Incarnation, node.Entries)
		return nil
	}
	number, err := strconv.ParseInt(strings.TrimPrefix(row.Key, windowPrefix), 10, 64)
	if err != nil {
		return err
	}
	counts := make(Counts)
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return err
	}
	recorded[Window(number)] = counts
	return nil
}

// recordLostWindows records windows again that are known to have been recorded and that the
// store has lost in a restore. They may have been reported with these counts already.
func (r *Reporter) recordLostWindows(ctx context.Context, recorded map[Window]Counts, due Window) error {
	known := r.options.Collector.Recorded(due - keptRows)
	for _, window := range slices.Sorted(maps.Keys(known)) {
		if _, stored := recorded[window]; stored {
			continue
		}
		if err := r.record(ctx, window, known[window]); err != nil {
			return err
		}
		recorded[window] = known[window]
	}
	return nil
}

// record records the counts of a window in the store, on the condition that no node has
// recorded it and that this node still holds the lease (the authority).
func (r *Reporter) record(ctx context.Context, window Window, counts Counts) error {
	content, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	condition, held := r.options.Authority.Condition()
	if !held {
		return eris.New("the authority lapsed before the window was recorded")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, done, err := r.options.Store.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{condition, {Table: Table, Key: windowKey(window)}},
		Writes: []rowstore.Write{
			{Table: Table, Key: windowKey(window), Value: content},
			{Table: Table, Key: windowKey(window - keptRows)},
		},
	})
	if err != nil {
		return eris.Wrapf(err, "window %d can't be recorded", window)
	}
	if !done {
		r.options.Authority.ConditionFailed(condition)
		return eris.Errorf("window %d was recorded by another node, or another has the authority", window)
	}
	_, again := r.options.Collector.History().Find(window)
	written := map[Window]Counts{window: counts}
	r.options.Collector.History().Merge(recordsOf(written, tablefeed.Version(version)))
	r.tell(window, counts)
	r.options.Log.WithFields(logrus.Fields{"window": window, "requests": counts.total(), "tenants": len(counts), "again": again}).Info("usage recorded")
	return nil
}

func (c Counts) total() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}
