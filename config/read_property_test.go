package config

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestCorruptedTextIsValidOrHasProblemPositions replaces random parts of a valid
// text. What ReadDocument accepts must pass Check; what it rejects must have
// problems with positions inside the text.
func TestCorruptedTextIsValidOrHasProblemPositions(t *testing.T) {
	pieces := []string{"", "0", "-1", "null", "[]", "{}", `""`, `"x"`, "1e999", "true", ",", "{", "]", "//", "\n", "ø", "\x00", "1.5"}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(smallText())
		for range rapid.IntRange(1, 4).Draw(t, "damages") {
			start := rapid.IntRange(0, len(text)).Draw(t, "start")
			end := rapid.IntRange(start, min(len(text), start+12)).Draw(t, "end")
			text = append(append(text[:start:start], rapid.SampledFrom(pieces).Draw(t, "piece")...), text[end:]...)
		}
		d, err := ReadDocument(text)
		if err == nil {
			if err := d.Check(); err != nil {
				t.Fatalf("accepted text fails the check: %v", err)
			}
			return
		}
		var invalid *InvalidError
		if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
			t.Fatalf("got %v", err)
		}
		lines := bytes.Split(text, []byte{'\n'})
		for _, p := range invalid.Problems {
			if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 {
				t.Fatalf("%v is not inside the text", &p)
			}
		}
	})
}
