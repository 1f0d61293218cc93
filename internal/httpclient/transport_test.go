package httpclient_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/laureltally/laureltally/internal/endless"
	"github.com/laureltally/laureltally/internal/headlimit"
	"github.com/laureltally/laureltally/internal/httpclient"
)

func newClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: httpclient.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a head without end whose failure a caller cannot tell from others.
func TestHeadWithoutEndIsATypedError(t *testing.T) {
	for _, a := range endless.Heads() {
		if a.Name == "no HTTP" || a.Name == "empty lines" {
			continue // malformed after the first line
		}
		t.Run(a.Name, func(t *testing.T) {
			s := endless.Start(t, a)
			resp, err := newClient(t).Get("http://" + s.Address)
			if err == nil {
				resp.Body.Close()
			}
			var size *headlimit.SizeError
			if !errors.As(err, &size) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// Guards against a limit that stays in force for a body or for the next head on the connection,
// and against one that ends with an earlier request.
func TestLimitEndsWithEachHead(t *testing.T) {
	const requestsEach, lanes = 200, 4
	body := strings.Repeat("\n", 2*headlimit.MaxBytes)
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range 100 {
			w.Header().Set(fmt.Sprintf("X-%d", i), strings.Repeat("a", 100))
		}
		switch r.URL.Path {
		case "/body":
			_, _ = io.WriteString(w, body)
		case "/many":
			for i := range 2 * headlimit.MaxLines {
				w.Header().Set(fmt.Sprintf("Y-%d", i), strings.Repeat("a", 40))
			}
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	c := newClient(t)
	var wait sync.WaitGroup
	for range lanes {
		wait.Go(func() {
			for i := range requestsEach {
				path := []string{"/body", "/empty"}[i%2]
				resp, err := c.Get(s.URL + path)
				if err != nil {
					t.Error(err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if want := (1 - i%2) * len(body); err != nil || len(got) != want {
					t.Errorf("%d bytes, error %v", len(got), err)
				}
			}
		})
	}
	wait.Wait()
	if n := conns.Load(); n > 2*lanes {
		t.Errorf("%d connections", n)
	}
	// The connection is used already, and the limit has ended on it.
	var size *headlimit.SizeError
	if resp, err := c.Get(s.URL + "/many"); !errors.As(err, &size) {
		resp.Body.Close()
		t.Errorf("got error %v", err)
	}
}
