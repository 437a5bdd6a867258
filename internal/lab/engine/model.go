// Package engine emulates a language-model engine: continuous batching with chunked prefill, a
// prefix cache of limited size, orders with fencing tokens, resumable streams, and faults. The
// time that work takes is modelled. The text of an answer depends on the request only, so an
// incomplete answer or one to another request is detected by its text.
package engine

import (
	"math"
	"time"
)

// Model holds the constants of the iteration-time model. An iteration prefills a chunk of
// prompt tokens and generates one token for each decoding sequence.
//
// The default constants are a roofline estimate (Pope et al., "Efficiently
// Scaling Transformer Inference", 2022) for a dense model of 70 G parameters in
// 8 bit on four accelerators with 990 Tflop/s, 3.35 TB/s and 80 GB each:
//
//   - A prompt token costs 2 flop a parameter: 1.4e11 / (4 * 990e12 * 0.5) = 71 µs.
//   - A decode step reads all weights: 70e9 / (4 * 3.35e12 * 0.7) = 7.5 ms.
//   - A cached token is 80 layers * 8 heads * 128 * 2 bytes = 164 kB; reading it
//     at each step takes 164e3 / (4 * 3.35e12 * 0.7) = 17 ns.
//   - Memory left for the cache: 4 * 80 GB - 70 GB - 50 GB of activations =
//     200 GB, that is 1.2 M tokens.
//
// The chunk size follows Agrawal et al., "Sarathi-Serve", 2024: an iteration with
// a full chunk takes 7.5 + 512 * 0.071 = 44 ms, which keeps the time between
// tokens below 57 ms.
type Model struct {
	// StepBase is the time of an iteration that prefills nothing, without CachedToken's part.
	StepBase time.Duration
	// PrefillToken is the time that each prefilled prompt token adds to an iteration.
	PrefillToken time.Duration
	// CachedToken is the time that each token in the KV cache of a decoding sequence adds to an
	// iteration.
	CachedToken time.Duration
	// ChunkTokens is the maximum number of prompt tokens that an iteration prefills.
	ChunkTokens int
	// MaxSequences is the maximum number of sequences in the batch.
	MaxSequences int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int
	// BytesPerCachedToken is the size of a token in the KV cache.
	BytesPerCachedToken uint64
	// WeightBytesPerSecond is the rate at which an engine loads weights from the weight store.
	WeightBytesPerSecond float64
	// RoleChange is the time that a change of role takes, besides loading weights.
	RoleChange time.Duration
}

// LargeModel returns the constants derived at Model.
func LargeModel() Model {
	return Model{
		StepBase:             7500 * time.Microsecond,
		PrefillToken:         71 * time.Microsecond,
		CachedToken:          17 * time.Nanosecond,
		ChunkTokens:          512,
		MaxSequences:         128,
		MemoryTokens:         1_200_000,
		BytesPerCachedToken:  164_000,
		WeightBytesPerSecond: 5e9,
		RoleChange:           4 * time.Second,
	}
}

// SmallModel returns the constants of a model of 8 G parameters on one
// accelerator, by the same arithmetic: prompt tokens 2 * 8e9 / (990e12 * 0.5) =
// 32 µs, steps 8e9 / (3.35e12 * 0.7) = 3.4 ms, 65 kB a cached token.
func SmallModel() Model {
	return Model{
		StepBase:             3400 * time.Microsecond,
		PrefillToken:         32 * time.Microsecond,
		CachedToken:          28 * time.Nanosecond,
		ChunkTokens:          512,
		MaxSequences:         256,
		MemoryTokens:         900_000,
		BytesPerCachedToken:  65_000,
		WeightBytesPerSecond: 5e9,
		RoleChange:           2 * time.Second,
	}
}

// iterationTime returns the duration of an iteration.
func (m Model) iterationTime(prefillTokens int, cachedTokens int) time.Duration {
	return m.StepBase +
		time.Duration(prefillTokens)*m.PrefillToken +
		time.Duration(cachedTokens)*m.CachedToken
}

// loadTime returns the time that it takes to load weights of the given size.
func (m Model) loadTime(sizeBytes uint64) time.Duration {
	seconds := float64(sizeBytes) / m.WeightBytesPerSecond
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
