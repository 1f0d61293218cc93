package router

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/wire"
)

// prefixBytes is the maximum length of the prompt prefix that prefixHash covers, in
// bytes.
const prefixBytes = 1024

// chatBody holds the fields that the router reads from a request to a model. The
// engine gets the body unchanged.
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

// prefixHash returns a hash of the beginning of the prompt, which identifies its cached
// prefix.
func (b chatBody) prefixHash() uint64 {
	prompt := b.Messages
	if len(prompt) == 0 {
		prompt = b.Prompt
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}
