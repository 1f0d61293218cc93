package router

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/wire"
)

// prefixBytes is how much of a prompt identifies its cached prefix.
const prefixBytes = 1024

// chatBody is what the router reads of a request to a model. All else is passed
// to the engine as it came.
type chatBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

func parseChatBody(body []byte) (chatBody, *Failure) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return chatBody{}, notRun(wire.CodeMalformed, "the body is not valid JSON: %v", err)
	}
	if b.Model == "" {
		return chatBody{}, notRun(wire.CodeMalformed, "the field model is missing")
	}
	return b, nil
}

// prefixHash identifies the beginning of the prompt.
func (b chatBody) prefixHash() uint64 {
	prompt := b.Messages
	if len(prompt) == 0 {
		prompt = b.Prompt
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}
