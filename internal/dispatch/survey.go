package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// LoadReports tells the load that all nodes have placed on workers. Each worker's load is
// tracked by some of the nodes, to which the others report theirs.
type LoadReports interface {
	// Tracked reports for each worker whether this node tracks its load.
	Tracked(workers []string) []bool
	// Ask asks other nodes for the load of workers, as a request of a rank with a prompt of
	// these parts finds it, and for the workers that have cached what the prompt shares. It
	// returns the answers that arrived in time.
	Ask(ctx context.Context, workers []string, parts []prefixcache.Part, rank int) scheduling.Answers
	// TrackedEngines returns the engines whose load this node tracks. It returns false if plans
	// are to consider all workers.
	TrackedEngines() (engines map[string]bool, some bool)
	// RoundTrip is the round-trip time to a region, zero for the node's own.
	RoundTrip(region string) time.Duration
}

// questionStats describes the questions to other nodes about one plan, for the log.
type questionStats struct {
	asked, answered int
	// holders is the number of workers that are reported to have cached what the prompt shares.
	holders int
	took    time.Duration
}

// candidates describes the workers that may get the call.
func (s *session) candidates() []scheduling.Candidate {
	candidates := s.withTurnInTime(s.withoutOtherSuspects(s.describeCandidates()))
	if s.loadReports == nil {
		return candidates
	}
	return s.withReportState(candidates)
}

// describeCandidates returns the workers that may get the call: those on the shortlist if this
// node tracks only some of the workers, or else all.
func (s *session) describeCandidates() []scheduling.Candidate {
	now, service := time.Now(), s.call.Service.Name
	if s.loadReports != nil && s.call.PromptTokens > 0 {
		if kept, some := s.loadReports.TrackedEngines(); some {
			names := scheduling.Shortlist(s.request(), s.registry.Outlines(service, kept, now))
			return s.describe(append(names, slices.Collect(maps.Keys(s.reports))...))
		}
	}
	return s.registry.Candidates(service, s.call.Prompt, s.call.rank(), now)
}

// describe describes the named workers, each once.
func (s *session) describe(workers []string) []scheduling.Candidate {
	slices.Sort(workers)
	return s.registry.CandidatesAmong(s.call.Service.Name, slices.Compact(workers), s.call.Prompt, s.call.rank(), time.Now())
}

// withReportState marks the candidates whose load this node does not track, and adds the
// round-trip times of other regions.
func (s *session) withReportState(candidates []scheduling.Candidate) []scheduling.Candidate {
	ids := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		ids = append(ids, candidate.ID)
	}
	for i, kept := range s.loadReports.Tracked(ids) {
		if !kept {
			candidates[i].Report = scheduling.Unasked
		}
		if candidates[i].OtherRegion {
			candidates[i].RoundTrip = float64(s.loadReports.RoundTrip(candidates[i].Region)) / float64(time.Millisecond)
		}
	}
	return candidates
}

// preselect narrows candidates down (scheduling.Preselect) and adds what other nodes know of
// the chosen ones.
func (s *session) preselect(ctx context.Context, request scheduling.Request, candidates []scheduling.Candidate, wide bool) []scheduling.Candidate {
	if request.PromptTokens == 0 {
		return candidates
	}
	chosen := scheduling.Preselect(request, candidates, wide)
	var unasked []string
	for _, candidate := range chosen {
		if candidate.Report == scheduling.Unasked {
			unasked = append(unasked, candidate.ID)
		}
	}
	if len(unasked) == 0 {
		return chosen
	}
	begun := time.Now()
	answers := s.loadReports.Ask(ctx, unasked, s.call.Prompt, s.call.rank())
	s.reports = answers.Reports
	s.questionStats = questionStats{
		asked: len(unasked), answered: len(s.reports), holders: len(answers.Holders), took: time.Since(begun),
	}
	return scheduling.WithHolders(s.withReports(chosen), s.withHolders(candidates, answers.Holders), answers.Holders)
}

