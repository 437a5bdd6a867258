package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
)

// resuming is a Parser of requests that continue a stream.
type resuming struct{ Parser }

func (resuming) Parse(call *dispatch.Call) error {
	call.LastEventID, call.Resumes = "2", "first"
	return nil
}

// foundAt finds all streams to have begun at one service.
type foundAt string

func (f foundAt) Resolve(context.Context, resumption.Request) (resumption.Origin, resumption.Source, *result.Error) {
	return resumption.Origin{Service: string(f), Software: "v1"}, resumption.FromMemory, nil
}

// runner records the service of the last call.
type runner struct{ service string }

func (r *runner) Run(_ context.Context, call *dispatch.Call, caller dispatch.Caller) dispatch.Outcome {
	r.service = call.Service.Name
	caller.Head(http.StatusOK, http.Header{}, 0)
	return dispatch.Outcome{HeadGiven: true}
}

func TestStreamGoesOnOnlyAtItsServiceAndWhileTheRouteLeadsThere(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	services := []*routing.Service{{Name: "heavy"}, {Name: "light"}, {Name: "former"}}
	route := &routing.Route{
		Name: "r", Host: "h.example", PathPrefix: "/r/", Kind: routing.Streaming, Resumable: true, Timeout: time.Second, MaxAttempts: 1,
		Targets: []routing.Target{{Service: "heavy", Weight: 99}, {Service: "light", Weight: 1}, {Service: "former"}},
	}
	table, err := routing.NewTable(1, []*routing.Route{route}, services, routing.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for service, status := range map[string]int{
		"heavy": http.StatusOK, "light": http.StatusOK, "former": http.StatusServiceUnavailable, "elsewhere": http.StatusServiceUnavailable,
	} {
		ran := &runner{}
		f := New(Options{Parser: resuming{}, Runner: ran, Origins: foundAt(service), Log: log, Metrics: NewMetrics(prometheus.NewRegistry())})
		f.SetTable(table)
		request := httptest.NewRequest(http.MethodPost, "/r/1", nil)
		request.Host = "h.example"
		answer := httptest.NewRecorder()
		f.ServeHTTP(answer, request)
		if answer.Code != status || status == http.StatusOK && ran.service != service || status != http.StatusOK && ran.service != "" {
			t.Errorf("a stream of %s was answered %d and ran at %q", service, answer.Code, ran.service)
		}
		if refused := status != http.StatusOK; refused && (!strings.Contains(answer.Body.String(), "2013") || answer.Header().Get("Retry-After") != "") {
			t.Errorf("a stream of %s: %s, Retry-After %q", service, answer.Body, answer.Header().Get("Retry-After"))
		}
	}
}
