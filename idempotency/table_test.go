package idempotency

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/laureltally/laureltally/attempt"
)

// maxRecordBytes and maxExpiredRecordBytes limit the size of a stored record
// with identifiers of typical length.
const (
	maxRecordBytes        = 128
	maxExpiredRecordBytes = 32
)

func TestSizeOfStoredRecords(t *testing.T) {
	const records = 1000
	names := attempt.NewNameGenerator("router-uusimaa-1", 0x7fffffffffffffff)
	full, short := make(table), make(table)
	for i := range records {
		k, f := digestOf(fmt.Sprint(i)), digestOf("f")
		e := record{
			Key: k, Fingerprint: f[:], Attempt: names.Keyed(), VM: "portal-uusimaa-1",
			Incarnation: 0x7fffffffffffffff, Claimed: 1_800_000_000, Phase: phaseClaimed,
		}
		full[k], short[k] = e, e.withoutAttempt()
	}
	for name, c := range map[string]struct {
		table table
		limit int
	}{"within the window": {full, maxRecordBytes}, "expired": {short, maxExpiredRecordBytes}} {
		value, err := c.table.encode()
		if err != nil {
			t.Fatal(err)
		}
		each := len(value) / records
		t.Logf("%s: %d bytes per record, %d records in %d bytes", name, each, DefaultBucketBytes/each, DefaultBucketBytes)
		if each > c.limit {
			t.Errorf("%s: %d bytes per record, limit %d", name, each, c.limit)
		}
		back, err := decodeTable("o", value)
		if err != nil || len(back) != records || !maps.EqualFunc(back, c.table, sameRecord) {
			t.Errorf("%s: decoded table differs: %v", name, err)
		}
	}
}

func sameRecord(a, b record) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func TestCorruptObjectFailsToDecode(t *testing.T) {
	var damaged *FormatError
	if _, err := decodeTable("o", []byte("not cbor")); !errors.As(err, &damaged) {
		t.Fatalf("got %v", err)
	}
}

func TestFingerprintSeparatesItsParts(t *testing.T) {
	if Fingerprint("POST", "/a", []byte("b")) == Fingerprint("POST", "/ab", nil) {
		t.Fatal("path and body are not separated")
	}
	if ScopedKey("a", "bc") == ScopedKey("ab", "c") {
		t.Fatal("caller and key are not separated")
	}
}

func BenchmarkStage(b *testing.B) {
	m := newMachine(machineOptions{window: time.Hour, maxBytes: DefaultBucketBytes})
	m.readDone(1, nil)
	for i := range 2000 {
		k := digestOf(fmt.Sprint(i))
		m.table[k] = record{Key: k, Fingerprint: k[:], Attempt: "router-uusimaa-1/7fffffffffffffff/k123456", VM: "portal-uusimaa-1", Claimed: 1_800_000_000, Phase: phaseClaimed}
	}
	b.ResetTimer()
	for i := range b.N {
		m.add(operation{id: uint64(i), key: digestOf(fmt.Sprint("new", i)), attempt: "a"})
		m.next(time.Unix(1_800_000_000, 0))
		m.writeConflict()
		m.failQueue(nil)
		m.loaded = true
		m.takeResults()
	}
}
