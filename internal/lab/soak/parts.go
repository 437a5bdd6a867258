package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Constants of the requests with a part that crashes workers.
const (
	// badPart is the id of that part.
	badPart = "bad1"
	// partCrashes is how many workers may crash before nodes must recognize the part, and
	// partArrivals how many requests with it may reach workers after that while no faults are
	// injected.
	partCrashes  = 5
	partArrivals = 3
)

// sendParts sends requests with a part that crashes workers until ctx is done. No two of them are
// alike but for the part.
func (l *load) sendParts(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	random := rand.New(rand.NewPCG(l.site.options.Seed, callerCount+3))
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, time.Duration(random.Int64N(int64(2*poisonPause))))
		tenant := random.IntN(callerCount)
		got := observation{
			id: fmt.Sprintf("ba4d%012x", count), class: classes[len(classes)-1], sent: time.Now(),
			tenant: tenantOf(tenant), key: keyOf(tenant), timeout: clientTimeout,
			prompt: fmt.Sprintf("a%d:2000,%s:500,c%d:300,%x:1000", random.IntN(5), badPart, random.IntN(3), 1<<32+count),
		}
		l.site.parts.add(got) // it may run before its answer arrives
		l.site.parts.add(l.send(transport, l.site.address(random), got, fmt.Sprint("part ", count)))
	}
}

// partViolations returns the violations found: requests with the part may reach workers partArrivals
// times once it is recognized and no faults have been injected for a while, and one that was
// answered as not run must not have run.
func (s *site) partViolations() []string {
	crashes, quietly := 0, 0
	quiet := s.parts.quietFrom()
	for _, worker := range s.allWorkers() {
		for _, run := range worker.Runs() {
			if fleetworker.HasPart(run.Header.Get("X-Prompt-Prefix"), badPart) && run.At.Before(quiet) {
				crashes++
			}
		}
		for _, arrival := range worker.Arrivals() {
			if fleetworker.HasPart(arrival.Prompt, badPart) && arrival.At.After(quiet) {
				quietly++
			}
		}
	}
	violations := s.parts.falseAnswers(s.allRuns())
	if crashes >= partCrashes && quietly > partArrivals {
		violations = append(violations, fmt.Sprintf("a part had crashed %d workers, and requests with it reached workers %d more times in the quiet period", crashes, quietly))
	}
	return violations
}
