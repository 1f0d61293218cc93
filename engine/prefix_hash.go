package engine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// PrefixBytes is how much of a prompt's start its prefix hash covers, in bytes.
const PrefixBytes = 256

// PrefixHash names the start of a prompt as cache events do.
func PrefixHash(model ident.Model, prompt string) uint64 {
	return xxhash.Sum64String(string(model) + "\x00" + prompt[:min(len(prompt), PrefixBytes)])
}
