package standin

import (
	"strings"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// completionRequest holds the fields of an OpenAI-compatible request that the
// engine uses. Chat requests have messages, completion requests a prompt.
type completionRequest struct {
	Model               string           `json:"model"`
	Messages            []requestMessage `json:"messages"`
	Prompt              requestText      `json:"prompt"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       streamOptions    `json:"stream_options"`
}

// text returns the whole prompt.
func (r *completionRequest) text() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = string(m.Content)
	}
	return strings.Join(parts, "\n")
}

// last returns the prompt or the last message, which the response echoes.
func (r *completionRequest) last() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	return string(r.Messages[len(r.Messages)-1].Content)
}

// tokens returns how many tokens the response has.
func (r *completionRequest) tokens() int {
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return DefaultResponseTokens
}

// target splits the model name into base model and adapter.
func (r *completionRequest) target() (ident.Model, ident.Adapter) {
	model, adapter, _ := strings.Cut(r.Model, AdapterSeparator)
	return ident.Model(model), ident.Adapter(adapter)
}

// prefixHash returns the hash of the start of the prompt.
func (r *completionRequest) prefixHash() uint64 {
	model, _ := r.target()
	return engine.PrefixHash(model, r.text())
}
