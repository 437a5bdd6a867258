package workerconn

import (
	"context"
	"net"
	"time"
)

// storeKeepAlive finds a dead path under a call that waits for long.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialStore opens a connection for calls that may wait for long: a path that goes
// silent ends them within a few seconds.
func DialStore(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout * 2, KeepAliveConfig: storeKeepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}
