package standin

// openAIChoice holds the text of a response or event: Message in a complete chat
// response, Delta in a chat event, Text in completions.
type openAIChoice struct {
	Index        int            `json:"index"`
	Message      *openAIMessage `json:"message,omitempty"`
	Delta        *openAIMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}
