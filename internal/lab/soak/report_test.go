package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// goodRequest returns a request that was answered correctly, its run, and the worker.
func goodRequest(t *testing.T, kind class) (observation, []fleetworker.Run, map[string]*soakWorker) {
	t.Helper()
	worker := &soakWorker{Worker: fleetworker.Start(fleetworker.Options{ID: "w"})}
	t.Cleanup(worker.Close)
	header := http.Header{}
	header.Set("X-Instance-Id", "w")
	header.Set("X-Request-Id", "id")
	header.Set("X-Response-Signature", worker.Signature("id"))
	got := observation{id: "id", class: kind, status: http.StatusOK, header: header, body: completeAnswer("id")}
	got.tenant = "t"
	return got, []fleetworker.Run{{ID: "id", Worker: "w", Target: kind.prefix + "id", Header: http.Header{"X-Tenant": {"t"}}}}, map[string]*soakWorker{"w": worker}
}

// TestCheckersFind: each check of a request can fail.
func TestCheckersFind(t *testing.T) {
	submit, status := classes[1], classes[0]
	for _, example := range []struct {
		name       string
		kind       class
		change     func(*observation, *[]fleetworker.Run)
		violations int
	}{
		{"nothing", submit, func(*observation, *[]fleetworker.Run) {}, 0},
		{"ran twice", submit, func(_ *observation, runs *[]fleetworker.Run) { *runs = append(*runs, (*runs)[0]) }, 1},
		{"may run twice", status, func(_ *observation, runs *[]fleetworker.Run) { *runs = append(*runs, (*runs)[0]) }, 0},
		{"answered as not run", submit, func(got *observation, _ *[]fleetworker.Run) { got.status = http.StatusServiceUnavailable }, 1},
		{"not run", submit, func(got *observation, runs *[]fleetworker.Run) {
			got.status, *runs = http.StatusServiceUnavailable, nil
		}, 0},
		{"refused as invalid", submit, func(got *observation, runs *[]fleetworker.Run) { got.status, *runs = http.StatusNotFound, nil }, 1},
		{"another target", submit, func(_ *observation, runs *[]fleetworker.Run) { (*runs)[0].Target = "/other" }, 1},
		{"another tenant", submit, func(got *observation, _ *[]fleetworker.Run) { got.tenant = "u" }, 1},
		{"an API key at the worker", submit, func(_ *observation, runs *[]fleetworker.Run) { (*runs)[0].Header.Set("X-Api-Key", "k") }, 1},
		{"short answer", submit, func(got *observation, _ *[]fleetworker.Run) { got.body = got.body[1:] }, 1},
		{"cut answer", submit, func(got *observation, _ *[]fleetworker.Run) { got.body, got.err = "", errors.New("cut") }, 0},
		{"another's answer", submit, func(got *observation, _ *[]fleetworker.Run) { got.header.Set("X-Request-Id", "other") }, 1},
		{"another's signature", submit, func(got *observation, _ *[]fleetworker.Run) { got.header.Set("X-Response-Signature", "other") }, 1},
	} {
		got, runs, workers := goodRequest(t, example.kind)
		example.change(&got, &runs)
		if broken := checkRequest(got, runs, workers); len(broken) != example.violations {
			t.Errorf("%s: %v", example.name, broken)
		}
	}
}

func TestReportFindsWhatNobodySentAndWhatIsNotServed(t *testing.T) {
	_, _, workers := goodRequest(t, classes[0])
	worker := workers["w"]
	request, err := http.NewRequest(http.MethodPost, "http://"+worker.Address()+"/submit/unsent", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", "unsent")
	request.Header.Set("X-Expect-Instance", "w")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	l := newLoad(&site{workers: []*soakWorker{worker}, watch: newWatch()})
	l.quietSince = time.Now().Add(-quietPeriod)
	l.observations = []observation{{id: "late", class: classes[0], sent: time.Now(), status: http.StatusServiceUnavailable}}
	report := l.report()
	if len(report.Broken) != 2 || report.QuietSent != 1 || report.Served != 0 {
		t.Errorf("%+v", report)
	}
}
