// Package httpheader processes the headers of requests and answers that are forwarded.
package httpheader

import (
	"net/http"
	"strings"
)

// connectionHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1) and Content-Length,
// which is set anew for the body that is sent.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// WithoutHopByHop returns a copy of a header without hop-by-hop fields, including those that
// the Connection field names, and without Content-Length.
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
