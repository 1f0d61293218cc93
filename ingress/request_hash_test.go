package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

func traitOf(method, target, body string, header http.Header, info serving.RequestInfo) ident.Trait {
	r := httptest.NewRequest(method, target, nil)
	r.Header = header
	h := newRequestHash(r, &info, false, "")
	_, _ = io.Copy(h, strings.NewReader(body))
	return h.trait()
}

// A repeat has another id, deadline and trace; all else makes another request.
func TestRepeatsShareTrait(t *testing.T) {
	alice := http.Header{"Authorization": {"Bearer a"}, "X-Request-Id": {"1"}, "X-Deadline-Ms": {"2997"}}
	repeat := http.Header{"Authorization": {"Bearer a"}, "X-Request-Id": {"2"}, "X-Deadline-Ms": {"1800"}, "Traceparent": {"00-1-1-01"}}
	bob := http.Header{"Authorization": {"Bearer b"}, "X-Request-Id": {"1"}}
	prompt := func(ids ...ident.PromptPart) serving.RequestInfo {
		i := serving.RequestInfo{ID: "1", Model: "m"}
		for _, id := range ids {
			i.Prefix = append(i.Prefix, serving.PromptPart{ID: id, Tokens: 5})
		}
		return i
	}
	const target = "http://orders.example/read/a?page=2"
	first := traitOf("GET", target, "", alice, serving.RequestInfo{ID: "1"})
	if got := traitOf("GET", target, "", repeat, serving.RequestInfo{ID: "2", LastEventID: "4"}); got != first {
		t.Errorf("a repeat has trait %v, the first %v", got, first)
	}
	seen := map[ident.Trait]string{first: "first"}
	for name, d := range map[string]ident.Trait{
		"method":         traitOf("HEAD", target, "", alice, serving.RequestInfo{}),
		"host":           traitOf("GET", "http://other.example/read/a?page=2", "", alice, serving.RequestInfo{}),
		"query":          traitOf("GET", "http://orders.example/read/a?page=3", "", alice, serving.RequestInfo{}),
		"caller":         traitOf("GET", target, "", bob, serving.RequestInfo{}),
		"body":           traitOf("GET", target, "x", alice, serving.RequestInfo{}),
		"longer body":    traitOf("GET", target, "xx", alice, serving.RequestInfo{}),
		"model":          traitOf("GET", target, "", alice, prompt()),
		"prompt":         traitOf("GET", target, "", alice, prompt(1, 2)),
		"another prompt": traitOf("GET", target, "", alice, prompt(1, 3)),
	} {
		if other, ok := seen[d]; ok {
			t.Errorf("%s and %s have the same trait", name, other)
		}
		seen[d] = name
	}
}

// Reading a body of a megabyte and hashing it as it comes.
func BenchmarkHashOfALongBody(b *testing.B) {
	body := strings.Repeat("x", 1<<20)
	r := httptest.NewRequest(http.MethodPost, "http://orders.example/order/a", nil)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		h := newRequestHash(r, &serving.RequestInfo{}, false, "")
		_, _ = io.Copy(h, strings.NewReader(body))
	}
}
