package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/quota"
)

// quotaForm is one message on quotas.
type quotaForm struct {
	Ask   *quotaAskForm   `json:"a,omitempty"`
	Reply *quotaReplyForm `json:"r,omitempty"`
	// Reports hold, by account, what the sender has used.
	Reports map[string]quotaReportForm `json:"t,omitempty"`
	// Probe asks for the receiver's report of an account.
	Probe string `json:"p,omitempty"`
}

// quotaReportForm is a quota.Report.
type quotaReportForm struct {
	Taken     float64 `json:"t,omitempty"`
	Returned  float64 `json:"r,omitempty"`
	AgeMillis int64   `json:"a,omitempty"`
	Before    float64 `json:"n,omitempty"`
	Rate      float64 `json:"l"`
	Burst     float64 `json:"b,omitempty"`
	Unit      string  `json:"u"`
	Version   uint64  `json:"v,omitempty"`
}

// quotaAskForm is a quota.Ask.
type quotaAskForm struct {
	ID             uint64          `json:"i"`
	Account        string          `json:"n"`
	Cost           float64         `json:"c"`
	PatienceMillis int64           `json:"p,omitempty"`
	Report         quotaReportForm `json:"t"`
	// Limit is what the asker knows of the limit, where limits are learned.
	Limit *limitForm `json:"lm,omitempty"`
}

func (f quotaAskForm) ask(from quota.Spender) quota.DecisionRequest {
	return quota.DecisionRequest{
		Account: f.Account, From: from, Report: f.Report.report(), Cost: f.Cost,
		Patience: time.Duration(f.PatienceMillis) * time.Millisecond,
	}
}

// quotaReplyForm is a quota.Decision.
type quotaReplyForm struct {
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
	// Account and Limit are what the keeper knows of the limit, where limits are learned.
	Account string     `json:"n,omitempty"`
	Limit   *limitForm `json:"lm,omitempty"`
}

func renderQuotaReport(report quota.Report) quotaReportForm {
	return quotaReportForm{
		Taken: report.Taken, Returned: report.Returned, AgeMillis: report.Age.Milliseconds(), Before: report.Before,
		Rate: report.Limit.Rate, Burst: report.Limit.Burst, Unit: string(report.Limit.Unit), Version: report.Version,
	}
}

func (f quotaReportForm) report() quota.Report {
	return quota.Report{
		Counters: quota.Counters{Taken: f.Taken, Returned: f.Returned},
		Age:      time.Duration(f.AgeMillis) * time.Millisecond, Before: f.Before,
		Limit: quota.Limit{Rate: f.Rate, Burst: f.Burst, Unit: quota.Unit(f.Unit)}, Version: f.Version,
	}
}

func renderQuotaReply(id uint64, decision quota.Decision) *quotaReplyForm {
	return &quotaReplyForm{
		ID: id, Granted: decision.Granted, Cold: decision.Cold, Level: decision.Level,
		WaitMillis: decision.Wait.Milliseconds(), Share: decision.Share, Reserved: decision.Reserved, Version: decision.Version,
		DelayMillis: decision.Delay.Milliseconds(), NextMillis: decision.Next.Milliseconds(),
	}
}

// renderReply renders the answer to an ask, with what is known of the limit.
func (q *quotaExchange) renderReply(ask quotaAskForm, decision quota.Decision, now time.Time) *quotaReplyForm {
	reply := renderQuotaReply(ask.ID, decision)
	if q.limits != nil {
		reply.Account, reply.Limit = ask.Account, q.limits.form(ask.Account, now)
	}
	return reply
}

func (f quotaReplyForm) decision() quota.Decision {
	return quota.Decision{
		Granted: f.Granted, Cold: f.Cold, Level: f.Level,
		Wait: time.Duration(f.WaitMillis) * time.Millisecond, Share: f.Share, Reserved: f.Reserved, Version: f.Version,
		Delay: time.Duration(f.DelayMillis) * time.Millisecond, Next: time.Duration(f.NextMillis) * time.Millisecond,
	}
}
