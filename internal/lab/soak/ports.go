package soak

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// Ports are taken from below the kernel's ephemeral range, in blocks that a process claims by
// listening on the first port of the block for as long as it runs. A port that a stopped node has
// released could otherwise be given to another process before the node starts again.
const (
	firstPort  = 10_000
	blockCount = 30
	blockSize  = 300
)

// ports hands out the ports of this process's blocks, each once until no block is free.
var ports portBlocks

type portBlocks struct {
	mu sync.Mutex
	// blocks are the claimed blocks, and claims the listeners on their first ports.
	blocks []int
	claims []net.Listener
	// current is the index of the block whose ports are handed out, and used the number of those
	// that have been, the first one included.
	current, used int
}

// next returns the next port.
func (p *portBlocks) next() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.blocks) == 0 || p.used == blockSize {
		if err := p.advance(); err != nil {
			return 0, err
		}
	}
	p.used++
	return firstPort + p.blocks[p.current]*blockSize + p.used - 1, nil
}

// advance goes on with a new block, or with the oldest claimed one if none is free.
func (p *portBlocks) advance() error {
	err := p.claim()
	if err != nil && len(p.blocks) == 0 {
		return err
	}
	if err != nil {
		p.current = (p.current + 1) % len(p.blocks)
	} else {
		p.current = len(p.blocks) - 1
	}
	p.used = 1
	return nil
}

// claim claims the first free block.
func (p *portBlocks) claim() error {
	var last error
	for block := range blockCount {
		listener, err := listenOn(firstPort + block*blockSize)
		if err == nil {
			p.blocks, p.claims = append(p.blocks, block), append(p.claims, listener)
			return nil
		}
		last = err
	}
	return eris.Wrapf(last, "all %d blocks of %d ports from %d on are in use by other soaks", blockCount, blockSize, firstPort)
}

func listenOn(port int) (*linkcut.Listener, error) {
	return linkcut.Listen(fmt.Sprint("127.0.0.1:", port))
}

// listen listens on a port that no other process uses.
func listen() (*linkcut.Listener, error) {
	for {
		port, err := ports.next()
		if err != nil {
			return nil, err
		}
		if listener, err := listenOn(port); err == nil {
			return listener, nil
		}
	}
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
