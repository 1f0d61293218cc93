package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// relayWhole reads an answer to its end before the caller sees any of it, so
// that a broken one can be made good by another VM.
func (d *delivery) relayWhole(ctx context.Context, answer *upstreamhttp.Response, begun time.Time) result {
	first := d.s.o.Now().Sub(begun)
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(answer, maxWholeBytes))
	if err != nil {
		return d.failure(ctx, err)
	}
	if n == maxWholeBytes {
		return d.relayLong(ctx, answer, body.Bytes(), begun)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body.Bytes()}
	res := result{kind: delivered, answer: whole, firstEvent: first, took: d.s.o.Now().Sub(begun)}
	if answer.Status >= http.StatusInternalServerError {
		res.kind = failedAnswer
		return res
	}
	d.deliverWhole(whole)
	return res
}

func (d *delivery) deliverWhole(a *wholeAnswer) {
	copyHeader(d.w.Header(), a.header)
	length := strconv.Itoa(len(a.body))
	if d.r.Method == http.MethodHead {
		length = a.header.Get("Content-Length")
	}
	if length != "" && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		d.w.Header().Set("Content-Length", length)
	}
	d.w.WriteHeader(a.status)
	_, _ = d.w.Write(a.body)
}

// relayLong passes on an answer that is too long to be kept.
func (d *delivery) relayLong(ctx context.Context, answer *upstreamhttp.Response, head []byte, begun time.Time) result {
	copyHeader(d.w.Header(), answer.Header)
	if answer.Length >= 0 {
		d.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	d.w.WriteHeader(answer.Status)
	d.stream.begun = true
	if _, err := d.w.Write(head); err != nil {
		return result{kind: callerGone, err: err}
	}
	if _, err := io.Copy(d.w, answer); err != nil {
		return d.failure(ctx, err)
	}
	return result{kind: delivered, firstEvent: d.s.o.Now().Sub(begun), took: d.s.o.Now().Sub(begun)}
}
