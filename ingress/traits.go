package ingress

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// maxSharedParts bounds the parts of a prompt that are looked at.
const maxSharedParts = 16

// requestTraits returns the traits of a request with a prompt: those of the parts that
// other requests may share, and that of the request itself. The last part of a prompt
// belongs to the request or its session.
func requestTraits(prefix []serving.PromptPart, request ident.Trait) []ident.Trait {
	shared := prefix[:max(0, min(len(prefix)-1, maxSharedParts))]
	traits := make([]ident.Trait, 0, len(shared)+1)
	for _, p := range shared {
		traits = append(traits, ident.TraitOfPart(p.ID))
	}
	return append(traits, request)
}
