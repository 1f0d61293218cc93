package serving

import "testing"

// Guards against requests that cost the wrong amount, in particular generation requests
// that state no token counts.
func TestCost(t *testing.T) {
	tokens := Allotment{PerSecond: 1, Tokens: true, PlainTokens: 200}
	for name, tt := range map[string]struct {
		allotment Allotment
		request   RequestInfo
		want      float64
	}{
		"request":          {Allotment{PerSecond: 1, PlainTokens: 200}, RequestInfo{PromptTokens: 9, MaxOutputTokens: 9, HasTokenCounts: true}, 1},
		"both counts":      {tokens, RequestInfo{PromptTokens: 1460, MaxOutputTokens: 80, HasTokenCounts: true}, 1540},
		"counts of zero":   {tokens, RequestInfo{HasTokenCounts: true}, 0},
		"without counts":   {tokens, RequestInfo{}, 200},
		"malformed counts": {tokens, RequestInfo{PromptTokens: 1460}, 200},
	} {
		if got := tt.allotment.Cost(&tt.request); got != tt.want {
			t.Errorf("%s: costs %v, want %v", name, got, tt.want)
		}
	}
}
