package linkcut

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"
)

// nodesMu guards the sockets' filters that CutFrom and RestoreTo set.
var nodesMu sync.Mutex

// Nodes are the addresses of nodes that run in this process. Each listens and connects from an address of
// its own, which no other socket of the process is bound to.
type Nodes []netip.Addr

// CutFrom cuts the links between the nodes and another one of this process: datagrams, connections that are open, and
// new ones are dropped in the kernel.
func (n Nodes) CutFrom(other netip.Addr) {
	n.apply(other, []netip.Addr{other}, n)
}

// RestoreTo makes the links to another node of this process work again.
func (n Nodes) RestoreTo(other netip.Addr) {
	n.apply(other, nil, nil)
}

// apply makes the sockets of the nodes drop all packets from some addresses, and those of the other node all from some.
func (n Nodes) apply(other netip.Addr, byNodes, byOther []netip.Addr) {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, fd := range openFiles() {
		local := localIP(fd)
		switch {
		case local == other:
			filterDescriptor(fd, byOther)
		case slices.Contains(n, local):
			filterDescriptor(fd, byNodes)
		}
	}
}

// openFiles returns the descriptors of this process.
func openFiles() []int {
	entries, _ := os.ReadDir("/proc/self/fd")
	var descriptors []int
	for _, entry := range entries {
		if fd, err := strconv.Atoi(entry.Name()); err == nil {
			descriptors = append(descriptors, fd)
		}
	}
	return descriptors
}

// localIP returns the IPv4 address that a descriptor is bound to, the zero value if it has none.
func localIP(fd int) netip.Addr {
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.Addr{}
	}
	if inet, isIPv4 := bound.(*unix.SockaddrInet4); isIPv4 {
		return netip.AddrFrom4(inet.Addr)
	}
	return netip.Addr{}
}
