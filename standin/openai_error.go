package standin

// openAIError is the body of an error response in the format of the OpenAI API.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}
