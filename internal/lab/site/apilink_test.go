package site

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetapi"
	"github.com/tinarch/tinarch/internal/settings"
)

// cutLink is a way to the platform's API that can be cut.
type cutLink struct {
	*httptest.Server
	cut atomic.Bool
}

func startCutLink(t *testing.T, to string) *cutLink {
	t.Helper()
	target, err := url.Parse("http://" + to)
	if err != nil {
		t.Fatal(err)
	}
	link, proxy := &cutLink{}, httputil.NewSingleHostReverseProxy(target)
	link.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if link.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(writer, request)
	}))
	t.Cleanup(link.Close)
	return link
}

func TestUsageIsReportedWhileTheDesignatedNodeDoesNotReachTheAPI(t *testing.T) {
	api := fleetapi.Start()
	t.Cleanup(api.Close)
	s := newSite(t)
	links := make(map[string]*cutLink)
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		link := startCutLink(t, api.Address())
		node, address := s.startNode(name, func(configured *settings.Routed) {
			configured.API = settings.RoutedAPI{Address: strings.TrimPrefix(link.URL, "http://"), Duties: []string{settings.DutyUsageReport}}
			configured.Usage.WindowSeconds = usageWindow.Seconds()
		})
		links[address] = link
		s.others = append(s.others, &otherNode{node: node, address: address})
	}
	s.addWorkers()
	s.store.Put("op", "config", withTenants(1, portoKey))
	reported := func() int {
		for _, other := range s.others {
			s.askAt(other.address, http.MethodGet, "/board/1", map[string]string{"X-Api-Key": portoKey}, "")
		}
		return len(api.Reports())
	}
	s.await("usage is reported", func() bool { return reported() > 2 })
	for _, other := range s.others {
		links[other.address].cut.Store(other.node.Designated())
	}
	before := reported()
	s.await("usage is reported by another node", func() bool { return reported() > before+4 })
	if violations := api.Violations(0); len(violations) > 0 {
		t.Error(violations)
	}
}
