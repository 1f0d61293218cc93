package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// startDev runs the environment and returns its base URL and a function that stops
// it and returns the error of Run.
func startDev(t *testing.T) (string, func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	done := make(chan error, 1)
	logs := &log.Logger{Handler: logfmt.New(&testWriter{t: t}), Level: log.InfoLevel}
	go func() {
		err := Run(ctx, Options{Listen: "127.0.0.1:0", Out: w, Logger: logs})
		_ = w.CloseWithError(io.EOF)
		done <- err
	}()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		cancel()
		t.Fatalf("not ready: %v %v", err, <-done)
	}
	stop := func() error {
		cancel()
		return <-done
	}
	return strings.Fields(line)[1], stop
}

// testWriter passes log lines to the test while it runs.
type testWriter struct{ t *testing.T }

func (w *testWriter) Write(p []byte) (int, error) {
	if w.t.Context().Err() == nil {
		w.t.Log(strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

func call(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

func TestRequestPath(t *testing.T) {
	base, stop := startDev(t)
	t.Run("streamed chat to a cold model", func(t *testing.T) {
		resp, body := call(t, "POST", base+"/v1/chat/completions", `{"model":"outlook-writer","stream":true,"messages":[{"role":"user","content":"wool in autumn"}]}`, nil)
		if resp.StatusCode != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Fatalf("%d %s", resp.StatusCode, body)
		}
	})
	t.Run("response of an adapter without streaming", func(t *testing.T) {
		resp, body := call(t, "POST", base+"/v1/chat/completions", `{"model":"outlook-writer-wool","messages":[{"role":"user","content":"felt in winter"}]}`, nil)
		var response struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(body), &response); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%d %s %v", resp.StatusCode, body, err)
		}
		if !strings.Contains(response.Choices[0].Message.Content, "felt in winter") {
			t.Fatalf("got response %s", body)
		}
	})
	t.Run("an order runs once for one key", func(t *testing.T) {
		key := map[string]string{"Idempotency-Key": "order-7"}
		first, one := call(t, "POST", base+"/services/dev/portal/orders", `{"id":"order-7"}`, key)
		second, two := call(t, "POST", base+"/services/dev/portal/orders", `{"id":"order-7"}`, key)
		if first.StatusCode/100 != 2 || second.StatusCode != first.StatusCode || one != two {
			t.Fatalf("%d %s, then %d %s", first.StatusCode, one, second.StatusCode, two)
		}
	})
	t.Run("a read of the archive", func(t *testing.T) {
		resp, body := call(t, "GET", base+"/services/dev/portal/archive/9", "", nil)
		if resp.StatusCode != http.StatusOK || !strings.Contains(body, "9") {
			t.Fatalf("%d %s", resp.StatusCode, body)
		}
	})
	if err := stop(); err != nil {
		t.Fatal(err)
	}
}

func TestRefusals(t *testing.T) {
	base, stop := startDev(t)
	defer func() { _ = stop() }()
	chat := base + "/v1/chat/completions"
	for _, tc := range []struct {
		name, method, url, body string
		header                  map[string]string
		status                  int
		code                    string
	}{
		{"malformed JSON", "POST", chat, `{"model":`, nil, 400, "malformed"},
		{"no model", "POST", chat, `{}`, nil, 400, "malformed"},
		{"unknown model", "POST", chat, `{"model":"x"}`, nil, 404, "unknown_model"},
		{"unknown environment", "GET", base + "/services/prod/portal/archive/1", "", nil, 404, "unknown_environment"},
		{"unknown service", "GET", base + "/services/dev/shop/1", "", nil, 404, "unknown_service"},
		{"wrong key", "POST", chat, `{"model":"outlook-writer"}`, map[string]string{"Authorization": "Bearer x"}, 401, "unauthorized"},
		{"oversized body", "POST", chat, `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, nil, 413, "body_too_large"},
		{"invalid timeout", "POST", chat, `{"model":"outlook-writer"}`, map[string]string{"X-Laureltally-Timeout": "soon"}, 400, "malformed"},
		{"long key", "POST", base + "/services/dev/portal/orders", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400, "malformed"},
		{"unknown path", "GET", base + "/nothing", "", nil, 404, "unknown_service"},
		{"wrong method", "GET", chat, "", nil, 400, "malformed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, body := call(t, tc.method, tc.url, tc.body, tc.header)
			var e struct {
				Error struct{ Code, Run, Message, Type string }
			}
			if err := json.NewDecoder(bytes.NewReader([]byte(body))).Decode(&e); err != nil {
				t.Fatalf("%v in %q", err, body)
			}
			if resp.Header.Get("X-Request-Id") == "" {
				t.Error("no request id")
			}
			if resp.StatusCode != tc.status || e.Error.Code != tc.code || e.Error.Run != "not_run" || e.Error.Message == "" || e.Error.Type == "" {
				t.Fatalf("%d %+v", resp.StatusCode, e)
			}
		})
	}
}

func TestDeadlineShorterThanLoadIsRefusedAtOnce(t *testing.T) {
	base, stop := startDev(t)
	defer func() { _ = stop() }()
	start := time.Now()
	resp, body := call(t, "POST", base+"/v1/chat/completions", `{"model":"draft-writer","messages":[]}`, map[string]string{"X-Laureltally-Timeout": "50ms"})
	if resp.Header.Get("X-Request-Id") == "" {
		t.Error("no request id")
	}
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get("Retry-After") == "" || !strings.Contains(body, `"not_run"`) {
		t.Fatalf("%d %v %s after %v", resp.StatusCode, resp.Header, body, time.Since(start))
	}
}
