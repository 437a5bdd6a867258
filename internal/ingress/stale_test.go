package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/routing"
)

// parser is a Parser that accepts every request.
type parser struct{ Parser }

func (parser) Parse(*dispatch.Call) error { return nil }

// TestOutdatedConfigurationIsAnswered503 checks the answers of a node that lacks a newer
// configuration, in which routes may have been added or moved.
func TestOutdatedConfigurationIsAnswered503(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	route := &routing.Route{
		Name: "known", Host: "h.example", PathPrefix: "/known/", Kind: routing.Idempotent, Timeout: time.Second, MaxAttempts: 1,
		Targets: []routing.Target{{Service: "s"}, {Service: "s"}},
	}
	table, err := routing.NewTable(1, []*routing.Route{route}, []*routing.Service{{Name: "s"}}, routing.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		path   string
		behind time.Duration
		want   int
		code   string
	}{
		"an unknown route": {"/new/1", 0, http.StatusNotFound, "1010"},
		"an unknown route, a newer version is coming": {"/new/1", time.Millisecond, http.StatusServiceUnavailable, "2009"},
		"a known route, a newer version is coming":    {"/known/1", outdatedAfter, http.StatusServiceUnavailable, "2004"},
		"a known route, a newer version can't be had": {"/known/1", outdatedAfter + 1, http.StatusServiceUnavailable, "2009"},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Options{
				Parser: parser{}, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()),
				ConfigurationBehind: func() time.Duration { return test.behind },
			})
			f.SetTable(table)
			request := httptest.NewRequest(http.MethodGet, test.path, nil)
			request.Host = "h.example"
			answer := httptest.NewRecorder()
			f.ServeHTTP(answer, request)
			if answer.Code != test.want || !strings.Contains(answer.Body.String(), test.code) {
				t.Errorf("answer %d %s", answer.Code, answer.Body)
			}
			if refused := answer.Code == http.StatusServiceUnavailable; refused && answer.Header().Get("Retry-After") == "" {
				t.Error("the answer has no Retry-After")
			}
		})
	}
}
