package standin

// openAIError is a failed call in the shape of the OpenAI API.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}
