package standin

// openAIMessage is a message or a chunk of one.
type openAIMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}
