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
		m := headerMeter{maxBytes: len(header), maxLines: rapid.IntRange(1, 12).Draw(t, "max"), bodies: rapid.Bool().Draw(t, "bodies")}
		within := true
		for rest := []byte(header); len(rest) > 0 && within; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			within = m.add(rest[:n])
			rest = rest[n:]
		}
		if want := fields+2 <= m.maxLines; within != want {
			t.Fatalf("within %v, want %v", within, want)
		}
		if within && !m.ended {
			t.Fatal("the end was not seen")
		}
	})
}

// A body must not count as a header, and requests that are sent ahead not as less than
// they are.
func TestHeaderMeterAfterTheHeader(t *testing.T) {
	const header = "POST / HTTP/1.1\r\nHost: x\r\n\r\n"
	lines := strings.Repeat("a:\n", 20)
	body := headerMeter{maxBytes: 100, maxLines: 10, bodies: true}
	if !body.add([]byte(header+lines)) || !body.add([]byte(lines)) {
		t.Fatal("a body was taken for a header")
	}
	body.next()
	if !body.add([]byte(header)) {
		t.Fatal("the next header is refused")
	}
	ahead := headerMeter{maxBytes: 100, maxLines: 10}
	if !ahead.add([]byte(header + "GET /")) {
		t.Fatal("refused")
	}
	ahead.next()
	if ahead.add([]byte(lines)) {
		t.Fatal("the second header has no limit")
	}
	if (&headerMeter{maxBytes: 100, maxLines: 10}).add([]byte(strings.Repeat("a", 101))) {
		t.Fatal("a line has no limit")
	}
}
