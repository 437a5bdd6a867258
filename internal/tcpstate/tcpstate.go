// Package tcpstate reads the state that the kernel keeps of a TCP connection.
package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that its peer has not
// acknowledged, zero if the connection is no socket. It also works on a connection that the peer has ended.
func Unacknowledged(c net.Conn) int {
	access, isSocket := c.(syscall.Conn)
	if !isSocket {
		return 0
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return queued
}
