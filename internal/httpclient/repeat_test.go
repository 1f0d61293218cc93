package httpclient_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/laureltally/laureltally/internal/httpclient"
	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/internal/responsehead/headtest"
)

// Guards against a request that net/http sends again over each idle connection, outside of any retry
// budget, to a server in trouble that has run it and sent a malformed head.
func TestMalformedHeadIsNotRepeated(t *testing.T) {
	const idle = 8
	for _, r := range slices.Concat(headtest.MalformedStatus(), headtest.MalformedFields()) {
		var runs atomic.Int32
		var together sync.WaitGroup
		mux := http.NewServeMux()
		mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {
			together.Done()
			together.Wait()
		})
		odd := headtest.Handler(t, r.Text)
		mux.HandleFunc("/odd", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			odd.ServeHTTP(w, r)
		})
		s := httptest.NewServer(mux)
		c := &http.Client{Transport: httpclient.NewTransport(&http.Transport{MaxIdleConnsPerHost: idle})}
		var calls sync.WaitGroup
		together.Add(idle)
		for range idle {
			calls.Go(func() {
				resp, err := c.Get(s.URL + "/")
				if err != nil {
					t.Error(err)
					return
				}
				resp.Body.Close()
			})
		}
		calls.Wait()
		resp, err := c.Get(s.URL + "/odd")
		if err == nil {
			resp.Body.Close()
		}
		var syntax *responsehead.SyntaxError
		if n := runs.Load(); n != 1 || !errors.As(err, &syntax) {
			t.Errorf("%s: sent %d times, error %v", r.Name, n, err)
		}
		c.CloseIdleConnections()
		s.Close()
	}
}
