package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// relayWhole buffers a response to its end before any of it is sent to the caller, so
// that a broken one can be replaced by another VM's. If the budget has no room for it, it
// is relayed as it arrives.
func (d *delivery) relayWhole(ctx context.Context, response *upstreamhttp.Response, begun time.Time) result {
	first := d.s.o.Now().Sub(begun)
	var body bytes.Buffer
	in, ok := d.conn.reserveResponse(response, &body)
	if !ok {
		return d.relayLong(ctx, response, nil, begun)
	}
	n, err := io.Copy(&body, io.LimitReader(in, maxWholeBytes))
	var noRoom *NoRoomError
	if errors.As(err, &noRoom) {
		return d.relayLong(ctx, response, body.Bytes(), begun)
	}
	if err != nil {
		return d.failure(ctx, err)
	}
	if n == maxWholeBytes {
		return d.relayLong(ctx, response, body.Bytes(), begun)
	}
	if err := d.checkEnd(ctx, response); err != nil {
		return d.failure(ctx, err)
	}
	whole := &wholeResponse{status: response.Status, header: response.Header, framing: response.Framing, body: body.Bytes()}
	res := result{kind: outcomeDelivered, response: whole, timeToFirstEvent: first, took: d.s.o.Now().Sub(begun)}
	if response.Status >= http.StatusInternalServerError {
		res.kind = outcomeFailedResponse
		return res
	}
	d.sendWhole(whole)
	return res
}

func (d *delivery) sendWhole(whole *wholeResponse) {
	d.conn.beginWhole(whole.body)
	d.extendWrite()
	// The body was received to its end, so that its length is known if the end was marked.
	length := strconv.Itoa(len(whole.body))
	switch {
	case d.r.Method == http.MethodHead:
		length = whole.header.Get("Content-Length")
	case whole.framing == upstreamhttp.FramingConnection:
		length = ""
	default:
		whole.framing = upstreamhttp.FramingLength
	}
	if length != "" && whole.status != http.StatusNoContent && whole.status != http.StatusNotModified {
		d.w.Header().Set("Content-Length", length)
	}
	d.beginResponse(whole.status, whole.header, whole.framing)
	if _, err := d.w.Write(whole.body); err == nil {
		d.completed()
	}
}

// relayLong relays a response that is too long to be buffered.
func (d *delivery) relayLong(ctx context.Context, response *upstreamhttp.Response, head []byte, begun time.Time) result {
	if response.Length >= 0 {
		d.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	d.beginResponse(response.Status, response.Header, response.Framing)
	// No other upstream can continue it, also if the caller has resumed a stream.
	d.stream.begun, d.stream.lastID = true, ""
	d.conn.hold(copyBufferBytes)
	if _, err := d.w.Write(head); err != nil {
		return result{kind: outcomeCallerGone, err: err}
	}
	if _, err := io.Copy(d.w, response); err != nil {
		return d.failure(ctx, err)
	}
	if err := d.checkEnd(ctx, response); err != nil {
		return d.failure(ctx, err)
	}
	d.completed()
	return result{kind: outcomeDelivered, timeToFirstEvent: d.s.o.Now().Sub(begun), took: d.s.o.Now().Sub(begun)}
}
