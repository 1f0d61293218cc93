package standin

// chatShape is the shape of /v1/chat/completions.
type chatShape struct{}

func (chatShape) idPrefix() string { return "chatcmpl-" }

func (chatShape) objects() (string, string) { return "chat.completion", "chat.completion.chunk" }

func (chatShape) complete(text string) openAIChoice {
	return openAIChoice{Message: &openAIMessage{Role: "assistant", Content: text}}
}

func (chatShape) chunk(text string, first bool) openAIChoice {
	m := &openAIMessage{Content: text}
	if first {
		m.Role = "assistant"
	}
	return openAIChoice{Delta: m}
}
