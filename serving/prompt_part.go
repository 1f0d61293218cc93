package serving

// PromptPart is one part of a prompt that an engine may have cached.
type PromptPart struct {
	ID     uint64
	Tokens int
}
