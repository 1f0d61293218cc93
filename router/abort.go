package router

import "net/http"

// abort closes the connection within a response. A caller of HTTP/1.0 knows the end of a response
// without a length only by that of the connection, which is reset therefore.
func abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only on a closed connection.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
