package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
)

// Durations for restores of the store.
const (
	// The range of the age of the backup.
	minBackupAge = time.Second
	maxBackupAge = 8 * time.Second
	maxOutage    = 2500 * time.Millisecond
	// maxRewriteTime is the time in which the operator and the workers write their lost rows
	// again.
	maxRewriteTime  = 1500 * time.Millisecond
	maxRestorePause = 3 * time.Second
)

// backup is a version of the store to which it can be restored.
type backup struct {
	version uint64
	at      time.Time
	era     uint64
}

func (s *site) backUp() backup {
	return backup{version: s.store.Version(), at: time.Now(), era: s.store.Era()}
}

// restoreRepeatedly makes the store unreachable and restores it from a backup, again and again,
// until ctx is done.
func (s *site) restoreRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 73))
	for ctx.Err() == nil {
		taken := s.backUp()
		sleep(ctx, minBackupAge+time.Duration(random.Int64N(int64(maxBackupAge-minBackupAge))))
		s.restoreOnce(random, taken)
		sleep(ctx, time.Duration(random.Int64N(int64(maxRestorePause))))
	}
}

// restoreOnce restores the store from a backup, unless it has been restored since. What the
// operator and the workers have written since the backup is written again, in random order. It
// reports whether the store was restored.
func (s *site) restoreOnce(random *rand.Rand, taken backup) bool {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	if s.store.Era() != taken.era {
		return false
	}
	copied, at := taken.version, taken.at
	away := time.Duration(random.Int64N(int64(maxOutage)))
	// Versions accepted just before the outage may not have reached any node.
	unsure := earlierOf(at, time.Now().Add(-applyBound))
	s.store.SetUnreachable(true)
	time.Sleep(away)
	lost := s.store.Restore(copied)
	s.store.SetUnreachable(false)
	s.storm.restored(unsure, time.Now())
	random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, row := range lost {
		if row.Table != "op" && row.Table != "servers" {
			continue
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRewriteTime) / int64(len(lost)))))
		s.rewriteLost(row, copied)
	}
	s.storm.restored(unsure, time.Now())
	_, _ = fmt.Fprintf(s.options.Out, "%7.2f s  the store was unreachable for %v and was restored from a backup of version %d, %v old; %d rows were lost\n",
		time.Since(s.started).Seconds(), away.Round(time.Millisecond), copied, time.Since(at).Round(time.Millisecond), len(lost))
	return true
}

// rewriteLost writes a lost row again, but not while a new configuration is being written.
func (s *site) rewriteLost(row fleetstore.Row, restored uint64) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.store.RewriteLost(row, restored)
}

// restored treats the versions that were accepted after since as accepted now.
func (s *storm) restored(since, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, at := range s.accepted {
		if at.After(since) {
			s.accepted[i] = now
		}
	}
}

func earlierOf(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
