// Package httpclient creates the HTTP clients for the services of the platform. Each client
// keeps few connections open and closes them soon, because hundreds of nodes use the same
// services.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/httphead"
)

const (
	dialTimeout = time.Second
	idleTimeout = 5 * time.Second
	maxIdle     = 2
)

// New returns a client whose calls take no longer than timeout.
func New(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: httphead.Transport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
		}),
	}
}
