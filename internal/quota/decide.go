package quota

import (
	"math"
	"time"
)

// The parts of Tolerance.Over that single requests may cost.
const (
	// creditPart is by how much a request may come before the bucket holds it, since a
	// caller counts by the times at which it sends: an eighth.
	earlyCreditDivisor = 8
	// debtPart bounds the debt that a request leaves which costs more than a burst: half.
	maxDebtDivisor = 2
)

// burstParts are the parts of a limit's burst of which the buckets of an account hold one
// each. What a bucket lacks in size, it has in rate, so that a window holds the same: a
// tenant that bursts is served out of the first, one that wants more than its rate for long
// out of the last, and either way all buckets are charged.
var burstFractions = [...]float64{1, 1.0 / 2, 1.0 / 8}

// The times that an answer tells.
const (
	// coldFor is how long a keeper says at most that it doesn't know what was used before.
	// As a rule it is until the burst has come back, a second or two; limits with a burst of
	// hours would else have each refusal asked of all keepers.
	maxColdPeriod = IdleTTL
	// maxWait bounds what a refused request is told to wait; who asks many times the
	// limit isn't better served by more.
	maxWait = 8 * time.Second
	// longestWait bounds the time that is worked out until a request can be served: beyond, it
	// is as good as never.
	maxComputedWait = time.Hour
	// minWait is the least time: below it, asking costs more than the wait.
	minWait = 50 * time.Millisecond
)

// shape is the rate and the size of one of the account's buckets, without what is reserved.
func (k *Keeper) bucketRateAndSize(a *account, bucket int) (rate, size float64) {
	size = a.limit.Burst * burstFractions[bucket]
	rate = a.limit.Rate
	if k.tolerance.Window > 0 {
		rate += (a.limit.Burst - size) / k.tolerance.Window.Seconds()
	}
	return rate * (1 - a.reserved), size * (1 - a.reserved)
}

// usable reports whether one of the account's buckets may decide. The first may always;
// the others need all use of a window known, since nothing tells which of them granted it.
func (k *Keeper) mayDecide(a *account, bucket int, now time.Time) bool {
	return bucket == 0 || k.tolerance.Window > 0 && now.Sub(a.usageKnownSince) >= k.tolerance.Window
}

// weigh decides by the account's levels alone. A request that may wait is granted as far
// ahead: its turn is charged now, so that nobody who comes later is served before it.
func (k *Keeper) decide(a *account, cost float64, patience time.Duration, now time.Time) Decision {
	k.refill(a, now)
	wait, nearest := k.soonest(a, cost, now)
	decision := Decision{
		Level: nearest.level, Cold: k.isCold(a, now), Reserved: a.reserved, Limit: a.limit, Version: a.version,
	}
	switch {
	case wait <= 0:
		decision.Granted = true
	case wait <= min(patience, k.tolerance.Ahead):
		decision.Granted, decision.Delay = true, wait
	default:
		decision.Wait = k.promiseRetry(a, nearest.shortfall, nearest.rate, cost, now)
	}
	return decision
}

// nearest is the bucket that holds a cost soonest.
type soonestBucket struct {
	// short is by how much it falls short of the cost, and rate what comes back in a second.
	shortfall, rate, level float64
}

// shortest returns the time until one of the account's buckets holds a cost, zero where one
// does, and that bucket.
func (k *Keeper) soonest(a *account, cost float64, now time.Time) (time.Duration, soonestBucket) {
	found := soonestBucket{shortfall: math.Inf(1), level: a.buckets[0].Level()}
	for i := range a.buckets {
		shortfall, fits := k.shortfall(a, i, cost)
		if !fits || !k.mayDecide(a, i, now) {
			continue
		}
		rate, _ := k.bucketRateAndSize(a, i)
		if found.rate == 0 || shortfall/rate < found.shortfall/found.rate {
			found = soonestBucket{shortfall: shortfall, rate: rate, level: a.buckets[i].Level()}
		}
	}
	if found.shortfall <= 0 {
		return 0, found
	}
	seconds := min(found.shortfall/found.rate, maxComputedWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), found
}

// lacks is by how much a bucket falls short of a cost. It fits where the debt that it
// leaves is borne: one larger than a burst may leave one in the first bucket. Of what the
// tolerance bears, a part is kept for nodes out of hearing as of the limit.
func (k *Keeper) shortfall(a *account, bucket int, cost float64) (amount float64, fits bool) {
	maxExcess := k.tolerance.MaxExcess(a.limit) * (1 - a.reserved)
	_, size := k.bucketRateAndSize(a, bucket)
	amount = min(cost, size) - maxExcess/earlyCreditDivisor - a.buckets[bucket].Level()
	if a.noOtherKeeper {
		amount += k.coldStartLevel(a.limit) * (coldStartKeepers - 1) / coldStartKeepers
	}
	if bucket > 0 {
		return amount, cost <= size
	}
	return amount, a.limit.Unit != Tokens || cost-size <= maxExcess/maxDebtDivisor
}

// promise returns when a refused cost can be served, after those refused before it.
func (k *Keeper) promiseRetry(a *account, shortfall, rate, cost float64, now time.Time) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	a.promised.Fill(-rate, math.Inf(1), now)
	before := max(a.promised.Level(), 0)
	a.promised.level = min(before+cost, rate*maxWait.Seconds())
	return refillTime(shortfall+before, rate)
}

// waitFor is the time in which an amount comes back.
func refillTime(amount, rate float64) time.Duration {
	seconds := min(amount/rate, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// AddJitter lengthens a wait by up to an eighth, so that callers who were refused together
// don't come back together. Draw is from 0 to 1.
func AddJitter(wait time.Duration, draw float64) time.Duration {
	const jitterDivisor = 8
	return wait + time.Duration(draw*float64(wait)/jitterDivisor)
}

// cold reports whether use before the account's time may still count.
func (k *Keeper) isCold(a *account, now time.Time) bool {
	age := now.Sub(a.usageKnownSince)
	return age < k.tolerance.Window || age < maxColdPeriod && a.limit.Rate*age.Seconds() < a.limit.Burst
}
