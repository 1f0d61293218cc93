package objecthttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laureltally/laureltally/internal/httpclient"
	"github.com/laureltally/laureltally/metastore"
)

// Client calls the object API over HTTP. It is safe for concurrent use.
type Client struct {
	base         url.URL
	http         *http.Client
	timeout      time.Duration
	watchTimeout time.Duration
	maxListBytes int64
}

var (
	_ metastore.Store    = (*Client)(nil)
	_ metastore.VMLister = (*Client)(nil)
)

// New returns a client. A base URL that is not absolute is a *URLError.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil || base.Host == "" || !strings.HasPrefix(base.Scheme, "http") {
		return nil, &URLError{URL: o.BaseURL}
	}
	base.Path = strings.TrimSuffix(base.Path, "/")
	c := &Client{base: *base, http: o.HTTP, timeout: o.Timeout, watchTimeout: o.WatchTimeout, maxListBytes: o.MaxListBytes}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport()}
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.watchTimeout == 0 {
		c.watchTimeout = DefaultWatchTimeout
	}
	if c.maxListBytes == 0 {
		c.maxListBytes = DefaultMaxListBytes
	}
	return c, nil
}

// newTransport returns a transport that keeps as many idle connections as a busy
// process uses.
func newTransport() *httpclient.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	return httpclient.NewTransport(t)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements metastore.Store.
func (c *Client) Get(ctx context.Context, key string) (metastore.Object, error) {
	body, header, err := c.call(ctx, request{op: "get", method: http.MethodGet, key: key, limit: metastore.MaxValueBytes})
	if err != nil {
		return metastore.Object{}, err
	}
	v, err := ParseETag(header.Get("ETag"))
	if err != nil {
		return metastore.Object{}, &metastore.UnavailableError{Op: "get", Err: err}
	}
	return metastore.Object{Key: key, Value: body, Version: v}, nil
}

// Put implements metastore.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	if len(value) > metastore.MaxValueBytes {
		return 0, &metastore.ValueSizeError{Key: key, Bytes: len(value)}
	}
	r := request{op: "put", method: http.MethodPut, key: key, body: value, header: http.Header{}, limit: maxProblemBytes}
	if expect == 0 {
		r.header.Set("If-None-Match", "*")
	} else {
		r.header.Set("If-Match", FormatETag(expect))
	}
	_, header, err := c.call(ctx, r)
	if err != nil {
		return 0, err
	}
	v, err := ParseETag(header.Get("ETag"))
	if err != nil {
		return 0, &metastore.UnavailableError{Op: "put", Err: err}
	}
	return v, nil
}

// Delete implements metastore.Store.
func (c *Client) Delete(ctx context.Context, key string, expect metastore.Version) error {
	r := request{op: "delete", method: http.MethodDelete, key: key, header: http.Header{}, limit: maxProblemBytes}
	r.header.Set("If-Match", FormatETag(expect))
	_, _, err := c.call(ctx, r)
	return err
}

// List implements metastore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]metastore.Object, metastore.Version, error) {
	r := request{op: "list", method: http.MethodGet, path: "/objects", query: url.Values{"prefix": {prefix}}, limit: c.maxListBytes}
	var l Listing
	if err := c.decode(ctx, r, &l); err != nil {
		return nil, 0, err
	}
	return l.Objects, l.Version, nil
}

// ListVMs implements metastore.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]metastore.VM, error) {
	var vms []metastore.VM
	r := request{op: "vms", method: http.MethodGet, path: "/vms", limit: c.maxListBytes}
	if err := c.decode(ctx, r, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}

// decode makes a call and decodes the JSON response into out.
func (c *Client) decode(ctx context.Context, r request, out any) error {
	body, _, err := c.call(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &metastore.UnavailableError{Op: r.op, Err: fmt.Errorf("decode response: %w", err)}
	}
	return nil
}

// call makes one call within the timeout and reads the whole response, which may
// have up to r.limit bytes.
func (c *Client) call(ctx context.Context, r request) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := httpclient.ReadBody(resp.Body, r.limit)
	if err != nil {
		return nil, nil, &metastore.UnavailableError{Op: r.op, Err: err}
	}
	return body, resp.Header, nil
}

// send makes one call and returns an error if the status is not a success.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	req, err := r.build(ctx, c.base)
	if err != nil {
		return nil, &metastore.UnavailableError{Op: r.op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &metastore.UnavailableError{Op: r.op, Err: err}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, responseError(resp, r)
}

// responseError returns the error for the response of a failed call.
func responseError(resp *http.Response, r request) error {
	var p Problem
	body, err := httpclient.ReadBody(resp.Body, maxProblemBytes)
	if err == nil {
		err = json.Unmarshal(body, &p)
	}
	if err != nil || p.Code == "" {
		return &metastore.UnavailableError{Op: r.op, RetryAfter: retryAfter(resp.Header), Err: &StatusError{Status: resp.StatusCode}}
	}
	return p.err(r.op, r.key)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
