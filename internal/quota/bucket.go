package quota

import "time"

// Bucket is a token bucket whose level may be negative. Rate and size are arguments of each
// call, because a new configuration may change them.
type Bucket struct {
	level float64
	at    time.Time
}

// NewBucket returns a bucket with a level at a time.
func NewBucket(level float64, at time.Time) Bucket { return Bucket{level: level, at: at} }

// Fill refills the bucket up to now, to at most size.
func (b *Bucket) Fill(rate, size float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, size)
}

// Spend removes cost from the bucket; a negative cost is put back.
func (b *Bucket) Spend(cost float64) { b.level -= cost }

// Level returns the level as of the last Fill, negative for a debt.
func (b *Bucket) Level() float64 { return b.level }
