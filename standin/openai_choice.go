package standin

// openAIChoice holds a part of an answer: Message for a whole chat, Delta for a
// part of one, Text for completions.
type openAIChoice struct {
	Index        int            `json:"index"`
	Message      *openAIMessage `json:"message,omitempty"`
	Delta        *openAIMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}
