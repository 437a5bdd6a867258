// Package prefix computes the identifiers of prompt prefixes that engines and
// nodes share. A prompt is cut into blocks of BlockBytes; the identifier of
// block n covers the blocks 0 to n, so that equal identifiers mean equal
// prefixes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token that nodes assume when they
	// estimate costs. Engines count exactly.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block.
	BlockTokens = 256
	// BlockBytes is the number of bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens estimates the number of tokens in a text of the given length.
func EstimateTokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Hash identifies a prefix.
type Hash = uint64

// Chain returns the identifiers of the whole blocks of prompt under the given
// seed, which names model, version and adapter: caches of different weights
// never match.
func Chain(seed string, prompt string) []Hash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]Hash, count)
	previous := xxhash.Sum64String(seed)
	var link [8]byte
	digest := xxhash.New()
	for i := range hashes {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], previous)
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		previous = digest.Sum64()
		hashes[i] = previous
	}
	return hashes
}
