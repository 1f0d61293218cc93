package standin

// openAIError is a failed call in the shape of the OpenAI API.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

// openAIErrorBody is the inner part of an openAIError.
type openAIErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code,omitempty"`
}
