package serving

import (
	"context"
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// quarantineTable holds one row, under its fingerprint, for each request during which several
// workers crashed. These records must survive a restart of all nodes.
const quarantineTable = "quarantine"

// Intervals and limits for saving records.
const (
	// saveDelayStep is how much later a node saves than the one before it in the table's
	// ranking, up to maxSaveDelay: if an earlier node saves, the others have nothing left to
	// save.
	saveDelayStep = 200 * time.Millisecond
	maxSaveDelay  = time.Second
	// savePause is the time between two transactions of a node, and maxRowsPerSave bounds the
	// rows of one transaction.
	savePause      = 200 * time.Millisecond
	maxRowsPerSave = 50
	// expireEvery is how often to look for expired records: a sixtieth of the shortest time for
	// which records are kept.
	expireEvery = time.Minute
)

// setUpQuarantine creates the manager of requests that crash workers.
func (n *Node) setUpQuarantine(metrics prometheus.Registerer) {
	n.quarantine = quarantine.NewManager(n.exchange.ChosenForTrial, n.log)
	n.quarantine.Register(metrics)
	n.exchange.SetQuarantine(n.quarantine)
	n.quarantineFeed = n.newFeed(quarantineTable, &quarantineConsumer{node: n})
}

// quarantineConsumer passes the records in the store to the quarantine manager.
type quarantineConsumer struct {
	node *Node
	era  tablefeed.EraTracker
}

// Reset implements tablefeed.Consumer.
func (q *quarantineConsumer) Reset(rows []tablefeed.Row, version tablefeed.Version) {
	q.Apply(rows, version)
	held := make(map[quarantine.Fingerprint]bool, len(rows))
	for _, row := range rows {
		if request, err := quarantine.ParseFingerprint(row.Key); err == nil {
			held[request] = true
		}
	}
	if q.era.Advances(version) {
		q.node.quarantine.StoreRestored(held)
		return
	}
	q.node.quarantine.SyncStored(held, uint64(version), time.Now())
}

// Apply implements tablefeed.Consumer.
func (q *quarantineConsumer) Apply(rows []tablefeed.Row, version tablefeed.Version) {
	for _, row := range rows {
		if err := q.apply(row, version); err != nil {
			q.node.log.WithFields(logrus.Fields{"row": row.Key, "row_version": row.Version, "cause": err.Error()}).
				Error("a quarantine row can't be parsed; it is ignored")
		}
	}
}

func (q *quarantineConsumer) apply(row tablefeed.Row, version tablefeed.Version) error {
	request, err := quarantine.ParseFingerprint(row.Key)
	if err != nil {
		return err
	}
	if row.Gone {
		q.node.quarantine.Removed(request, uint64(version), time.Now())
		return nil
	}
	var record quarantine.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return eris.Wrap(err, "the value is not a quarantine record")
	}
	record.Fingerprint = request
	q.node.quarantine.Stored(record, uint64(row.Version), time.Now())
	return nil
}

// saveQuarantine writes the records that are missing in the store, until ctx ends.
func (n *Node) saveQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quarantine.UnsavedSignal():
		}
		wait := min(time.Duration(n.exchange.Rank(quarantineTable))*saveDelayStep, maxSaveDelay)
		for len(n.quarantine.Unsaved()) > 0 && sleepFor(ctx, wait) {
			wait = savePause
			if !n.saveBatch(ctx) {
				wait = n.coordinator.MaxBackoff(quarantineTable) // each call is paid for, even while the store is unavailable
			}
		}
	}
}

// sleepFor waits for a time. It returns false if ctx ended before.
func sleepFor(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// saveBatch writes some of the unsaved records. It reports whether the store accepted them.
func (n *Node) saveBatch(ctx context.Context) bool {
	unsaved := n.quarantine.Unsaved()
	unsaved = unsaved[:min(len(unsaved), maxRowsPerSave)]
	if len(unsaved) == 0 {
		return true
	}
	var transaction rowstore.Transaction
	for _, record := range unsaved {
		value, err := json.Marshal(record)
		if err != nil {
			n.log.WithError(err).Error("a quarantine record can't be encoded and is not saved")
			return false
		}
		transaction.Writes = append(transaction.Writes, rowstore.Write{Table: quarantineTable, Key: record.Fingerprint.String(), Value: value})
	}
	var version uint64
	saved := n.tryCall(ctx, "save the quarantine", func(ctx context.Context) (err error) {
		version, _, err = n.platform.Transact(ctx, transaction)
		return err
	})
	if !saved {
		return false
	}
	for _, record := range unsaved {
		n.quarantine.Stored(record, version, time.Now())
	}
	n.log.WithFields(logrus.Fields{"requests": len(unsaved), "version": version}).Info("quarantine saved")
	return true
}

// expireQuarantine drops expired records until ctx ends. One of the nodes also removes them
// from the store.
func (n *Node) expireQuarantine(ctx context.Context) {
	for sleepFor(ctx, expireEvery) {
		old := n.quarantine.Expire(time.Now())
		if len(old) == 0 || n.exchange.Rank(quarantineTable) > 0 {
			continue
		}
		var transaction rowstore.Transaction
		for _, request := range old[:min(len(old), maxRowsPerSave)] {
			transaction.Writes = append(transaction.Writes, rowstore.Write{Table: quarantineTable, Key: request.String()})
		}
		n.tryCall(ctx, "take old rows out of the quarantine", func(ctx context.Context) error {
			_, _, err := n.platform.Transact(ctx, transaction)
			return err
		})
	}
}
