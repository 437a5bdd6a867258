// Package httpclient makes the HTTP clients of the platform's adapters: each holds
// few connections, and none for long, because there are hundreds of nodes.
package httpclient

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = 5 * time.Second
	maxIdle     = 2
)

// New returns a client whose calls take at most timeout.
func New(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
		},
	}
}
