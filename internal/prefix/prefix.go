// Package prefix computes the identifiers of prompt prefixes by which nodes and engines tell
// each other what is in a prefix cache. A prompt is cut into blocks of BlockBytes. The
// identifier of block n is a hash of all blocks from 0 to n, so equal identifiers mean equal
// prefixes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token that nodes assume for estimates. Engines
	// count the exact number of tokens.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block.
	BlockTokens = 256
	// BlockBytes is the number of bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens estimates the number of tokens in a text of the given length in bytes.
func EstimateTokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Hash identifies a prefix of a prompt that ends at a block boundary.
type Hash = uint64

// Chain returns the identifiers of the prefixes of prompt, one for each complete block. The
// seed names model, version and adapter, so that prefixes cached for different weights never
// have the same identifier.
func Chain(seed string, prompt string) []Hash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]Hash, count)
	previous := xxhash.Sum64String(seed)
	var previousBytes [8]byte
	digest := xxhash.New()
	for i := range hashes {
		digest.Reset()
		binary.LittleEndian.PutUint64(previousBytes[:], previous)
		_, _ = digest.Write(previousBytes[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		previous = digest.Sum64()
		hashes[i] = previous
	}
	return hashes
}
