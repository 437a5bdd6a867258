package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// echoServer starts a server that echoes what it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return listener.Addr().String()
}

func dialProxy(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoed reports whether a byte is echoed within a time.
func echoed(c net.Conn, within time.Duration) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestProxyModes(t *testing.T) {
	p, err := StartProxy(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dialProxy(t, p)
	const long, short = 20 * time.Second, 50 * time.Millisecond
	if !echoed(c, long) {
		t.Fatal("no data is forwarded")
	}
	for _, mode := range []Mode{Silent, OneWay} {
		p.SetMode(mode)
		if echoed(c, short) {
			t.Errorf("%s: an answer was forwarded", mode)
		}
		p.SetMode(Pass)
		_ = c.SetReadDeadline(time.Now().Add(long))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("%s: data that was held back is lost: %v", mode, err)
		}
	}
	p.SetMode(Slow)
	if !echoed(c, long) {
		t.Error("slow mode forwards no data")
	}
	p.SetMode(Reset)
	if echoed(c, long) {
		t.Error("a reset connection still works")
	}
	p.SetMode(Pass)
	if !echoed(dialProxy(t, p), long) {
		t.Error("no data is forwarded after a reset")
	}
}
