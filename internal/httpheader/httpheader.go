// Package httphead handles the headers of requests and answers that are passed on.
package httpheader

import (
	"net/http"
	"strings"
)

// connectionHeaders pertain to one connection (RFC 9110, section 7.6.1). The length
// is that of the body that is sent anew.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// WithoutHopByHop returns a copy without the headers of one connection, those
// that Connection names included.
func WithoutHopByHop(header http.Header) http.Header {
	kept := header.Clone()
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}
