package standin

// errorBody is the body of an error response on paths without an error format of
// their own.
type errorBody struct {
	Error string `json:"error"`
}
