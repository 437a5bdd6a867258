// Package quarantine finds out which requests crash the workers that run them, and keeps
// these requests away from workers.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

// sumBytes is the size of a fingerprint without its kind, and partBytes that of a part's id.
const (
	sumBytes  = 16
	partBytes = 8
)

// Kinds of fingerprints, in their last byte.
const (
	kindRequest = iota
	kindPart
)

// partPrefix begins the text of a part's fingerprint.
const partPrefix = "part-"

// Fingerprint identifies what a request asks for, independent of its id: requests with the same
// fingerprint make a worker do the same work. The fingerprint of a prompt part identifies the
// part in whatever request it occurs.
type Fingerprint [sumBytes + 1]byte

// PartFingerprint returns the fingerprint of a prompt part.
func PartFingerprint(part prefixcache.PartID) Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(part))
	f[sumBytes] = kindPart
	return f
}

// PartFingerprints returns the fingerprints of the prompt parts that requests may share: all but
// the last, which is specific to its request.
func PartFingerprints(prompt []prefixcache.Part) []Fingerprint {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:len(prompt)-1]
	fingerprints := make([]Fingerprint, len(shared))
	for at, part := range shared {
		fingerprints[at] = PartFingerprint(part.ID)
	}
	return fingerprints
}

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return f[sumBytes] == kindPart }

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
	var f Fingerprint
	copy(f[:sumBytes], hash.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal, or partPrefix and the part's id.
func (f Fingerprint) String() string {
	if f.IsPart() {
		return partPrefix + hex.EncodeToString(f[:partBytes])
	}
	return hex.EncodeToString(f[:sumBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	read, err := ParseFingerprint(string(text))
	*f = read
	return err
}

// compare orders fingerprints.
func (f Fingerprint) compare(other Fingerprint) int { return bytes.Compare(f[:], other[:]) }

// less reports whether a fingerprint comes before another one.
func (f Fingerprint) less(other Fingerprint) bool { return f.compare(other) < 0 }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	size, digits := sumBytes, text
	if part, isPart := strings.CutPrefix(text, partPrefix); isPart {
		size, digits, f[sumBytes] = partBytes, part, kindPart
	}
	decoded, err := hex.DecodeString(digits)
	if err != nil || len(decoded) != size {
		return Fingerprint{}, eris.Errorf("fingerprint %q doesn't have %d hexadecimal digits", text, 2*size)
	}
	copy(f[:], decoded)
	return f, nil
}
