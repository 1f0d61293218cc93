package httpclient_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/laureltally/laureltally/internal/httpclient"
)

// Guards against a body that is cut at its limit or at the end of a part, and against a truncated
// one that is taken for whole.
func TestReadBody(t *testing.T) {
	const limit = 600 << 10
	for _, n := range []int{0, 1, 4 << 10, 4<<10 + 1, 508 << 10, limit - 1, limit, limit + 1, 2 * limit} {
		body := strings.Repeat("0123456789", n/10+1)[:n]
		for name, in := range map[string]io.Reader{
			"whole":         strings.NewReader(body),
			"in halves":     iotest.HalfReader(strings.NewReader(body)),
			"end with data": iotest.DataErrReader(strings.NewReader(body)),
		} {
			got, err := httpclient.ReadBody(in, limit)
			var size *httpclient.BodySizeError
			if n > limit {
				if !errors.As(err, &size) || size.Limit != limit {
					t.Errorf("%s, %d bytes: %v", name, n, err)
				}
			} else if err != nil || string(got) != body {
				t.Errorf("%s, %d bytes: got %d, error %v", name, n, len(got), err)
			}
		}
		if n < limit {
			in := io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, err := httpclient.ReadBody(in, limit); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("truncated after %d bytes: %v", n, err)
			}
		}
	}
}
