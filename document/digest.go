package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the SHA-256 of a document's text, in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
