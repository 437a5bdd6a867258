package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/result"
)

// Limits are the token rates that one tenant may use. A rate of zero means no limit.
type Limits struct {
	PromptTokensPerSecond int
	OutputTokensPerSecond int
	BurstSeconds          int
}

// Limiter holds a pair of token buckets for each tenant. Prompt and output tokens are limited
// separately, because prefill and decode load engines differently.
type Limiter struct {
	origin  time.Time
	tenants map[string]*tenantBuckets
}

type tenantBuckets struct {
	limits   Limits
	prompt   *rate.Limiter
	output   *rate.Limiter
	lastUsed time.Duration
}

// NewLimiter returns an empty limiter.
func NewLimiter() *Limiter {
	return &Limiter{origin: time.Unix(0, 0), tenants: map[string]*tenantBuckets{}}
}

// Len returns the number of tenants that have buckets.
func (l *Limiter) Len() int { return len(l.tenants) }

// Take charges a request to its tenant's buckets. If they don't hold enough, it charges nothing
// and returns TenantLimit with the time after which to retry. A request that is larger than the
// burst is charged the whole burst.
func (l *Limiter) Take(now time.Duration, tenant string, limits Limits, promptTokens, outputTokens int) error {
	buckets := l.buckets(tenant, limits, now)
	buckets.lastUsed = now
	at := l.origin.Add(now)
	prompt := reserve(buckets.prompt, at, promptTokens)
	output := reserve(buckets.output, at, outputTokens)
	wait := max(prompt.delay(at), output.delay(at))
	if wait == 0 {
		return nil
	}
	prompt.cancel(at)
	output.cancel(at)
	return result.New(result.TenantLimit, "tenant %s has used up its token rate; come back in %v", tenant, wait.Round(time.Millisecond)).
		WithRetryAfter(wait)
}

func (l *Limiter) buckets(tenant string, limits Limits, now time.Duration) *tenantBuckets {
	buckets := l.tenants[tenant]
	if buckets == nil || buckets.limits != limits {
		buckets = &tenantBuckets{
			limits:   limits,
			prompt:   newBucket(limits.PromptTokensPerSecond, limits.BurstSeconds),
			output:   newBucket(limits.OutputTokensPerSecond, limits.BurstSeconds),
			lastUsed: now,
		}
		l.tenants[tenant] = buckets
	}
	return buckets
}

func newBucket(perSecond, burstSeconds int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond*max(burstSeconds, 1))
}

type reservation struct{ inner *rate.Reservation }

func reserve(bucket *rate.Limiter, at time.Time, tokens int) reservation {
	if bucket == nil {
		return reservation{}
	}
	return reservation{bucket.ReserveN(at, min(tokens, bucket.Burst()))}
}

func (r reservation) delay(at time.Time) time.Duration {
	if r.inner == nil {
		return 0
	}
	return r.inner.DelayFrom(at)
}

func (r reservation) cancel(at time.Time) {
	if r.inner != nil {
		r.inner.CancelAt(at)
	}
}

// EvictIdle drops the buckets of tenants that have been idle for long enough to have full
// buckets again.
func (l *Limiter) EvictIdle(now time.Duration) {
	for tenant, buckets := range l.tenants {
		full := time.Duration(max(buckets.limits.BurstSeconds, 1)) * time.Second
		if now-buckets.lastUsed > full {
			delete(l.tenants, tenant)
		}
	}
}
