package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/internal/httpclient"
)

// Client calls one engine. It is safe for concurrent use and does not retry.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ engine.Client = (*Client)(nil)

// New returns a client. It fails with a *URLError if the base URL is not an
// absolute HTTP URL.
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

// newTransport returns a transport that keeps enough idle connections for a busy
// process.
func newTransport() *httpclient.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	return httpclient.NewTransport(t)
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

// Submit implements engine.Client. It returns an *engine.Problem for a refused order.
// If the call fails otherwise, with a *CallError, the order may still run.
func (c *Client) Submit(ctx context.Context, o engine.Order) error {
	const path = "/admin/orders"
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, response, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if status == http.StatusAccepted {
		return nil
	}
	var p engine.Problem
	refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if refused && json.Unmarshal(response, &p) == nil && p.Code != "" {
		return &p
	}
	return &CallError{Path: path, Status: status}
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	status, response, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &CallError{Path: path, Status: status}
	}
	if err := json.Unmarshal(response, out); err != nil {
		return &CallError{Path: path, Status: status, Err: err}
	}
	return nil
}

// call makes one call within the timeout and reads the whole response body.
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
	response, err := httpclient.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return 0, nil, &CallError{Path: path, Status: resp.StatusCode, Err: err}
	}
	return resp.StatusCode, response, nil
}
