package standin

import (
	"encoding/json"
	"fmt"
	"strings"
)

// requestText is text that is encoded as a string, as a list of strings or as a
// list of parts with a text each.
type requestText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *requestText) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	var single string
	if json.Unmarshal(b, &single) == nil {
		*t = requestText(single)
		return nil
	}
	var lines []string
	if json.Unmarshal(b, &lines) == nil {
		*t = requestText(strings.Join(lines, "\n"))
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return fmt.Errorf("text or list of parts: %w", err)
	}
	for _, p := range parts {
		*t += requestText(p.Text)
	}
	return nil
}
