package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
)

// fingerprint identifies the content of the request for the quarantine.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	content := quarantine.Content{Host: x.kind.Name, Target: string(x.endpoint), Tenant: x.tenant.GetName(), Body: x.body}
	return content.Fingerprint()
}

// checkQuarantine returns an error if the request is in quarantine because engines crashed
// whenever they ran it. If its last crash is so recent that reports from other nodes may still
// arrive, it waits for them first.
func (r *runner) checkQuarantine(ctx context.Context, request quarantine.Fingerprint) error {
	status := r.quarantine.Check(request, time.Now())
	for status.Settling > 0 {
		if err := sleep(ctx, status.Settling); err != nil {
			return err
		}
		status = r.quarantine.Check(request, time.Now())
	}
	if !status.Quarantined {
		return nil
	}
	// The message says that engines "ended": their processes crashed each time.
	return result.New(result.RequestQuarantined, "engines ended whenever they ran this request (%s)", request).WithRetryAfter(status.Left)
}

// probeTimeout limits the probe of an engine after a lost attempt. It is a few round trips to
// another zone.
const probeTimeout = 200 * time.Millisecond

// checkForCrash probes the engine of a lost attempt and reports a crash to the quarantine if
// its address refuses connections or belongs to another incarnation. Otherwise only the stream
// broke. answering means that the engine had begun to answer.
func (r *runner) checkForCrash(ctx context.Context, x *exchange, ticket engine.Ticket, answering bool) {
	lookCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	status, err := r.engines.Status(lookCtx, ticket.Address)
	ended := result.CodeOf(err) == result.NoEngine || err == nil && status.Incarnation != ticket.Incarnation
	x.log.WithFields(logrus.Fields{"engine": ticket.Engine, "ended": ended, "fingerprint": x.fingerprint().String()}).
		Info("engine probed after a lost attempt")
	if !ended {
		return
	}
	crash := quarantine.Crash{Worker: string(ticket.Incarnation), Address: ticket.Address, Answering: answering}
	r.quarantine.Crashed(map[quarantine.Fingerprint]quarantine.Crash{x.fingerprint(): crash}, time.Now())
}
