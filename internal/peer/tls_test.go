package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// authority is a certificate authority for nodes.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &authority{certificate, key, pool}
}

// security returns a node's configuration for mutual TLS, with a certificate of this authority.
func (a *authority) security(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		ClientCAs:    a.pool, RootCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestMutualTLSRefusesUntrustedPeers(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Identity{Cluster: "c", Node: "server"}, &Counters{}, quiet())
	serveEcho(server)
	server.Serve(listener, ours.security(t))
	defer server.Close()
	cases := []struct {
		name     string
		security *tls.Config
		want     result.Code
	}{
		{"a certificate of ours", ours.security(t), result.OK},
		{"another authority", theirs.security(t), result.PeerUnavailable},
		{"no TLS", nil, result.PeerUnavailable},
	}
	for _, test := range cases {
		client := NewClient(Identity{Cluster: "c", Node: "client"}, &Counters{}, test.security)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := client.Call(ctx, listener.Addr().String(), "echo", echo{Text: "x"}, nil)
		cancel()
		client.Close()
		if result.CodeOf(err) != test.want {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}
