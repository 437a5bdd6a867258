package tablefeed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// followPeers follows the table through other nodes for a moment. It returns false if the store
// must be asked.
func (f *Feed) followPeers(ctx context.Context) bool {
	if f.peers == nil {
		return false
	}
	f.applyNews()
	now := time.Now()
	inBackoff := now.Before(f.retryAt)
	latest, found := f.peers.LatestConfirmation(f.table, now, f.isReader && !inBackoff)
	takeoverDelay := f.peers.TakeoverDelay(f.table)
	switch {
	case !found || latest.Confirmed < f.confirmation.Confirmed:
		return f.awaitPeers(ctx, now)
	case !inBackoff && now.Sub(latest.At) >= takeoverDelay:
		return f.awaitPeers(ctx, now)
	case !inBackoff:
		f.setFollowing(true)
	}
	wait := max(takeoverDelay-now.Sub(latest.At), minWait)/2 + minWait
	if inBackoff {
		wait = min(f.retryAt.Sub(now), backoffPoll)
	}
	if !f.adoptConfirmation(latest) {
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		wait = newsDelay - now.Sub(f.behindSince)
	}
	if wait <= 0 {
		return f.fetchMissed(ctx)
	}
	f.waitOrWake(ctx, wait)
	return true
}

// awaitPeers waits a moment if the feed backs off from the store, or if the last confirmation
// is so recent that another node may still be the one to call the store. It returns false if
// this node is to call it.
func (f *Feed) awaitPeers(ctx context.Context, now time.Time) bool {
	if f.waitOutBackoff(ctx) {
		return true
	}
	left := f.peers.TakeoverDelay(f.table) - now.Sub(f.confirmation.At)
	if !f.isReader && left > 0 {
		f.waitOrWake(ctx, min(left, takeoverPoll))
		return true
	}
	f.setFollowing(false)
	return false
}

// adoptConfirmation adopts another node's confirmation of the same or a newer version. It
// returns false if the confirmation includes a change that this node doesn't have yet.
func (f *Feed) adoptConfirmation(confirmation Confirmation) bool {
	if confirmation.Changed > f.confirmation.Confirmed {
		return false
	}
	f.behindSince = time.Time{}
	if confirmation.Confirmed == f.confirmation.Confirmed && f.confirmation.At.After(confirmation.At) {
		confirmation.At = f.confirmation.At
	}
	confirmation.Changed = max(confirmation.Changed, f.confirmation.Changed)
	f.set(confirmation, false)
	return true
}

// applyNews applies the received news that start at or before the held version. News that start
// later leave a gap; other nodes' confirmations tell of the changes that are missing.
func (f *Feed) applyNews() {
	f.collectNews()
	for _, news := range f.pendingNews {
		if news.After <= f.confirmation.Confirmed && news.Version > f.confirmation.Confirmed {
			f.apply(news.Rows, Confirmation{Changed: news.Version, Confirmed: news.Version, At: f.confirmation.At}, false, FromNews)
		}
	}
	f.pendingNews = nil
}

// collectNews collects the received news of versions that aren't held yet.
func (f *Feed) collectNews() {
	for {
		select {
		case news := <-f.news:
			if news.Version > f.confirmation.Confirmed {
				f.pendingNews = append(f.pendingNews, news)
			}
		default:
			return
		}
	}
}

func (f *Feed) setFollowing(followsPeer bool) {
	if f.isReader != followsPeer && f.followsPeer == followsPeer {
		return
	}
	f.followsPeer, f.isReader = followsPeer, !followsPeer
	message := "table followed at the store"
	if followsPeer {
		message = "table followed through another node"
	}
	f.log.WithFields(logrus.Fields{"table": f.table, "version": f.confirmation.Confirmed}).Info(message)
}
