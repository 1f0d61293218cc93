package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// finishLength is the finish reason of all responses, which end at their number
// of tokens.
const finishLength = "length"

// responseWriter writes a response as one JSON body or as server-sent events.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation
	text    strings.Builder
}

func newResponseWriter(w http.ResponseWriter, g *generation) *responseWriter {
	return &responseWriter{w: w, control: http.NewResponseController(w), g: g}
}

// token adds one token to the response.
func (rw *responseWriter) token(token string) error {
	first := rw.text.Len() == 0
	rw.text.WriteString(token)
	if !rw.g.request.Stream {
		return nil
	}
	if first {
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.Header().Set("Cache-Control", "no-cache")
	}
	return rw.writeEvent(rw.g.shape.chunk(token, first), nil)
}

// finish ends the response.
func (rw *responseWriter) finish() error {
	if !rw.g.request.Stream {
		rw.writeComplete()
		return nil
	}
	reason := finishLength
	last := rw.g.shape.chunk("", false)
	last.FinishReason = &reason
	var usage *openAIUsage
	if rw.g.request.StreamOptions.IncludeUsage {
		usage = rw.g.usage()
	}
	if err := rw.writeEvent(last, usage); err != nil {
		return err
	}
	return rw.send("data: [DONE]\n\n")
}

func (rw *responseWriter) writeComplete() {
	complete, _ := rw.g.shape.objects()
	choice := rw.g.shape.complete(rw.text.String())
	reason := finishLength
	choice.FinishReason = &reason
	response := rw.g.response(complete, choice)
	response.Usage = rw.g.usage()
	writeJSON(rw.w, http.StatusOK, response)
}

func (rw *responseWriter) writeEvent(c openAIChoice, usage *openAIUsage) error {
	_, object := rw.g.shape.objects()
	response := rw.g.response(object, c)
	response.Usage = usage
	body, err := json.Marshal(response)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return rw.send("data: " + string(body) + "\n\n")
}

func (rw *responseWriter) send(text string) error {
	if _, err := io.WriteString(rw.w, text); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	if err := rw.control.Flush(); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}
