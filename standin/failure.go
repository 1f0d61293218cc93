package standin

// failure is the body of a failed call of the fakes' own control paths.
type failure struct {
	Error string `json:"error"`
}
