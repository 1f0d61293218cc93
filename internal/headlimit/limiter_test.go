package headlimit

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a head that exceeds one of the limits, a body that is limited, and a head that is
// refused for what came before it.
func TestLimits(t *testing.T) {
	for name, tt := range map[string]struct {
		parts []string
		want  int // bytes allowed afterwards, of 100
	}{
		"nothing":         {nil, 100},
		"a usual head":    {[]string{"HTTP/1.1 200 OK\r\n", "A: b\r\n"}, 100},
		"one line":        {[]string{strings.Repeat("a", MaxBytes-7)}, 7},
		"a line too long": {[]string{strings.Repeat("a", MaxBytes)}, 0},
		"lines":           {[]string{strings.Repeat("a:\n", MaxLines-1)}, 100},
		"too many lines":  {[]string{strings.Repeat("a:\n", MaxLines-1), "b:\n"}, 0},
		"empty lines":     {[]string{strings.Repeat("\n", MaxLines)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limiter
			l.Add([]byte(strings.Repeat("\n", 2*MaxBytes)))
			l.Begin()
			for _, p := range tt.parts {
				l.Add([]byte(p))
			}
			got, err := l.Allowed(100)
			var size *SizeError
			if got != tt.want || (got == 0) != errors.As(err, &size) || l.Exceeded() != (got == 0) {
				t.Errorf("got %d %v, want %d", got, err, tt.want)
			}
			l.End()
			if got, err := l.Allowed(1 << 20); got != 1<<20 || err != nil {
				t.Errorf("after the end: %d %v", got, err)
			}
			l.Begin()
			if got, err := l.Allowed(100); got != 100 || err != nil || l.Exceeded() {
				t.Errorf("next head: %d %v", got, err)
			}
		})
	}
}
