package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// digestBytes is the length of a stored digest. 128 bits keep two of the keys
// of one bucket from ever meeting by chance.
const digestBytes = 16

// digest is a shortened SHA-256.
type digest [digestBytes]byte

func digestOf(s string) digest {
	sum := sha256.Sum256([]byte(s))
	return digest(sum[:digestBytes])
}

// Fingerprint identifies a request by its method, path and body. Two requests
// with one key and different fingerprints are different requests.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		// The length in front keeps the border between the parts.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// ScopedKey joins a caller's name to its key, so that two callers of one
// environment cannot meet in a key.
func ScopedKey(caller, key string) string {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(caller)))
	h := sha256.New()
	h.Write(size[:])
	_, _ = io.WriteString(h, caller)
	_, _ = io.WriteString(h, key)
	return hex.EncodeToString(h.Sum(nil))
}
