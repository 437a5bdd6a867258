package sim

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/catalog"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/load"
	"github.com/tinarch/tinarch/internal/placement"
)

func options(t *testing.T, policy placement.Policy) Options {
	t.Helper()
	source, err := catalog.ReadFile("../../../examples/verifica-norte/catalog.yaml")
	if err != nil {
		t.Fatal(err)
	}
	workload, err := load.ReadWorkload("../../../examples/verifica-norte/workload.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return Options{
		Catalog: source, Workload: workload, Policy: policy, Zones: []string{"a", "b", "c"},
		Pools: []Pool{{Name: "comparador", Count: 9, Model: labengine.LargeModel()}, {Name: "portal-socios", Count: 3, Model: labengine.SmallModel()}},
	}
}

func run(t *testing.T, o Options) *Report {
	t.Helper()
	report, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestRunIsAFunctionOfItsSeed(t *testing.T) {
	first, second := run(t, options(t, placement.PolicyPredicted)), run(t, options(t, placement.PolicyPredicted))
	if diff := cmp.Diff(first.Events, second.Events); diff != "" || first.Goodput() != second.Goodput() {
		t.Errorf("goodput %v and %v, events %s", first.Goodput(), second.Goodput(), diff)
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	report := run(t, options(t, placement.PolicyPredicted))
	for _, stream := range report.Streams {
		ended := stream.InDeadline + stream.Late
		for _, count := range stream.Refused {
			ended += count
		}
		if ended != stream.Sent || stream.Sent == 0 {
			t.Errorf("%s: %d sent, %d ended", stream.Name, stream.Sent, ended)
		}
	}
}

// TestPrefixAffinityBeatsBlindPlacement checks that the default policy has a higher goodput
// than the baselines with the same arrivals.
func TestPrefixAffinityBeatsBlindPlacement(t *testing.T) {
	ours := run(t, options(t, placement.PolicyPredicted)).Goodput()
	for _, baseline := range []placement.Policy{placement.PolicyRoundRobin, placement.PolicyLeastLoaded} {
		if theirs := run(t, options(t, baseline)).Goodput(); theirs >= ours {
			t.Errorf("%s has goodput %.4f, the default policy %.4f", baseline, theirs, ours)
		}
	}
}

func TestPortalKeepsItsDeadlineUnderOverload(t *testing.T) {
	o := options(t, placement.PolicyPredicted)
	for i := range o.Workload.Streams {
		if o.Workload.Streams[i].Name == "comparison" {
			o.Workload.Streams[i].Rate = []load.RatePoint{{PerSecond: 40}}
		}
	}
	report := run(t, o)
	for _, stream := range report.Streams {
		if stream.Name == "report-status" && stream.Goodput() < 0.999 {
			t.Errorf("share of portal requests answered within the deadline: %.4f, want at least 0.999", stream.Goodput())
		}
	}
}
