package soak

import "testing"

// TestProcessesTakeDifferentPorts guards against a node that can't start again since another soak
// on the machine has taken its port.
func TestProcessesTakeDifferentPorts(t *testing.T) {
	var here, there portBlocks
	taken := make(map[int]bool)
	for range 2 * blockSize {
		for _, process := range []*portBlocks{&here, &there} {
			port, err := process.next()
			if err != nil {
				t.Fatal(err)
			}
			if taken[port] {
				t.Fatalf("port %d was handed out twice", port)
			}
			taken[port] = true
		}
	}
	for _, process := range []*portBlocks{&here, &there} {
		for _, claim := range process.claims {
			_ = claim.Close()
		}
	}
}
