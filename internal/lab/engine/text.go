package engine

import (
	"github.com/cespare/xxhash/v2"
)

const syllables = "babebibobudadedidodufafefifofugagegigogukakekikokulalelilolumamemimomunanenino"

// TextSeed returns the seed of the answer to a prompt by a model version with an adapter.
func TextSeed(model, version, adapter, prompt string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{model, version, adapter, prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// AppendToken appends a token of the answer with the given seed; the first has number 1. The
// mixing function is SplitMix64 (Steele et al., 2014).
func AppendToken(buffer []byte, seed uint64, number int) []byte {
	value := seed + uint64(number)*0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	value ^= value >> 31
	for range 2 {
		at := value % (uint64(len(syllables)) / 2) * 2
		buffer = append(buffer, syllables[at:at+2]...)
		value >>= 16
	}
	return append(buffer, ' ')
}

// Text returns the text of an answer with the given number of tokens.
func Text(seed uint64, tokens int) string {
	var buffer []byte
	for number := 1; number <= tokens; number++ {
		buffer = AppendToken(buffer, seed, number)
	}
	return string(buffer)
}
