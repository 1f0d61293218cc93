package serving

import "github.com/laureltally/laureltally/ident"

// PromptPart is one part of a prompt that an engine may have cached.
type PromptPart struct {
	ID     ident.PromptPart
	Tokens int
}
