package standin

// generation is one request in an engine.
type generation struct {
	request  completionRequest
	shape    answerShape
	id       string
	priority int
	// resumeAt is how many tokens the caller has already.
	resumeAt int
	model    *engineModel
	// created is in seconds since 1970.
	created int64
}

// answer starts an answer or an event with one choice.
func (g *generation) answer(object string, c openAIChoice) openAIAnswer {
	return openAIAnswer{
		ID:      g.shape.idPrefix() + g.id,
		Object:  object,
		Created: g.created,
		Model:   g.request.Model,
		Choices: []openAIChoice{c},
	}
}

// usage counts the tokens of the request and of its whole answer.
func (g *generation) usage() *openAIUsage {
	prompt, answer := words(g.request.text()), g.request.tokens()
	return &openAIUsage{PromptTokens: prompt, CompletionTokens: answer, TotalTokens: prompt + answer}
}
