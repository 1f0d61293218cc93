package ident

import (
	"strconv"
	"strings"
)

// Trait is something that requests have in common and that may crash the servers that run
// them: a part of their prompts, or being the same request.
type Trait uint64

// requestTrait marks the traits of whole requests.
const requestTrait Trait = 1 << 63

// TraitOfPart returns the trait of requests with a prompt part.
func TraitOfPart(p PromptPart) Trait { return Trait(p) &^ requestTrait }

// TraitOfRequest returns the trait that a request shares with its repeats only, given a
// hash of it.
func TraitOfRequest(hash uint64) Trait { return Trait(hash) | requestTrait }

// OfRequest reports whether the trait is that of a whole request.
func (t Trait) OfRequest() bool { return t&requestTrait != 0 }

// String returns the trait in hexadecimal.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// JoinTraits returns traits separated by commas.
func JoinTraits(traits []Trait) string {
	text := make([]string, len(traits))
	for i, t := range traits {
		text[i] = t.String()
	}
	return strings.Join(text, ",")
}

// SplitTraits returns the traits of prompt parts and those of whole requests, in order.
func SplitTraits(traits []Trait) (parts, requests []Trait) {
	for _, t := range traits {
		if t.OfRequest() {
			requests = append(requests, t)
		} else {
			parts = append(parts, t)
		}
	}
	return parts, requests
}
