package httpguard

import (
	"net"
	"syscall"
)

// isReset reports whether the client has reset the connection. What it sent before can still be read, so a read
// doesn't tell.
func isReset(c net.Conn) bool {
	inner, ok := transport(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(descriptor uintptr) {
		pending, _ = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return err != nil || pending != 0
}
