package standin

import "strings"

// AdapterSeparator separates a model and its adapter in the model name of a
// request.
const AdapterSeparator = ":"

// DefaultResponseTokens is the number of tokens of a response whose request sets
// no number.
const DefaultResponseTokens = 32

// ResponseText returns the text of the response to a prompt or last message: the
// model's name and the words of the prompt, repeated up to a number of tokens.
func ResponseText(model, prompt string, tokens int) string {
	return strings.Join(responseTokens(model, prompt, tokens), "")
}

// responseTokens returns the tokens of a response. Each is a word, with a space
// before it except for the first.
func responseTokens(model, prompt string, tokens int) []string {
	words := append([]string{model}, strings.Fields(prompt)...)
	response := make([]string, tokens)
	for i := range response {
		response[i] = words[i%len(words)]
		if i > 0 {
			response[i] = " " + response[i]
		}
	}
	return response
}
