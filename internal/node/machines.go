package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/platform/machines"
)

// machineWatcher reads the machine list at regular intervals. While the list can't be read, the
// last one stays in use.
type machineWatcher struct {
	client   *machines.Client
	period   time.Duration
	log      logrus.FieldLogger
	onChange func([]machines.Machine)

	mu   sync.Mutex
	list []machines.Machine
	// dropped holds, by address, since when a node that was listed before is missing in the
	// list.
	dropped map[string]time.Time
	readAt  time.Time
}

func newMachineWatcher(client *machines.Client, period time.Duration, log logrus.FieldLogger, onChange func([]machines.Machine)) *machineWatcher {
	return &machineWatcher{client: client, period: period, log: log, onChange: onChange, dropped: map[string]time.Time{}}
}

// run reads the machine list once per period, until ctx ends. While it can't be read, the list that
// was read last stays in use ("the last one holds").
func (w *machineWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(w.period)
	defer ticker.Stop()
	failing := false
	for {
		list, err := w.client.List(ctx)
		switch {
		case err == nil:
			w.update(list)
			w.onChange(list)
			failing = false
		case ctx.Err() == nil && !failing:
			w.log.WithError(err).Warn("the machine list can't be read; the last one holds")
			failing = true
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *machineWatcher) update(list []machines.Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	for _, machine := range list {
		if machine.Kind == machines.KindNode {
			listed[machine.Address] = true
			delete(w.dropped, machine.Address)
		}
	}
	for _, machine := range w.list {
		if machine.Kind == machines.KindNode && !listed[machine.Address] {
			if _, known := w.dropped[machine.Address]; !known {
				w.dropped[machine.Address] = now
			}
		}
	}
	w.list = list
	w.readAt = now
}

func (w *machineWatcher) ofKind(kind machines.Kind) []machines.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []machines.Machine
	for _, machine := range w.list {
		if machine.Kind == kind {
			found = append(found, machine)
		}
	}
	return found
}

func (w *machineWatcher) engines() []machines.Machine { return w.ofKind(machines.KindEngine) }

func (w *machineWatcher) nodes() []machines.Machine { return w.ofKind(machines.KindNode) }

func (w *machineWatcher) nodeIsLeaving(address string) bool {
	for _, machine := range w.nodes() {
		if machine.Address == address {
			return machine.Leaving
		}
	}
	return false
}

// droppedFor returns for how long a node that was listed before has been missing in the list.
// It returns zero if the node is listed, was never listed, or the list is more than five
// periods old.
func (w *machineWatcher) droppedFor(address string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	since, dropped := w.dropped[address]
	if !dropped || time.Since(w.readAt) > 5*w.period {
		return 0
	}
	return time.Since(since)
}
