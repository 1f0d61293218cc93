package engine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// PrefixBytes is the maximum length of the prompt prefix that PrefixHash covers, in
// bytes.
const PrefixBytes = 256

// PrefixHash returns the hash that cache events use for the prefix of a prompt.
func PrefixHash(model ident.Model, prompt string) uint64 {
	return xxhash.Sum64String(string(model) + "\x00" + prompt[:min(len(prompt), PrefixBytes)])
}
