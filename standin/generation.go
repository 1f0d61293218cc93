package standin

// generation is one request that an engine serves.
type generation struct {
	request  completionRequest
	shape    responseShape
	id       string
	priority int
	// resumeFrom is how many tokens the caller already has.
	resumeFrom int
	model      *engineModel
	// created is the start of the response as a Unix time in seconds.
	created int64
}

// response returns a response or an event with one choice.
func (g *generation) response(object string, c openAIChoice) openAIResponse {
	return openAIResponse{
		ID:      g.shape.idPrefix() + g.id,
		Object:  object,
		Created: g.created,
		Model:   g.request.Model,
		Choices: []openAIChoice{c},
	}
}

// usage counts the tokens of the request and of its complete response.
func (g *generation) usage() *openAIUsage {
	prompt, completion := countWords(g.request.text()), g.request.tokens()
	return &openAIUsage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}
