package node

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

type tlsConfig = tls.Config

// peerSecurity returns the configuration of mutual TLS for the peer port, or nil if none is
// set.
func peerSecurity(files settings.Certificate) (*tlsConfig, error) {
	if !files.IsSet() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "tls.peers: %v", err)
	}
	authority, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "tls.peers.ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, result.New(result.SettingsInvalid, "tls.peers.ca: %s holds no certificate in PEM form", files.CA)
	}
	return &tlsConfig{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// serverSecurity wraps a listener in TLS if a certificate is set. The protocols are offered to clients in
// this order; those of a guarded server (internal/httpguard) are HTTP/1 only.
func serverSecurity(listener net.Listener, files settings.Certificate, key string, protocols ...string) (net.Listener, error) {
	if !files.IsSet() {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return listener, result.New(result.SettingsInvalid, "%s: %v", key, err)
	}
	return tls.NewListener(listener, &tlsConfig{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
	}), nil
}
