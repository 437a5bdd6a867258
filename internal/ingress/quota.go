package ingress

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
)

// Quotas charges tenants for requests. A quota applies to all nodes together.
type Quotas interface {
	// Charge decides whether a request is within its tenant's quota.
	Charge(ctx context.Context, claim quota.ChargeRequest) quota.Outcome
	// Return refunds the charge of a request that hasn't run.
	Return(charge quota.Charge)
}

// charge charges a call's tenant by the sizes that the header declares, before the body is read
// or a worker is chosen. It does nothing for tenants without a limit.
func (h *Handler) charge(ctx context.Context, call *dispatch.Call) *result.Error {
	limit := call.Tenant.Limit()
	if h.quotas == nil || !limit.Limited() {
		return nil
	}
	claim := quota.ChargeRequest{
		Tenant: call.Tenant.Name(), Limit: limit, Version: call.RoutesVersion,
		Cost: limit.Cost(call.PromptTokens + call.OutputTokens),
	}
	verdict := h.quotas.Charge(ctx, claim)
	switch {
	case verdict.Granted:
		call.Charge = claim.Charge()
		return nil
	case ctx.Err() != nil:
		return result.New(result.CallerGone, "the caller left before its quota was known")
	}
	h.logOverQuota(call, claim, verdict)
	return result.New(result.TenantQuota, "tenant %s is over its quota of %g %s a second, with a burst of %g",
		claim.Tenant, limit.Rate, limit.Unit, limit.Burst).WithRetryAfter(verdict.RetryAfter)
}

// logOverQuota logs a request that was refused. The field keeper is the address of the node
// that decided; private means that no keeper answered, so that this node decided by its own
// allowance; left is the level of the bucket, or of the allowance, before the request; and
// reserved is the fraction of the limit that the keeper holds back for silent nodes
// (quota.Outcome).
func (h *Handler) logOverQuota(call *dispatch.Call, claim quota.ChargeRequest, verdict quota.Outcome) {
	h.log.WithFields(logrus.Fields{
		"id": call.ID, "tenant": claim.Tenant, "cost": claim.Cost, "unit": claim.Limit.Unit,
		"rate": claim.Limit.Rate, "burst": claim.Limit.Burst, "routes_version": claim.Version,
		"decided_by_version": verdict.Version, "keeper": verdict.Keeper, "private": verdict.Private,
		"left": verdict.Level, "reserved": verdict.Reserved, "asked": verdict.Asked, "unanswered": verdict.Unanswered,
		"ask_us": verdict.Took.Microseconds(), "retry_after_ms": verdict.RetryAfter.Milliseconds(),
	}).Warn("over quota")
}

// refund refunds the charge of a call that hasn't run.
func (h *Handler) refund(call *dispatch.Call) {
	if call == nil || call.Charge.None() {
		return
	}
	h.quotas.Return(call.Charge)
	call.Charge = quota.Charge{}
}
