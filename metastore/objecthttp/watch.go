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

// Watch implements metastore.Store. A watch on which not even heartbeats arrive
// ends with a *metastore.UnavailableError that wraps a *SilenceError.
func (c *Client) Watch(ctx context.Context, prefix string, since metastore.Version, deliver func(metastore.Event)) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.silence, func() { cancel(&SilenceError{After: c.silence}) })
	defer silence.Stop()
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)}}
	resp, err := c.send(inner, request{op: "watch", method: http.MethodGet, path: "/watch", query: query})
	if err != nil {
		return watchError(ctx, inner, err)
	}
	defer resp.Body.Close()
	err = readLines(resp.Body, func(l WatchLine) {
		silence.Reset(c.silence)
		if l.Event != nil {
			deliver(*l.Event)
		}
	})
	return watchError(ctx, inner, err)
}

// watchError tells apart the caller's end of a watch, silence and all else.
func watchError(ctx, inner context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var silence *SilenceError
	if errors.As(context.Cause(inner), &silence) {
		return &metastore.UnavailableError{Op: "watch", Err: silence}
	}
	return err
}

// readLines hands over lines until the stream ends, which is always an error.
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
