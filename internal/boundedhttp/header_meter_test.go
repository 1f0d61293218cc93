package boundedhttp

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A header that is split in any way must be measured as if it came at once.
func TestHeaderMeterDoesNotDependOnTheSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		fields := rapid.IntRange(0, 10).Draw(t, "fields")
		header := "GET / HTTP/1.1" + end + strings.Repeat("a:"+end, fields) + end
		m := headerMeter{freeBytes: rapid.IntRange(0, len(header)).Draw(t, "bytes"), freeLines: rapid.IntRange(1, 12).Draw(t, "lines"), bodies: rapid.Bool().Draw(t, "bodies")}
		cost := 0
		for rest := []byte(header); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			cost = max(cost, m.add(rest[:n]))
			rest = rest[n:]
		}
		if want := len(header) - m.freeBytes + headerLineBytes*max(0, fields+2-m.freeLines); cost != want {
			t.Fatalf("cost %d, want %d", cost, want)
		}
		if !m.ended {
			t.Fatal("the end was not seen")
		}
	})
}

// A body must not count as a header, and requests that are sent ahead not as less than
// they are.
func TestHeaderMeterAfterTheHeader(t *testing.T) {
	const header = "POST / HTTP/1.1\r\nHost: x\r\n\r\n"
	lines := strings.Repeat("a:\n", 20)
	body := headerMeter{freeBytes: 100, freeLines: 10, bodies: true}
	if body.add([]byte(header+lines)) > 0 || body.add([]byte(lines)) > 0 {
		t.Fatal("a body was taken for a header")
	}
	body.next()
	if body.add([]byte(header)) > 0 {
		t.Fatal("the next header is refused")
	}
	ahead := headerMeter{freeBytes: 100, freeLines: 10}
	if ahead.add([]byte(header+"GET /")) > 0 {
		t.Fatal("refused")
	}
	ahead.next()
	if ahead.add([]byte(lines)) == 0 {
		t.Fatal("the second header has no limit")
	}
	if (&headerMeter{freeBytes: 100, freeLines: 10}).add([]byte(strings.Repeat("a", 101))) == 0 {
		t.Fatal("a line has no limit")
	}
}
