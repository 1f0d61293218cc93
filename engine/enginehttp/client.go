package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laureltally/laureltally/engine"
)

// Client calls one engine. It is safe for concurrent use and repeats no call.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ engine.Client = (*Client)(nil)

// New returns a client. A base URL that is not absolute is a *URLError.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil || base.Host == "" || !strings.HasPrefix(base.Scheme, "http") {
		return nil, &URLError{URL: o.BaseURL}
	}
	c := &Client{base: strings.TrimSuffix(o.BaseURL, "/"), http: o.HTTP, timeout: o.Timeout}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport()}
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	return c, nil
}

// newTransport returns a pool that keeps as many idle connections as a busy
// process uses.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	return t
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// State implements engine.Client.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	var s engine.State
	err := c.get(ctx, "/admin/state", &s)
	return s, err
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context) (engine.LoadReport, error) {
	var r engine.LoadReport
	err := c.get(ctx, "/admin/load", &r)
	return r, err
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (engine.CacheEvents, error) {
	var e engine.CacheEvents
	err := c.get(ctx, "/admin/cache-events?since="+strconv.FormatUint(since, 10), &e)
	return e, err
}

// Submit implements engine.Client. A refusal is an *engine.Problem; any other
// failure is a *CallError, after which the order may run.
func (c *Client) Submit(ctx context.Context, o engine.Order) error {
	const path = "/admin/orders"
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, answer, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if status == http.StatusAccepted {
		return nil
	}
	var p engine.Problem
	refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if refused && json.Unmarshal(answer, &p) == nil && p.Code != "" {
		return &p
	}
	return &CallError{Path: path, Status: status}
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	status, answer, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &CallError{Path: path, Status: status}
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &CallError{Path: path, Status: status, Err: err}
	}
	return nil
}

// call makes one bounded call and reads the whole answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &CallError{Path: path, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, &CallError{Path: path, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, &CallError{Path: path, Status: resp.StatusCode, Err: err}
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, &CallError{Path: path, Status: resp.StatusCode, Err: &SizeError{Limit: maxAnswerBytes}}
	}
	return resp.StatusCode, answer, nil
}
