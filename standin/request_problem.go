package standin

// requestProblem is the status and the body with which a request is rejected.
type requestProblem struct {
	status int
	body   openAIErrorBody
}
