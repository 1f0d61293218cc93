package dev

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestOpenAIClient uses the official OpenAI client, configured with the base URL and
// the key alone.
func TestOpenAIClient(t *testing.T) {
	base, stop := startDev(t)
	defer func() { _ = stop() }()
	client := openai.NewClient(option.WithBaseURL(base+"/v1"), option.WithAPIKey(Key), option.WithMaxRetries(0))
	chatParams := func(model, text string) openai.ChatCompletionNewParams {
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
	t.Run("response without streaming", func(t *testing.T) {
		response, err := client.Chat.Completions.New(t.Context(), chatParams("outlook-writer", "wool in autumn"))
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Choices[0].Message.Content; !strings.Contains(got, "wool in autumn") {
			t.Fatalf("got response %q", got)
		}
	})
	t.Run("stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("outlook-writer", "felt in winter"))
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
		response, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:  "draft-writer",
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("linen in spring")},
		})
		if err != nil || len(response.Choices) == 0 || response.Choices[0].Text == "" {
			t.Fatalf("%+v %v", response, err)
		}
	})
	t.Run("refusal", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), chatParams("nobody", "x"))
		var refused *openai.Error
		if !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound || refused.Code != "unknown_model" {
			t.Fatalf("got %v", err)
		}
	})
}
