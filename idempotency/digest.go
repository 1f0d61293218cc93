package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// digestSize is the length of a stored digest in bytes. 128 bits make
// collisions between the keys of one bucket negligible.
const digestSize = 16

// digest is a truncated SHA-256.
type digest [digestSize]byte

func digestOf(s string) digest {
	sum := sha256.Sum256([]byte(s))
	return digest(sum[:digestSize])
}

// Fingerprint identifies a request by its method, path and body. Requests with
// the same key and different fingerprints are different requests.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		// The length prefix keeps the parts separate.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// ScopedKey combines a caller's name with its key, so that the keys of two
// callers in one environment cannot collide.
func ScopedKey(caller, key string) string {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(caller)))
	h := sha256.New()
	h.Write(size[:])
	_, _ = io.WriteString(h, caller)
	_, _ = io.WriteString(h, key)
	return hex.EncodeToString(h.Sum(nil))
}
