package standin

// streamOptions are the options of a streamed response.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}
