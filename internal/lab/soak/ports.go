package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ports are taken from below the kernel's ephemeral range. A port that one process has released
// could otherwise be given to another process a moment later, which would then receive requests
// meant for the first. Each soak process starts at a different port.
const (
	firstPort       = 10_000
	portCount       = 9_000
	portsPerProcess = 211
)

// lastPort counts the ports that this process has tried.
var lastPort atomic.Int64

// listen listens on a port that no process has used recently.
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

// freeAddress returns a free address for a node.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
