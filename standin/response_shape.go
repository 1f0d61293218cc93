package standin

// responseShape holds what differs between chats and completions.
type responseShape interface {
	idPrefix() string
	// objects returns the object names of a complete response and of an event.
	objects() (complete, event string)
	complete(text string) openAIChoice
	chunk(text string, first bool) openAIChoice
}
