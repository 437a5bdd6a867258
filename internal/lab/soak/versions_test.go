package soak

import (
	"errors"
	"net/http"
	"slices"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// versionedBody is a body with the events from one id to another, of a version.
func versionedBody(first, last int, version string) string {
	body := ""
	for number := first; number <= last; number++ {
		body += fleetworker.SoftwareField + version + "\n" + fleetworker.Body("x", number, number-1)
	}
	return body
}

func tryOf(resumes string, bodies ...string) observation {
	got := observation{id: "t", resumes: resumes, status: http.StatusOK, timeout: clientTimeout}
	for _, body := range bodies {
		rest, versions := withoutVersions(body)
		got.body += rest
		got.versions = append(got.versions, versions...)
	}
	return got
}

func TestJoinedStreamsAreSeen(t *testing.T) {
	at := func(try observation) observation { try.earlier = true; return try }
	for name, example := range map[string]struct {
		tries  []observation
		broken bool
	}{
		"whole":                      {[]observation{tryOf("", versionedBody(1, 8, "v1"))}, false},
		"taken up":                   {[]observation{tryOf("", versionedBody(1, 3, "v1")), tryOf("t", versionedBody(4, 8, "v1"))}, false},
		"refused":                    {[]observation{tryOf("", versionedBody(1, 3, "v1")), {status: http.StatusServiceUnavailable, resumes: "t"}}, false},
		"two versions, one answer":   {[]observation{tryOf("", versionedBody(1, 3, "v1"), versionedBody(4, 8, "v2"))}, true},
		"two versions, two answers":  {[]observation{tryOf("", versionedBody(1, 3, "v1")), tryOf("t", versionedBody(4, 8, "v2"))}, true},
		"joined by an earlier build": {[]observation{tryOf("", versionedBody(1, 3, "v1")), at(tryOf("t", versionedBody(4, 8, "v2")))}, false},
		"begun by an earlier build":  {[]observation{at(tryOf("", versionedBody(1, 3, "v1"))), tryOf("t", versionedBody(4, 8, "v2"))}, true},
		"an event is missing":        {[]observation{tryOf("", versionedBody(1, 3, "v1")), tryOf("t", versionedBody(5, 8, "v1"))}, true},
		"an event comes twice":       {[]observation{tryOf("", versionedBody(1, 3, "v1")), tryOf("t", versionedBody(3, 8, "v1"))}, true},
		"cut inside an event":        {[]observation{tryOf("", versionedBody(1, 2, "v1")+"software: v1\nid: 3\nda"), tryOf("t", versionedBody(3, 8, "v1"))}, false},
	} {
		r := streamReportOf([]stream{{tries: example.tries}})
		if got := len(r.violations()) > 0; got != example.broken {
			t.Errorf("%s: %v", name, r.violations())
		}
	}
}

func TestStreamsThatDoNotGoOnWithoutFaultsAreSeen(t *testing.T) {
	refused := observation{status: http.StatusServiceUnavailable, resumes: "t", timeout: clientTimeout}
	left := observation{err: errors.New("left"), resumes: "t", timeout: 1}
	begun := tryOf("", versionedBody(1, 3, "v1"))
	byEarlier, refusedByEarlier := begun, observation{status: http.StatusServiceUnavailable, timeout: clientTimeout}
	byEarlier.earlier, refusedByEarlier.earlier = true, true
	goesOn := tryOf("t", versionedBody(4, 8, "v1"))
	quiet := func(count int, tries ...observation) []stream {
		return slices.Repeat([]stream{{tries: append([]observation{begun}, tries...), quiet: true}}, count)
	}
	for name, example := range map[string]struct {
		streams []stream
		broken  bool
	}{
		"all go on":                      {quiet(12, goesOn), false},
		"half go on":                     {slices.Concat(quiet(6, goesOn), quiet(6, refused)), false},
		"fewer go on":                    {slices.Concat(quiet(5, goesOn), quiet(7, refused)), true},
		"too few to tell":                {quiet(11, refused), false},
		"their callers leave":            {quiet(20, left), false},
		"an earlier build began":         {slices.Repeat([]stream{{tries: []observation{byEarlier, refused}, quiet: true}}, 12), false},
		"an earlier build refused first": {slices.Concat(quiet(1), slices.Repeat([]stream{{tries: []observation{refusedByEarlier, begun, refused}, quiet: true}}, 12)), true},
	} {
		if got := len(streamReportOf(example.streams).violations()) > 0; got != example.broken {
			t.Errorf("%s: %v", name, got)
		}
	}
}
