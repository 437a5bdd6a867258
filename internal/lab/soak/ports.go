package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// The soak's ports lie below those that the kernel gives to whoever asks for any: a port of
// those that a process has left may be another one's a moment later, which then gets
// requests that were meant for the first. Each process begins elsewhere.
const (
	firstPort       = 10_000
	portCount       = 9_000
	portsPerProcess = 211
)

// lastPort counts the ports given out by this process.
var lastPort atomic.Int64

// listen opens a port that no process has had lately.
func listen() (net.Listener, error) {
	var last error
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+int(lastPort.Add(1)))%portCount
		listener, err := net.Listen("tcp4", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, eris.Wrap(last, "no port is free")
}

// freeAddress returns an address that is free for a node.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
