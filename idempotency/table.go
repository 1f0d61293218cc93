package idempotency

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// rememberWindows is for how many windows a key is known to have been claimed.
// After that it counts as new.
const rememberWindows = 8

// table is the content of one bucket object.
type table map[digest]entry

// decodeTable reads a bucket object's value; an empty one is an empty table.
func decodeTable(key string, value []byte) (table, error) {
	t := make(table)
	if len(value) == 0 {
		return t, nil
	}
	var list []entry
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, &FormatError{Key: key, Err: err}
	}
	for _, e := range list {
		t[e.Key] = e
	}
	return t, nil
}

// encode returns the bucket object's value. Equal tables give equal bytes.
func (t table) encode() ([]byte, error) {
	list := slices.SortedFunc(maps.Values(t), func(a, b entry) int {
		return bytes.Compare(a.Key[:], b.Key[:])
	})
	return cbor.Marshal(list)
}

// expire shortens the claims that are older than the window, and drops those
// older than rememberWindows of them.
func (t table) expire(now time.Time, window time.Duration) {
	for k, e := range t {
		switch age := e.age(now); {
		case age > rememberWindows*window:
			delete(t, k)
		case age > window && e.Phase != phaseExpired:
			t[k] = e.expired()
		}
	}
}

// relief returns how long it takes until the oldest claim leaves its window, and
// so makes space.
func (t table) relief(now time.Time, window time.Duration) time.Duration {
	var oldest time.Duration
	for _, e := range t {
		if e.Phase != phaseExpired {
			oldest = max(oldest, e.age(now))
		}
	}
	return max(time.Second, window-oldest)
}
