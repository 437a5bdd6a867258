package workerconn

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// storeKeepAlive detects a broken network path while a call waits for its answer.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialStore opens a connection for long-polling calls to the store. If the network path breaks,
// they fail within a few seconds.
func DialStore(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout * 2, KeepAliveConfig: storeKeepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// lingerDefault, as a value of SetLinger, lets the kernel send what was written to a connection
// after it is closed.
const lingerDefault = -1

// DropUnsent makes the kernel discard unacknowledged data when the connection is closed, and
// close it when the peer has acknowledged nothing for the given timeout. The kernel enforces
// this also while the process is paused. Without it the kernel would go on sending.
func DropUnsent(c net.Conn, timeout time.Duration) error {
	return setLingerAndUserTimeout(c, 0, timeout)
}

// setLingerAndUserTimeout sets SO_LINGER in seconds and TCP_USER_TIMEOUT.
func setLingerAndUserTimeout(c net.Conn, linger int, timeout time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return eris.Errorf("%T isn't a TCP connection", c)
	}
	if err := tcp.SetLinger(linger); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
