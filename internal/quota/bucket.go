package quota

import "time"

// Bucket is a token bucket that may be in debt. Rate and size are given with each call,
// since a configuration may change them.
type Bucket struct {
	level float64
	at    time.Time
}

// NewBucket returns a bucket that holds level at a time.
func NewBucket(level float64, at time.Time) Bucket { return Bucket{level: level, at: at} }

// Fill brings the bucket to a time. It never holds more than size.
func (b *Bucket) Fill(rate, size float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, size)
}

// Spend takes a cost out, or puts one back where it is negative.
func (b *Bucket) Spend(cost float64) { b.level -= cost }

// Level is what the bucket held when it was filled last, negative for a debt.
func (b *Bucket) Level() float64 { return b.level }
