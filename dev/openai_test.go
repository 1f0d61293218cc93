package dev

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestOpenAIClient uses an ordinary client of the API by base URL and key alone.
func TestOpenAIClient(t *testing.T) {
	base, stop := startDev(t)
	defer func() { _ = stop() }()
	client := openai.NewClient(option.WithBaseURL(base+"/v1"), option.WithAPIKey(Key), option.WithMaxRetries(0))
	ask := func(model, text string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model:    model,
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		}
	}
	t.Run("models", func(t *testing.T) {
		models, err := client.Models.List(t.Context())
		if err != nil || len(models.Data) == 0 {
			t.Fatalf("%v %v", models, err)
		}
	})
	t.Run("whole answer", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), ask("outlook-writer", "wool in autumn"))
		if err != nil {
			t.Fatal(err)
		}
		if got := answer.Choices[0].Message.Content; !strings.Contains(got, "wool in autumn") {
			t.Fatalf("answer %q", got)
		}
	})
	t.Run("stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), ask("outlook-writer", "felt in winter"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if err := stream.Err(); err != nil || !strings.Contains(text.String(), "felt in winter") {
			t.Fatalf("stream %q, %v", text.String(), err)
		}
	})
	t.Run("completion", func(t *testing.T) {
		answer, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:  "draft-writer",
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("linen in spring")},
		})
		if err != nil || len(answer.Choices) == 0 || answer.Choices[0].Text == "" {
			t.Fatalf("%+v %v", answer, err)
		}
	})
	t.Run("refusal", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), ask("nobody", "x"))
		var refused *openai.Error
		if !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound || refused.Code != "unknown_model" {
			t.Fatalf("got %v", err)
		}
	})
}
