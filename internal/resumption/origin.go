// Package resumption tells where a stream that a caller takes up again may go on. Workers of several
// software versions serve side by side, and what two of them, or two services, write into one stream
// doesn't fit together. The nodes therefore remember which service and version began a stream, and
// tell each other (docs/design/resumption.md).
package resumption

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/rotisserie/eris"
)

// Origin is what a stream must keep wherever it goes on: the service and the software version of the
// worker that wrote its first event.
type Origin struct {
	Service, Software string
}

// Key identifies a stream: its tenant and the id of the caller's attempt that brought its first
// event. The id of another tenant's stream has another key.
type Key uint64

// KeyOf returns the key of the stream that an attempt of a tenant began.
func KeyOf(tenant, attempt string) Key {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(tenant)))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write([]byte(tenant))
	_, _ = hash.Write([]byte(attempt))
	return Key(binary.BigEndian.Uint64(hash.Sum(nil)))
}

const keyBase = 16

// String returns the key as messages and logs have it.
func (k Key) String() string { return strconv.FormatUint(uint64(k), keyBase) }

// ParseKey parses the result of String.
func ParseKey(text string) (Key, error) {
	number, err := strconv.ParseUint(text, keyBase, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "%q is not the key of a stream; a hexadecimal number is needed", text)
	}
	return Key(number), nil
}
