package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// firstPartBytes is the size of the first part of a body that is read; the following ones
	// double up to maxPartBytes.
	firstPartBytes = 4 << 10
	maxPartBytes   = 256 << 10
)

// ReadBody reads a response body of at most limit bytes to its end. It fails with a *BodySizeError
// if the body is longer, for which it has allocated hardly more than the limit.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	var (
		parts [][]byte
		total int64
		part  = make([]byte, 0, firstPartBytes)
	)
	for {
		if len(part) == cap(part) {
			parts = append(parts, part)
			part = make([]byte, 0, min(2*cap(part), maxPartBytes))
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		total += int64(n)
		switch {
		case total > limit:
			return nil, &BodySizeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return bytes.Join(append(parts, part), nil), nil
		case err != nil:
			return nil, fmt.Errorf("read response: %w", err)
		}
	}
}
