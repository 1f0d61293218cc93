package serving

import (
	"crypto/rand"
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// KeyTable finds the tenant of an API key. It holds salted digests instead of keys: the
// time of a look-up depends on the digest only, which callers can't predict, so that it
// reveals nothing of the keys. It is immutable once all keys are added.
type KeyTable struct {
	salt    [sha256.Size]byte
	tenants map[[sha256.Size]byte]*Tenant
}

// NewKeyTable returns an empty table with a random salt.
func NewKeyTable() *KeyTable {
	t := &KeyTable{tenants: make(map[[sha256.Size]byte]*Tenant)}
	// Read never fails.
	_, _ = rand.Read(t.salt[:])
	return t
}

// Add assigns a key to a tenant. It returns false if the key is already assigned to a
// different one.
func (t *KeyTable) Add(key string, tenant *Tenant) bool {
	d := t.digest(key)
	if other, ok := t.tenants[d]; ok && other != tenant {
		return false
	}
	t.tenants[d] = tenant
	return true
}

// Lookup returns the tenant of a key, or nil.
func (t *KeyTable) Lookup(key string) *Tenant {
	return t.tenants[t.digest(key)]
}

// Len returns the number of keys.
func (t *KeyTable) Len() int { return len(t.tenants) }

// priorities returns the priorities of the tenants that have keys, ascending.
func (t *KeyTable) priorities() []ident.Priority {
	occurring := make(map[ident.Priority]bool)
	for _, tenant := range t.tenants {
		occurring[tenant.Priority] = true
	}
	return slices.Sorted(maps.Keys(occurring))
}

func (t *KeyTable) digest(key string) [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write(t.salt[:])
	_, _ = h.Write([]byte(key))
	return [sha256.Size]byte(h.Sum(nil))
}
