package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
)

// fingerprint names what the request asks an engine for.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	content := quarantine.Content{Host: x.kind.Name, Target: string(x.endpoint), Tenant: x.tenant.GetName(), Body: x.body}
	return content.Fingerprint()
}

// checkQuarantine tells why a request may be given to no engine, nil where it may: engines ended
// whenever they ran it.
func (r *runner) checkQuarantine(ctx context.Context, request quarantine.Fingerprint) error {
	status := r.quarantine.Standing(request, time.Now())
	for status.Settling > 0 {
		if err := sleep(ctx, status.Settling); err != nil {
			return err
		}
		status = r.quarantine.Standing(request, time.Now())
	}
	if !status.Quarantined {
		return nil
	}
	return result.New(result.RequestQuarantined, "engines ended whenever they ran this request (%s)", request).WithRetryAfter(status.Left)
}

// probeTimeout bounds the look at an engine that was lost: a few times the way to another
// zone and back.
const probeTimeout = 200 * time.Millisecond

// checkForCrash records that an engine has ended under a request, if that is why an attempt was
// lost: its address takes no connections any more, or another incarnation has it. Otherwise
// only the answer broke off. answering tells that the engine had begun to answer.
func (r *runner) checkForCrash(ctx context.Context, x *exchange, ticket engine.Ticket, answering bool) {
	lookCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	status, err := r.engines.Status(lookCtx, ticket.Address)
	ended := result.CodeOf(err) == result.NoEngine || err == nil && status.Incarnation != ticket.Incarnation
	x.log.WithFields(logrus.Fields{"engine": ticket.Engine, "ended": ended, "fingerprint": x.fingerprint().String()}).
		Info("engine looked at: an attempt was lost")
	if !ended {
		return
	}
	crash := quarantine.Crash{Worker: string(ticket.Incarnation), Address: ticket.Address, Answering: answering}
	r.quarantine.Crashed(map[quarantine.Fingerprint]quarantine.Crash{x.fingerprint(): crash}, time.Now())
}
