package standin

// completionShape is the shape of /v1/completions.
type completionShape struct{}

func (completionShape) idPrefix() string { return "cmpl-" }

func (completionShape) objects() (string, string) { return "text_completion", "text_completion" }

func (completionShape) complete(text string) openAIChoice { return openAIChoice{Text: &text} }

func (completionShape) chunk(text string, _ bool) openAIChoice { return openAIChoice{Text: &text} }
