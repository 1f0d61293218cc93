package idempotency

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/laureltally/laureltally/attempt"
)

// maxEntryBytes and maxExpiredBytes bound a stored claim with names of the usual
// length.
const (
	maxEntryBytes   = 128
	maxExpiredBytes = 32
)

func TestSizeOfStoredClaims(t *testing.T) {
	const claims = 1000
	minter := attempt.NewNameGenerator("router-uusimaa-1", 0x7fffffffffffffff)
	full, short := make(table), make(table)
	for i := range claims {
		k, f := digestOf(fmt.Sprint(i)), digestOf("f")
		e := entry{
			Key: k, Fingerprint: f[:], Attempt: minter.Keyed(), VM: "portal-uusimaa-1",
			Incarnation: 0x7fffffffffffffff, Claimed: 1_800_000_000, Phase: phaseClaimed,
		}
		full[k], short[k] = e, e.expired()
	}
	for name, c := range map[string]struct {
		table table
		limit int
	}{"in the window": {full, maxEntryBytes}, "expired": {short, maxExpiredBytes}} {
		value, err := c.table.encode()
		if err != nil {
			t.Fatal(err)
		}
		each := len(value) / claims
		t.Logf("%s: %d bytes a claim, %d claims in %d bytes", name, each, DefaultBucketBytes/each, DefaultBucketBytes)
		if each > c.limit {
			t.Errorf("%s: %d bytes a claim, limit %d", name, each, c.limit)
		}
		back, err := decodeTable("o", value)
		if err != nil || len(back) != claims || !maps.EqualFunc(back, c.table, sameEntry) {
			t.Errorf("%s: does not decode to the same: %v", name, err)
		}
	}
}

func sameEntry(a, b entry) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func TestDamagedObjectIsAnError(t *testing.T) {
	var damaged *FormatError
	if _, err := decodeTable("o", []byte("not cbor")); !errors.As(err, &damaged) {
		t.Fatalf("got %v", err)
	}
}

func TestFingerprintKeepsTheBordersOfItsParts(t *testing.T) {
	if Fingerprint("POST", "/a", []byte("b")) == Fingerprint("POST", "/ab", nil) {
		t.Fatal("path and body run together")
	}
	if ScopedKey("a", "bc") == ScopedKey("ab", "c") {
		t.Fatal("caller and key run together")
	}
}

func BenchmarkStage(b *testing.B) {
	m := newMachine(machineOptions{window: time.Hour, maxBytes: DefaultBucketBytes})
	m.loaded(1, nil)
	for i := range 2000 {
		k := digestOf(fmt.Sprint(i))
		m.table[k] = entry{Key: k, Fingerprint: k[:], Attempt: "router-uusimaa-1/7fffffffffffffff/k123456", VM: "portal-uusimaa-1", Claimed: 1_800_000_000, Phase: phaseClaimed}
	}
	b.ResetTimer()
	for i := range b.N {
		m.add(op{id: uint64(i), key: digestOf(fmt.Sprint("new", i)), attempt: "a"})
		m.next(time.Unix(1_800_000_000, 0))
		m.conflicted()
		m.failQueue(nil)
		m.known = true
		m.take()
	}
}
