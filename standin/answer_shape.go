package standin

// answerShape tells how chats and completions differ.
type answerShape interface {
	idPrefix() string
	// objects returns the names of a whole answer and of an event.
	objects() (whole, event string)
	whole(text string) openAIChoice
	part(text string, first bool) openAIChoice
}
