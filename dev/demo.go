package dev

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 60 * time.Second

// demoCall is one request of the demonstration.
type demoCall struct {
	title, method, path, body, key string
}

var demoCalls = []demoCall{
	{
		title:  "A streamed chat request to a cold model",
		method: http.MethodPost,
		path:   "/v1/chat/completions",
		body:   `{"model":"outlook-writer","stream":true,"messages":[{"role":"user","content":"Wool in autumn"}]}`,
	},
	{
		title:  "A read of the archive",
		method: http.MethodGet,
		path:   "/services/dev/portal/archive/42",
	},
	{
		title:  "An order with an idempotency key",
		method: http.MethodPost,
		path:   "/services/dev/portal/orders",
		body:   `{"id":"order-1"}`,
		key:    "order-1",
	},
	{
		title:  "The same order again: it has run once, the response is the same",
		method: http.MethodPost,
		path:   "/services/dev/portal/orders",
		body:   `{"id":"order-1"}`,
		key:    "order-1",
	},
}

// Demo runs the environment, sends a few requests and prints their responses to w.
// It fails if a request fails or gets a status of 400 or above.
func Demo(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	r, ready := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := Run(serving, Options{Listen: "127.0.0.1:0", Out: ready})
		_ = ready.Close()
		done <- err
	}()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		return fmt.Errorf("start: %w", <-done)
	}
	base := strings.Fields(line)[1]
	for _, c := range demoCalls {
		if err := c.send(ctx, base, w); err != nil {
			return err
		}
	}
	stop()
	return <-done
}

// send makes the call and prints the response.
func (c demoCall) send(ctx context.Context, base string, w io.Writer) error {
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, strings.NewReader(c.body))
	if err != nil {
		return fmt.Errorf("%s: %w", c.title, err)
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", c.title, err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = fmt.Fprintf(w, "\n%s\n%s %s -> %s\n", c.title, c.method, c.path, resp.Status)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return fmt.Errorf("%s: %w", c.title, err)
	}
	_, _ = fmt.Fprintf(w, "(%d ms)\n", time.Since(start).Milliseconds())
	if resp.StatusCode >= http.StatusBadRequest {
		return &demoError{title: c.title, status: resp.Status}
	}
	return nil
}
