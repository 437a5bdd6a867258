package gateway

import (
	"encoding/hex"
	"strings"

	"github.com/tinarch/tinarch/internal/result"
)

const (
	maxKeyLength = 255
	uuidLength   = 36
	uuidVersion7 = '7'
	// uuidVersionAt is the index of the version digit in a UUID's text.
	uuidVersionAt = 14
)

// checkKey refuses idempotency keys that are too long to be stored.
func checkKey(key string) error {
	if len(key) > maxKeyLength {
		return result.New(result.InvalidRequest, "the Idempotency-Key has %d bytes, at most %d are allowed", len(key), maxKeyLength)
	}
	return nil
}

// uuidTime returns the Unix time in milliseconds contained in a key that is a UUIDv7 (RFC 9562,
// section 5.7), and zero for any other key. A ledger group that has lost its state compares it
// with the time of the loss: a key created after the loss can't have been claimed before.
func uuidTime(key string) int64 {
	if len(key) != uuidLength || key[uuidVersionAt] != uuidVersion7 {
		return 0
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return 0
	}
	var milliseconds int64
	for _, digit := range raw[:6] {
		milliseconds = milliseconds<<8 | int64(digit)
	}
	return milliseconds
}
