package tcpstate

import (
	"io"
	"net"
	"testing"
)

// connect returns the two ends of a TCP connection whose second end buffers little.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := net.DialTCP("tcp4", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), far.Close() })
	_ = far.SetReadBuffer(32 << 10)
	_ = dialed.SetWriteBuffer(1 << 20)
	return dialed, far
}

func TestUnacknowledged(t *testing.T) {
	near, far := connect(t)
	const size = 256 << 10
	if _, err := near.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if count := Unacknowledged(near); count == 0 || count > size {
		t.Errorf("%d bytes of %d are unacknowledged before the peer has read any", count, size)
	}
	if _, err := io.CopyN(io.Discard, far, size); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if count := Unacknowledged(near); count != 0 {
		t.Errorf("%d bytes are unacknowledged after the peer has read all and answered", count)
	}
}

func TestUnacknowledgedOfAConnectionThatWasReset(t *testing.T) {
	near, far := connect(t)
	if _, err := near.Write(make([]byte, 256<<10)); err != nil {
		t.Fatal(err)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	_, _ = io.Copy(io.Discard, near)
	if Unacknowledged(near) == 0 {
		t.Error("all bytes count as acknowledged after a reset")
	}
}

func TestUnacknowledgedOfNoSocket(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if count := Unacknowledged(near); count != 0 {
		t.Errorf("%d bytes of a pipe are unacknowledged", count)
	}
}
