package boundedhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest compares a request over a kept connection with and without limits.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"plain", "bounded"} {
		b.Run(name, func(b *testing.B) {
			l, err := Listen("tcp4", "127.0.0.1:0", Small())
			if err != nil {
				b.Fatal(err)
			}
			server, ln := l.Server(http.HandlerFunc(ok)), net.Listener(l)
			if name == "plain" {
				server, ln = &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: smallHeaderTimeout}, l.Listener
			}
			go func() { _ = server.Serve(ln) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
