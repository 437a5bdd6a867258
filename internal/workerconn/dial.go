package workerconn

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// storeKeepAlive finds a dead path under a call that waits for long.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialStore opens a connection for calls that may wait for long: a path that goes
// silent ends them within a few seconds.
func DialStore(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout * 2, KeepAliveConfig: storeKeepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// lingerDefault has the kernel send on what was written to a connection that is closed.
const lingerDefault = -1

// DropUnsent has a connection drop what its peer hasn't acknowledged when it is closed, or
// when that takes longer than a timeout, which the kernel watches also while this process
// is paused. Otherwise the kernel goes on sending it.
func DropUnsent(c net.Conn, timeout time.Duration) error {
	return setLingerAndUserTimeout(c, 0, timeout)
}

// setLingerAndUserTimeout sets for how many seconds a closed connection goes on sending, and how long
// its peer may acknowledge nothing.
func setLingerAndUserTimeout(c net.Conn, linger int, timeout time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return eris.Errorf("%T is no TCP connection", c)
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
