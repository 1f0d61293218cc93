package idempotency

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// retentionWindows is the number of windows for which a claimed key is
// remembered. After that it counts as new.
const retentionWindows = 8

// table is the content of one bucket object.
type table map[digest]record

// decodeTable decodes the value of a bucket object. An empty value is an empty
// table.
func decodeTable(key string, value []byte) (table, error) {
	t := make(table)
	if len(value) == 0 {
		return t, nil
	}
	var list []record
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, &FormatError{Key: key, Err: err}
	}
	for _, r := range list {
		t[r.Key] = r
	}
	return t, nil
}

// encode returns the value of the bucket object. Equal tables have equal
// encodings.
func (t table) encode() ([]byte, error) {
	list := slices.SortedFunc(maps.Values(t), func(a, b record) int {
		return bytes.Compare(a.Key[:], b.Key[:])
	})
	return cbor.Marshal(list)
}

// expire strips the records that are older than the window, and deletes those
// older than retentionWindows windows.
func (t table) expire(now time.Time, window time.Duration) {
	for k, r := range t {
		switch age := r.age(now); {
		case age > retentionWindows*window:
			delete(t, k)
		case age > window && r.Phase != phaseExpired:
			t[k] = r.withoutAttempt()
		}
	}
}

// untilSpace returns the time until the oldest record leaves its window and
// frees space, at least one second.
func (t table) untilSpace(now time.Time, window time.Duration) time.Duration {
	var oldest time.Duration
	for _, r := range t {
		if r.Phase != phaseExpired {
			oldest = max(oldest, r.age(now))
		}
	}
	return max(time.Second, window-oldest)
}
