// Package quarantine finds out which requests crash the workers that run them, and keeps
// these requests away from workers.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies what a request asks for, independent of its id: requests with the same
// fingerprint make a worker do the same work.
type Fingerprint [16]byte

// Content holds the parts of a request that its fingerprint covers.
type Content struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Tenant is the request's tenant, empty where callers aren't told apart.
	Tenant string
	Body   []byte
}

// Fingerprint returns the first half of a SHA-256 over all fields. That is long enough that
// nobody can construct another request with the same fingerprint.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.Target), []byte(c.Tenant), c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	read, err := ParseFingerprint(string(text))
	*f = read
	return err
}

// less orders fingerprints.
func (f Fingerprint) less(other Fingerprint) bool { return bytes.Compare(f[:], other[:]) < 0 }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(Fingerprint{}) {
		return Fingerprint{}, eris.Errorf("fingerprint %q doesn't have %d hexadecimal digits", text, 2*len(Fingerprint{}))
	}
	return Fingerprint(decoded), nil
}
