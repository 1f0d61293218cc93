package objecthttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// Watch implements metastore.Store. A watch on which neither events nor heartbeats
// arrive ends with a *metastore.UnavailableError that wraps a *WatchTimeoutError.
func (c *Client) Watch(ctx context.Context, prefix string, since metastore.Version, deliver func(metastore.Event)) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchTimeout := time.AfterFunc(c.watchTimeout, func() { cancel(&WatchTimeoutError{Timeout: c.watchTimeout}) })
	defer watchTimeout.Stop()
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)}}
	resp, err := c.send(watchCtx, request{op: "watch", method: http.MethodGet, path: "/watch", query: query})
	if err != nil {
		return watchError(ctx, watchCtx, err)
	}
	defer resp.Body.Close()
	err = readLines(resp.Body, func(l WatchLine) {
		watchTimeout.Reset(c.watchTimeout)
		if l.Event != nil {
			deliver(*l.Event)
		}
	})
	return watchError(ctx, watchCtx, err)
}

// watchError returns the error of a watch: that of ctx if the caller ended it, the
// timeout if watchCtx was canceled by it, or else err.
func watchError(ctx, watchCtx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var timeout *WatchTimeoutError
	if errors.As(context.Cause(watchCtx), &timeout) {
		return &metastore.UnavailableError{Op: "watch", Err: timeout}
	}
	return err
}

// readLines passes lines to deliver until the stream ends. The end of the stream
// is always an error.
func readLines(r io.Reader, deliver func(WatchLine)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var l WatchLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return &metastore.UnavailableError{Op: "watch", Err: fmt.Errorf("decode line: %w", err)}
		}
		if l.Problem != nil {
			return l.Problem.err("watch", "")
		}
		deliver(l)
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return &metastore.UnavailableError{Op: "watch", Err: err}
}
