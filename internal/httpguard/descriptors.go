package httpguard

import "golang.org/x/sys/unix"

// defaultDescriptors is assumed where the system doesn't tell a limit.
const defaultDescriptors = 1024

// callerDescriptors is the part of the descriptors, in tenths, that callers may take. The others are for
// workers, tunnels, other nodes and the store.
const callerDescriptors = 6

// CallerConnections returns the most connections of callers for a number of descriptors, zero for the
// system's limit.
func CallerConnections(descriptors int) int {
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	return max(descriptors*callerDescriptors/10, 1)
}

// systemDescriptors returns the system's limit of descriptors for this process.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}
