package serving

import (
	"fmt"
	"testing"
)

// Guards against keys that are mixed up or found by parts of them. The benchmarks below show
// that the time does not grow with the number of keys.
func TestKeyTableFindsEachOf10000Keys(t *testing.T) {
	table := NewKeyTable()
	tenants := make([]*Tenant, 100)
	for i := range tenants {
		tenants[i] = &Tenant{}
	}
	key := func(i int) string { return fmt.Sprintf("key-%05d", i) }
	for i := range 10000 {
		if !table.Add(key(i), tenants[i%len(tenants)]) {
			t.Fatalf("key %d not added", i)
		}
	}
	if table.Len() != 10000 {
		t.Errorf("%d keys", table.Len())
	}
	for i := range 10000 {
		if table.Lookup(key(i)) != tenants[i%len(tenants)] {
			t.Fatalf("key %d finds another tenant", i)
		}
	}
	for _, unknown := range []string{"", "key-10000", "key-0000", "KEY-00000", "key-00000 "} {
		if table.Lookup(unknown) != nil {
			t.Errorf("%q is known", unknown)
		}
	}
}

// Guards against a key that belongs to whichever tenant comes last.
func TestKeyBelongsToOneTenant(t *testing.T) {
	table := NewKeyTable()
	a, b := &Tenant{}, &Tenant{}
	first := table.Add("k", a)
	if again := table.Add("k", a); !first || !again {
		t.Error("a key that is repeated by its tenant is refused")
	}
	if table.Add("k", b) {
		t.Error("a key of two tenants is accepted")
	}
	if table.Lookup("k") != a {
		t.Error("the key changed its tenant")
	}
}

// Guards against digests that are the same in all processes: callers could look for
// collisions.
func TestKeyTablesDifferInTheirDigests(t *testing.T) {
	if a, b := NewKeyTable(), NewKeyTable(); a.digest("k") == b.digest("k") {
		t.Error("two tables have the same salt")
	}
}

// The time must not depend on the number of keys.
func BenchmarkLookupAmong10000Keys(b *testing.B) { benchmarkLookup(b, 10000) }

func BenchmarkLookupAmong100Keys(b *testing.B) { benchmarkLookup(b, 100) }

func benchmarkLookup(b *testing.B, n int) {
	table := NewKeyTable()
	for i := range n {
		table.Add(fmt.Sprintf("key-%05d", i), &Tenant{})
	}
	i := 0
	for b.Loop() {
		table.Lookup(fmt.Sprintf("key-%05d", i%(2*n)))
		i++
	}
}
