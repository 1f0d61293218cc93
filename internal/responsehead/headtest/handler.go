package headtest

import (
	"io"
	"net/http"
	"testing"
)

// Handler returns a handler that writes a text in place of each response and closes the connection.
func Handler(t testing.TB, text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	})
}
