package quota

import (
	"math"
	"time"
)

// Divisors that bound how much of Tolerance.MaxExcess a single request may use.
const (
	// earlyCreditDivisor lets a request pass a little before the bucket holds its cost, up to
	// an eighth of MaxExcess: callers that pace themselves to the limit count from the time at
	// which they send.
	earlyCreditDivisor = 8
	// maxDebtDivisor bounds the debt that a request larger than the burst may leave, to half of
	// MaxExcess.
	maxDebtDivisor = 2
)

// burstFractions gives the bucket sizes of an account, as fractions of the limit's burst. A
// smaller bucket has a correspondingly higher rate, so that over a window every bucket allows
// the same total. The first bucket serves tenants that send in bursts, the last one tenants
// that stay above their rate for long; each request is charged to all of them.
var burstFractions = [...]float64{1, 1.0 / 2, 1.0 / 8}

// Bounds of the times in a decision.
const (
	// maxColdPeriod bounds how long a keeper reports itself as cold. Usually it does so only
	// until the burst has refilled, a second or two. For limits whose burst takes hours to
	// refill, every refusal would otherwise be repeated at all keepers.
	maxColdPeriod = IdleTTL
	// maxWait bounds the retry time that a refused request is told. A longer one wouldn't help
	// callers that send many times their limit.
	maxWait = 8 * time.Second
	// maxComputedWait caps the computed time until a request can be served; anything longer
	// counts as never.
	maxComputedWait = time.Hour
	// minWait is the shortest retry time: retrying sooner costs more than the wait.
	minWait = 50 * time.Millisecond
)

// bucketRateAndSize returns the rate and size of one of the account's buckets, less the
// reserved fraction.
func (k *Keeper) bucketRateAndSize(a *account, bucket int) (rate, size float64) {
	size = a.limit.Burst * burstFractions[bucket]
	rate = a.limit.Rate
	if k.tolerance.Window > 0 {
		rate += (a.limit.Burst - size) / k.tolerance.Window.Seconds()
	}
	return rate * (1 - a.reserved), size * (1 - a.reserved)
}

// mayDecide reports whether one of the account's buckets may grant requests. The first one
// always may. The others need the usage of a whole window to be known, because reports don't
// say which bucket granted a request.
func (k *Keeper) mayDecide(a *account, bucket int, now time.Time) bool {
	return bucket == 0 || k.tolerance.Window > 0 && now.Sub(a.usageKnownSince) >= k.tolerance.Window
}

// decide decides on a request by the levels of the account's buckets. A request that can wait
// long enough is granted a turn in the future, which is charged at once, so that no later
// request is served before it.
func (k *Keeper) decide(a *account, cost float64, patience time.Duration, now time.Time) Decision {
	k.refill(a, now)
	wait, nearest := k.soonest(a, cost, now)
	decision := Decision{
		Level: nearest.level, Cold: k.isCold(a, now), KnownFor: now.Sub(a.usageKnownSince), Reserved: a.reserved, Limit: a.limit, Version: a.version,
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

// soonestBucket is the bucket of an account that can serve a cost first.
type soonestBucket struct {
	// shortfall is the amount that the bucket lacks to serve the cost; rate is its refill per
	// second.
	shortfall, rate, level float64
}

// soonest returns the time until one of the account's buckets can serve a cost, zero if one can
// now, and that bucket.
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

// shortfall returns how much a bucket lacks to serve a cost, and whether it may serve it at
// all. A token cost larger than the burst may leave a debt in the first bucket, as far as the
// tolerance covers it. The reserved fraction reduces the tolerance as well as the limit.
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

// promiseRetry returns the time after which a refused request can be served, given the earlier
// refused requests that will be retried first.
func (k *Keeper) promiseRetry(a *account, shortfall, rate, cost float64, now time.Time) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	a.promised.Fill(-rate, math.Inf(1), now)
	before := max(a.promised.Level(), 0)
	a.promised.level = min(before+cost, rate*maxWait.Seconds())
	return refillTime(shortfall+before, rate)
}

// refillTime returns the time in which amount is refilled, within minWait and maxWait.
func refillTime(amount, rate float64) time.Duration {
	seconds := min(amount/rate, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// AddJitter lengthens a wait by up to an eighth, so that callers refused at the same time don't
// retry at the same time. draw is a random number in [0, 1).
func AddJitter(wait time.Duration, draw float64) time.Duration {
	const jitterDivisor = 8
	return wait + time.Duration(draw*float64(wait)/jitterDivisor)
}

// isCold reports whether usage that this keeper doesn't know of may still count against the
// limit.
func (k *Keeper) isCold(a *account, now time.Time) bool {
	age := now.Sub(a.usageKnownSince)
	return age < k.tolerance.Window || age < maxColdPeriod && a.limit.Rate*age.Seconds() < a.limit.Burst
}
