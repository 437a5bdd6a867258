package httpheader

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWithoutHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3", "4"},
		"Keep-Alive": {"timeout=1"}, "Transfer-Encoding": {"chunked"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Content-Length": {"7"},
	}
	before := header.Clone()
	if diff := cmp.Diff(http.Header{"X-Three": {"3", "4"}}, WithoutHopByHop(header)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(before, header); diff != "" {
		t.Errorf("the header itself was changed: %s", diff)
	}
}
