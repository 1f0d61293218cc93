package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// finishLength is the finish reason of all answers, which are cut at their
// number of tokens.
const finishLength = "length"

// answerWriter writes an answer whole or as server-sent events.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation
	text    strings.Builder
}

func newAnswerWriter(w http.ResponseWriter, g *generation) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), g: g}
}

// token adds one token to the answer.
func (a *answerWriter) token(token string) error {
	first := a.text.Len() == 0
	a.text.WriteString(token)
	if !a.g.request.Stream {
		return nil
	}
	if first {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
	}
	return a.event(a.g.shape.part(token, first), nil)
}

// finish ends the answer.
func (a *answerWriter) finish() error {
	if !a.g.request.Stream {
		a.respondWhole()
		return nil
	}
	reason := finishLength
	last := a.g.shape.part("", false)
	last.FinishReason = &reason
	var usage *openAIUsage
	if a.g.request.StreamOptions.IncludeUsage {
		usage = a.g.usage()
	}
	if err := a.event(last, usage); err != nil {
		return err
	}
	return a.send("data: [DONE]\n\n")
}

func (a *answerWriter) respondWhole() {
	whole, _ := a.g.shape.objects()
	choice := a.g.shape.whole(a.text.String())
	reason := finishLength
	choice.FinishReason = &reason
	answer := a.g.answer(whole, choice)
	answer.Usage = a.g.usage()
	respond(a.w, http.StatusOK, answer)
}

func (a *answerWriter) event(c openAIChoice, usage *openAIUsage) error {
	_, object := a.g.shape.objects()
	answer := a.g.answer(object, c)
	answer.Usage = usage
	body, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return a.send("data: " + string(body) + "\n\n")
}

func (a *answerWriter) send(text string) error {
	if _, err := io.WriteString(a.w, text); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	if err := a.control.Flush(); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}
