package site

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetapi"
	"github.com/tinarch/tinarch/internal/settings"
)

// usageWindow is the length of a usage window in these tests.
const usageWindow = 500 * time.Millisecond

// startWithAPI starts a site with tenants whose platform receives usage reports and scaling
// orders.
func startWithAPI(t *testing.T) (*site, *fleetapi.API) {
	t.Helper()
	api := fleetapi.Start()
	t.Cleanup(api.Close)
	s := startWith(t, func(configured *settings.Routed) {
		configured.API = settings.RoutedAPI{Address: api.Address(), Duties: []string{settings.DutyUsageReport, settings.DutyAutoscale, "another"}}
		configured.Usage.WindowSeconds = usageWindow.Seconds()
	})
	config := withTenants(2, portoKey)
	config["Services"].([]any)[0].(map[string]any)["Autoscale"] = map[string]any{
		"Min": 1, "Max": 6, "BootTimeoutS": 4.0, "SpotPrice": 0.18, "ZonePrices": map[string]any{"a": 1.0},
	}
	s.store.Put("op", "config", config)
	s.await("the tenants' keys are in force", func() bool {
		return s.ask(http.MethodGet, "/board/1", nil, "").status == http.StatusUnauthorized
	})
	return s, api
}

// TestUsageOfTenantsIsReported: each request that ran is reported once, even if answers to
// reports are lost, and all reports of a window have the same counts.
func TestUsageOfTenantsIsReported(t *testing.T) {
	s, api := startWithAPI(t)
	want := make(map[string]int)
	for i := range 60 {
		key, name := portoKey, "porto"
		if i%3 == 0 {
			key, name = bragaKey, "braga"
		}
		path := []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"}[i%4]
		if got := s.ask(http.MethodPost, path, map[string]string{"X-Api-Key": key}, "x"); got.status == http.StatusOK {
			want[name]++
		}
		api.SetFaults(fleetapi.Faults{LoseAnswers: i%20 < 10})
		time.Sleep(20 * time.Millisecond)
	}
	api.SetFaults(fleetapi.Faults{})
	total := func() map[string]int {
		sum := make(map[string]int)
		for _, reports := range api.Reports() {
			for tenant, count := range reports[0] {
				sum[tenant] += count
			}
		}
		return sum
	}
	s.await("all requests are reported", func() bool { return maps.Equal(total(), want) })
	if violations := api.Violations(time.Minute); len(violations) > 0 {
		t.Error(violations)
	}
}

// TestWorkersAreOrdered: cheaper spot workers are ordered in place of the running ones.
func TestWorkersAreOrdered(t *testing.T) {
	s, api := startWithAPI(t)
	s.await("spot workers are ordered", func() bool {
		for _, order := range api.Orders() {
			if order.Spot && order.Service == llm && order.Zone == "a" && order.DesiredCount > 0 {
				return true
			}
		}
		return false
	})
	for _, order := range api.Orders() {
		if order.DesiredCount < 0 || order.DesiredCount > 6 {
			t.Errorf("%+v", order)
		}
	}
}
