package standin

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}
