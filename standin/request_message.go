package standin

// requestMessage is one message of a chat.
type requestMessage struct {
	Role    string      `json:"role"`
	Content requestText `json:"content"`
}
