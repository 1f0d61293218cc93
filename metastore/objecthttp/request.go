package objecthttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// request is one call of the object API. Either key or path is set.
type request struct {
	op     string
	method string
	key    string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// limit is the maximum size of the response body, in bytes.
	limit int64
}

func (r request) build(ctx context.Context, base url.URL) (*http.Request, error) {
	path := r.path
	if r.key != "" {
		path = "/objects/" + r.key
	}
	base.Path += path
	base.RawQuery = r.query.Encode()
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, base.String(), body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	return req, nil
}
