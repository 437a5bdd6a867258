// Package tenant finds the owner of an API key. It stores digests of keys, never the keys, and
// does no I/O. Platform routes and the catalog both use it.
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

// prefixBytes is the length of the digest prefix that indexes keys. The whole digest is
// compared in constant time only.
const prefixBytes = 4

type digestPrefix [prefixBytes]byte

// Keyring finds the owner of an API key. It is safe for concurrent use once all keys have been
// added.
type Keyring[T any] struct {
	entries map[digestPrefix][]entry[T]
	count   int
}

type entry[T any] struct {
	digest Digest
	owner  T
}

// NewKeyring returns an empty keyring.
func NewKeyring[T any]() *Keyring[T] {
	return &Keyring[T]{entries: make(map[digestPrefix][]entry[T])}
}

// Add adds a key by its digest. If two owners have the same key, the first one counts.
func (k *Keyring[T]) Add(digest Digest, owner T) {
	prefix := digestPrefix(digest[:prefixBytes])
	k.entries[prefix] = append(k.entries[prefix], entry[T]{digest: digest, owner: owner})
	k.count++
}

// Owner returns the owner of a key, and false if the key is unknown.
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

// WithPriority returns the tenant with a priority of its own. Zero is the most urgent.
func (t Tenant) WithPriority(priority int) Tenant {
	t.priority, t.hasPriority = priority, true
	return t
}

// WithLimit returns the tenant with a quota.
func (t Tenant) WithLimit(limit quota.Limit) Tenant {
	t.limit = limit
	return t
}

// Limit returns the tenant's quota, which applies to all nodes together.
func (t Tenant) Limit() quota.Limit { return t.limit }

// Name returns the tenant's name, empty for callers without a tenant.
func (t Tenant) Name() string { return t.name }

// Priority returns the priority of the tenant's requests: its own or, if it has none, that of
// the route.
func (t Tenant) Priority(route int) int {
	if t.hasPriority {
		return t.priority
	}
	return route
}
