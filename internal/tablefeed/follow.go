package tablefeed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// relies follows the table through other nodes for a moment. It reports false where
// the store must be asked.
func (f *Feed) relies(ctx context.Context) bool {
	if f.others == nil {
		return false
	}
	f.applyNews()
	now := time.Now()
	pauses := now.Before(f.callAfter)
	word, found := f.others.LatestConfirmation(f.table, now, f.acting && !pauses)
	patience := f.others.TakeoverDelay(f.table)
	switch {
	case !found || word.Confirmed < f.word.Confirmed:
		return f.waits(ctx, now)
	case !pauses && now.Sub(word.At) >= patience:
		return f.waits(ctx, now)
	case !pauses:
		f.setRelying(true)
	}
	wait := max(patience-now.Sub(word.At), shortest)/2 + shortest
	if pauses {
		wait = min(f.callAfter.Sub(now), pauseLook)
	}
	if !f.follow(word) {
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		wait = newsDelay - now.Sub(f.behindSince)
	}
	if wait <= 0 {
		return f.missed(ctx)
	}
	f.await(ctx, wait)
	return true
}

// waits lets a moment pass while the store isn't to be called after a failure, or the last
// confirmation is so young that another node may still be the one to call it. It reports
// false where this node is.
func (f *Feed) waits(ctx context.Context, now time.Time) bool {
	if f.pauses(ctx) {
		return true
	}
	left := f.others.TakeoverDelay(f.table) - now.Sub(f.word.At)
	if !f.acting && left > 0 {
		f.await(ctx, min(left, firstPause))
		return true
	}
	f.setRelying(false)
	return false
}

// follow takes over another node's word of the same version or a newer one, unless it tells
// of a change that this one doesn't know yet.
func (f *Feed) follow(word Confirmation) bool {
	if word.Changed > f.word.Confirmed {
		return false
	}
	f.behindSince = time.Time{}
	if word.Confirmed == f.word.Confirmed && f.word.At.After(word.At) {
		word.At = f.word.At
	}
	word.Changed = max(word.Changed, f.word.Changed)
	f.set(word, false)
	return true
}

// applyNews applies the news that have come: those that begin at or before what is
// known. Others tell of changes before them that were missed.
func (f *Feed) applyNews() {
	f.collectNews()
	for _, news := range f.unapplied {
		if news.After <= f.word.Confirmed && news.Version > f.word.Confirmed {
			f.apply(news.Rows, Confirmation{Changed: news.Version, Confirmed: news.Version, At: f.word.At}, false, FromNews)
		}
	}
	f.unapplied = nil
}

// collectNews takes the news that have come, but for those of versions that are known.
func (f *Feed) collectNews() {
	for {
		select {
		case news := <-f.news:
			if news.Version > f.word.Confirmed {
				f.unapplied = append(f.unapplied, news)
			}
		default:
			return
		}
	}
}

func (f *Feed) setRelying(relying bool) {
	if f.acting != relying && f.relying == relying {
		return
	}
	f.relying, f.acting = relying, !relying
	message := "table followed at the store"
	if relying {
		message = "table followed through another node"
	}
	f.log.WithFields(logrus.Fields{"table": f.table, "version": f.word.Confirmed}).Info(message)
}
