package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// quotaMessage is a message about quota accounts. One of its fields is set.
type quotaMessage struct {
	Ask   *wireQuotaRequest `json:"a,omitempty"`
	Reply *wireQuotaReply   `json:"r,omitempty"`
	// Reports hold what the sender has used, by account.
	Reports map[string]wireQuotaReport `json:"t,omitempty"`
	// Probe asks the receiver for its report of this account.
	Probe string `json:"p,omitempty"`
}

// wireQuotaReport is an encoded quota.Report.
type wireQuotaReport struct {
	Taken     float64 `json:"t,omitempty"`
	Returned  float64 `json:"r,omitempty"`
	AgeMillis int64   `json:"a,omitempty"`
	Before    float64 `json:"n,omitempty"`
	Rate      float64 `json:"l"`
	Burst     float64 `json:"b,omitempty"`
	Unit      string  `json:"u"`
	Version   uint64  `json:"v,omitempty"`
}

// wireQuotaRequest is an encoded quota.DecisionRequest.
type wireQuotaRequest struct {
	ID             uint64          `json:"i"`
	Account        string          `json:"n"`
	Cost           float64         `json:"c"`
	PatienceMillis int64           `json:"p,omitempty"`
	Report         wireQuotaReport `json:"t"`
	// Limit is what the asking node knows of a limit that workers state.
	Limit *wireLimit `json:"lm,omitempty"`
}

func (f wireQuotaRequest) ask(from quota.Spender) quota.DecisionRequest {
	return quota.DecisionRequest{
		Account: f.Account, From: from, Report: f.Report.report(), Cost: f.Cost,
		Patience: time.Duration(f.PatienceMillis) * time.Millisecond,
	}
}

// wireQuotaReply is an encoded quota.Decision.
type wireQuotaReply struct {
	ID         uint64  `json:"i"`
	Granted    bool    `json:"g,omitempty"`
	Cold       bool    `json:"c,omitempty"`
	Level      float64 `json:"l"`
	WaitMillis int64   `json:"w,omitempty"`
	Share      float64 `json:"s,omitempty"`
	Reserved   float64 `json:"r,omitempty"`
	Version    uint64  `json:"v,omitempty"`

	DelayMillis int64 `json:"d,omitempty"`
	NextMillis  int64 `json:"x,omitempty"`
	// Account and Limit are what the keeper knows of a limit that workers state.
	Account string     `json:"n,omitempty"`
	Limit   *wireLimit `json:"lm,omitempty"`
	// KnownMillis is how long a cold keeper has known all usage. Earlier builds leave it out.
	KnownMillis int64 `json:"k,omitempty"`
}

func renderQuotaReport(report quota.Report) wireQuotaReport {
	return wireQuotaReport{
		Taken: report.Taken, Returned: report.Returned, AgeMillis: report.Age.Milliseconds(), Before: report.Before,
		Rate: report.Limit.Rate, Burst: report.Limit.Burst, Unit: string(report.Limit.Unit), Version: report.Version,
	}
}

func (f wireQuotaReport) report() quota.Report {
	return quota.Report{
		Counters: quota.Counters{Taken: f.Taken, Returned: f.Returned},
		Age:      time.Duration(f.AgeMillis) * time.Millisecond, Before: f.Before,
		Limit: quota.Limit{Rate: f.Rate, Burst: f.Burst, Unit: quota.Unit(f.Unit)}, Version: f.Version,
	}
}

func renderQuotaReply(id uint64, decision quota.Decision) *wireQuotaReply {
	known := int64(0)
	if decision.Cold {
		known = max(decision.KnownFor.Milliseconds(), 1)
	}
	return &wireQuotaReply{
		KnownMillis: known,
		ID:          id, Granted: decision.Granted, Cold: decision.Cold, Level: decision.Level,
		WaitMillis: decision.Wait.Milliseconds(), Share: decision.Share, Reserved: decision.Reserved, Version: decision.Version,
		DelayMillis: decision.Delay.Milliseconds(), NextMillis: decision.Next.Milliseconds(),
	}
}

// renderReply encodes the answer to a request, with what this node knows of the limit.
func (q *quotaExchange) renderReply(ask wireQuotaRequest, decision quota.Decision, now time.Time) *wireQuotaReply {
	reply := renderQuotaReply(ask.ID, decision)
	if q.limits != nil {
		reply.Account, reply.Limit = ask.Account, q.limits.currentLimit(ask.Account, now)
	}
	return reply
}

func (f wireQuotaReply) decision() quota.Decision {
	return quota.Decision{
		Granted: f.Granted, Cold: f.Cold, KnownFor: time.Duration(f.KnownMillis) * time.Millisecond, Level: f.Level,
		Wait: time.Duration(f.WaitMillis) * time.Millisecond, Share: f.Share, Reserved: f.Reserved, Version: f.Version,
		Delay: time.Duration(f.DelayMillis) * time.Millisecond, Next: time.Duration(f.NextMillis) * time.Millisecond,
	}
}
