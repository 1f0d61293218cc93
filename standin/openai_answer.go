package standin

// openAIAnswer is a whole answer or one event of a streamed one.
type openAIAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []openAIChoice `json:"choices"`
	Usage   *openAIUsage   `json:"usage,omitempty"`
}

// openAIChoice holds a part of an answer: Message for a whole chat, Delta for a
// part of one, Text for completions.
type openAIChoice struct {
	Index        int            `json:"index"`
	Message      *openAIMessage `json:"message,omitempty"`
	Delta        *openAIMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// openAIMessage is a message or a part of one.
type openAIMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// openAIUsage counts the tokens of a request.
type openAIUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
