package boundedhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// connKey is the key of a context's conn.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// owedBody is a body that the client owes until its end has been read.
type owedBody struct {
	io.ReadCloser
	c          *conn
	controller *http.ResponseController
}

// withOwedBodies notes that a client owes its body until it was read: the connection may be
// closed to make room meanwhile. The time limit also holds for a body that no handler reads.
func withOwedBodies(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		c.owe()
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(timeout))
		// The server looks at the body of its own request.
		owing := *r
		owing.Body = &owedBody{ReadCloser: r.Body, c: c, controller: controller}
		h.ServeHTTP(w, &owing)
	})
}

// Read implements io.Reader.
func (b *owedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.c.received()
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
