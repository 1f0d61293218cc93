package standin

// requestProblem is why a request is refused.
type requestProblem struct {
	status int
	body   openAIErrorBody
}
