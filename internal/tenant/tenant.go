// Package tenant tells whose an API key is. It holds digests of keys, never keys, and
// is pure. Both the routes of a platform and the product's own catalog use it.
package tenant

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/tinarch/tinarch/internal/quota"
)

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// prefixBytes of a digest find the keys with which a caller's is compared: the whole
// digest is only ever compared in constant time.
const prefixBytes = 4

type digestPrefix [prefixBytes]byte

// Keyring finds the owner of an API key. It is safe for concurrent use once it is filled.
type Keyring[T any] struct {
	entries map[digestPrefix][]entry[T]
	count   int
}

type entry[T any] struct {
	digest Digest
	owner  T
}

// NewKeyring returns a keyring without keys.
func NewKeyring[T any]() *Keyring[T] {
	return &Keyring[T]{entries: make(map[digestPrefix][]entry[T])}
}

// Add gives a key to an owner. Of two owners of one key the first has it.
func (k *Keyring[T]) Add(digest Digest, owner T) {
	prefix := digestPrefix(digest[:prefixBytes])
	k.entries[prefix] = append(k.entries[prefix], entry[T]{digest: digest, owner: owner})
	k.count++
}

// Owner returns the owner of a key, false where nobody has it.
func (k *Keyring[T]) Owner(key string) (T, bool) {
	digest := DigestOf(key)
	for _, candidate := range k.entries[digestPrefix(digest[:prefixBytes])] {
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			return candidate.owner, true
		}
	}
	var zero T
	return zero, false
}

// Len returns the number of keys.
func (k *Keyring[T]) Len() int { return k.count }

// Tenant is an organisation whose callers send requests.
type Tenant struct {
	name        string
	priority    int
	hasPriority bool
	limit       quota.Limit
}

// New returns a tenant whose requests have the priority of their route.
func New(name string) Tenant { return Tenant{name: name} }

// WithPriority returns the tenant with a priority of its own, zero being the most urgent.
func (t Tenant) WithPriority(priority int) Tenant {
	t.priority, t.hasPriority = priority, true
	return t
}

// WithLimit returns the tenant with a limit to what it may use.
func (t Tenant) WithLimit(limit quota.Limit) Tenant {
	t.limit = limit
	return t
}

// Limit returns what the tenant may use, over all nodes together.
func (t Tenant) Limit() quota.Limit { return t.limit }

// Name returns the tenant's name, empty for callers that belong to no tenant.
func (t Tenant) Name() string { return t.name }

// Priority returns the rank of the tenant's requests on a route of a rank.
func (t Tenant) Priority(route int) int {
	if t.hasPriority {
		return t.priority
	}
	return route
}
