package nodeexchange

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// generationMark begins the incarnations of builds that state their generation. It sorts before
// the incarnations of builds that don't, which are hexadecimal.
const generationMark = "0-"

// generation is the generation of this build's rules for the duties of the platform. All builds
// designate the present supervisor with the lowest incarnation, so builds side by side leave the
// duties to the one whose letter is lower. A build takes the letter before this one if an
// earlier build would break a promise by acting in its place.
const generation = "x"

// incarnationBytes is the number of random bytes of an incarnation.
const incarnationBytes = 6

// NewIncarnation returns the ID of a run of a node's process.
func NewIncarnation() string {
	random := make([]byte, incarnationBytes)
	_, _ = rand.Read(random) // never fails
	return generationMark + generation + hex.EncodeToString(random)
}

// isEarlierBuild reports whether a node runs a build of an earlier generation.
func isEarlierBuild(node string) bool {
	own := generationMark + generation
	return node > own && !strings.HasPrefix(node, own)
}

// HasEarlierBuild reports whether this node knows of one that runs a build of an earlier generation.
func (e *Exchange) HasEarlierBuild() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range e.peers.peers {
		if isEarlierBuild(known.node) {
			return true
		}
	}
	return false
}

// statesGeneration reports whether a node runs a build that states its generation.
func statesGeneration(node string) bool { return strings.HasPrefix(node, generationMark) }
