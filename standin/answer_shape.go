package standin

// answerShape tells how chats and completions differ.
type answerShape interface {
	idPrefix() string
	// objects returns the names of a whole answer and of an event.
	objects() (whole, event string)
	whole(text string) openAIChoice
	part(text string, first bool) openAIChoice
}

// chatShape is the shape of /v1/chat/completions.
type chatShape struct{}

func (chatShape) idPrefix() string { return "chatcmpl-" }

func (chatShape) objects() (string, string) { return "chat.completion", "chat.completion.chunk" }

func (chatShape) whole(text string) openAIChoice {
	return openAIChoice{Message: &openAIMessage{Role: "assistant", Content: text}}
}

func (chatShape) part(text string, first bool) openAIChoice {
	m := &openAIMessage{Content: text}
	if first {
		m.Role = "assistant"
	}
	return openAIChoice{Delta: m}
}

// completionShape is the shape of /v1/completions.
type completionShape struct{}

func (completionShape) idPrefix() string { return "cmpl-" }

func (completionShape) objects() (string, string) { return "text_completion", "text_completion" }

func (completionShape) whole(text string) openAIChoice { return openAIChoice{Text: &text} }

func (completionShape) part(text string, _ bool) openAIChoice { return openAIChoice{Text: &text} }
