package standin

import "strings"

// AdapterSeparator stands between a model and its adapter in the model's name
// of a request.
const AdapterSeparator = ":"

// DefaultAnswerTokens is the length of an answer whose request names none.
const DefaultAnswerTokens = 32

// Answer returns the text of the answer to a prompt or last message: the model's
// name and the words of the prompt, over and over, cut after tokens words.
func Answer(model, prompt string, tokens int) string {
	return strings.Join(answerTokens(model, prompt, tokens), "")
}

// answerTokens returns the tokens of an answer, which are words that each but
// the first start with a space.
func answerTokens(model, prompt string, tokens int) []string {
	words := append([]string{model}, strings.Fields(prompt)...)
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = words[i%len(words)]
		if i > 0 {
			answer[i] = " " + answer[i]
		}
	}
	return answer
}