// withHolders adds the workers to the candidates that are reported to have the content cached
// and were not on the shortlist.
func (s *session) withHolders(candidates []scheduling.Candidate, holders []scheduling.Holder) []scheduling.Candidate {
	var missing []string
	for _, holder := range holders {
		if !slices.ContainsFunc(candidates, func(c scheduling.Candidate) bool { return c.ID == holder.Worker }) {
			missing = append(missing, holder.Worker)
		}
	}
	if len(missing) == 0 {
		return candidates
	}
	return append(slices.Clip(candidates), s.describe(missing)...)
}

// withReports adds the load reports of other nodes to the chosen candidates.
func (s *session) withReports(chosen []scheduling.Candidate) []scheduling.Candidate {
	withReports := make([]scheduling.Candidate, 0, len(chosen))
	for _, candidate := range chosen {
		report, answered := s.reports[candidate.ID]
		switch {
		case candidate.Report != scheduling.Unasked:
		case !answered:
			candidate.Report = scheduling.Unanswered
		case report.Changing:
			continue
		default:
			candidate = candidate.WithReport(report)
			candidate.Host = s.registry.HostFactor(candidate.ID, time.Now()) // the report brought a statement
		}
		withReports = append(withReports, candidate)
	}
	return scheduling.WithKnownLoad(withReports)
}

// planAcrossRegions plans the request in the regions that are considered first, and in another
// one if these cannot serve it in time. Late requests stay in the first ones.
func (s *session) planAcrossRegions(ctx context.Context, request scheduling.Request) scheduling.Plan {
	var plan scheduling.Plan
	for i, scope := range scheduling.Scopes(request, s.candidates()) {
		other := s.planInRegion(ctx, request, scope.Candidates)
		if i == 0 || other.InTime() || plan.Mode == scheduling.Refused && other.Mode != scheduling.Refused {
			plan, s.reach = other, scope.Reach
		}
		if plan.InTime() {
			break
		}
	}
	return plan
}

// planInRegion plans the request over preselected workers, and over more of them if none of
// these can serve it at all. If they can serve it only too late it is refused, because more
// questions to other nodes would slow down all answers in an overload.
func (s *session) planInRegion(ctx context.Context, request scheduling.Request, candidates []scheduling.Candidate) scheduling.Plan {
	narrow := s.preselect(ctx, request, candidates, false)
	plan := s.scheduler.Plan(request, narrow)
	if plan.Reason != scheduling.NoWorker || len(narrow) == len(candidates) {
		return plan
	}
	return s.scheduler.Plan(request, s.preselect(ctx, request, candidates, true))
}

// chooseRunner chooses the decode engine for a prompt that was read apart: among those whose
// load was asked for when the prefill was planned, or else with new questions.
func (s *session) chooseRunner(ctx context.Context, reader scheduling.Candidate) scheduling.Plan {
	request := s.request()
	var runners, asked []scheduling.Candidate
	for _, candidate := range s.candidates() {
		if !candidate.Decode {
			continue
		}
		if candidate.Region == reader.Region {
			runners = append(runners, candidate)
		}
		if _, answered := s.reports[candidate.ID]; answered || candidate.Report == scheduling.Tracked {
			asked = append(asked, candidate)
		}
	}
	if plan := s.scheduler.ChooseRunner(request, s.withReports(asked), reader.Region); plan.Mode != scheduling.Refused && isSound(plan.Runner) {
		return plan
	}
	return s.scheduler.ChooseRunner(request, s.preselect(ctx, request, runners, false), reader.Region)
}

// isSound reports whether a worker is neither avoided nor leaving.
func isSound(c scheduling.Candidate) bool { return !c.Avoid && !c.Leaving }

// roundTrip is the round-trip time to a worker of another region. It is no part of what is
// learned of the worker's engine.
func roundTrip(c scheduling.Candidate) time.Duration {
	return time.Duration(c.RoundTrip * float64(time.Millisecond))
}
