package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// Rule ORDER: guards against a stream that is complete without an event which the router dropped,
// as its id is not above the one before, and against a resumed stream that goes back. Only what
// the caller has already may be left out.
func TestEventsOutOfOrderBreakAStream(t *testing.T) {
	t.Parallel()
	stream := func(ids ...int) platformtest.Behavior {
		var body strings.Builder
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: %d of s\n\n", id, id)
			fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
		}
		return platformtest.Behavior{Raw: rawHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + body.String() + "0\r\n\r\n"}
	}
	for name, tc := range map[string]struct {
		path   string
		ids    []int
		resume bool
		// want are the events that the caller may get.
		want     []int
		complete bool
	}{
		"back":                      {path: "/draft/a", ids: []int{1, 3, 2, 4}, want: []int{1, 3}},
		"twice":                     {path: "/draft/a", ids: []int{1, 1, 2}, want: []int{1}},
		"back, resumable":           {path: "/outlook/a", ids: []int{1, 3, 2, 4}, want: []int{1, 3}},
		"resumed, from the start":   {path: "/outlook/a", resume: true, ids: []int{1, 2, 3, 4}, want: []int{3, 4}, complete: true},
		"resumed, then back":        {path: "/outlook/a", resume: true, ids: []int{3, 4, 2, 5}, want: []int{3, 4}},
		"resumed, repeats and ends": {path: "/outlook/a", resume: true, ids: []int{1, 2}, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
			for _, u := range upstreams {
				u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
					switch {
					case r.Header.Get("X-Request-Id") == "first":
						return platformtest.Behavior{TruncateAfter: 2, Decline: r.Header.Get("Last-Event-Id") != ""}
					case r.Header.Get("Last-Event-Id") != "" && !tc.resume:
						return platformtest.Behavior{Decline: true}
					}
					return stream(tc.ids...)
				})
			}
			c := platformtest.Call{ID: "s", Path: tc.path, Body: "x"}
			if tc.resume {
				in.call(platformtest.Call{ID: "first", Path: tc.path, Body: "x"})
				c.Header = http.Header{"Last-Event-Id": {"2"}, "Resumes": {"first"}}
			}
			r := in.call(c)
			var got []int
			for _, line := range strings.Split(r.Body, "\n") {
				var id int
				if n, _ := fmt.Sscanf(line, "id: %d", &id); n == 1 {
					got = append(got, id)
				}
			}
			if !slices.Equal(got, tc.want) || r.Complete != tc.complete {
				t.Errorf("status %d, complete %v, events %v, want %v, complete %v", r.Status, r.Complete, got, tc.want, tc.complete)
			}
		})
	}
}

// Rule ORDER: guards against a sound continuation that is cut, as a comment comes before the events
// that the caller has already.
func TestCommentBeforeRepeatsDoesNotBreakAStream(t *testing.T) {
	t.Parallel()
	const events = 10
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: events})
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			if r.Header.Get("Last-Event-Id") == "" {
				return platformtest.Behavior{TruncateAfter: 4}
			}
			var body strings.Builder
			for i := range events + 1 {
				event := ": alive\n\n"
				if i > 0 {
					event = fmt.Sprintf("id: %d\ndata: %d of s\n\n", i, i)
				}
				fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
			}
			return platformtest.Behavior{Raw: rawChunked + body.String() + "0\r\n\r\n"}
		})
	}
	if r := in.call(platformtest.Call{ID: "s", Path: "/outlook/a", Body: "x"}); !r.Complete || !strings.Contains(r.Body, "10 of s") {
		t.Errorf("complete %v: %q", r.Complete, r.Body)
	}
}
