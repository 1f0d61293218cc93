package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// relayStream passes on whole events as they come. The header goes out with the
// first event, so that an answer that breaks before it can be made good.
func (d *delivery) relayStream(ctx context.Context, answer *upstreamhttp.Response, begun time.Time) result {
	events := newEventReader(answer)
	res := result{kind: delivered}
	last := begun
	for {
		e, err := events.next()
		now := d.s.o.Now()
		if errors.Is(err, io.EOF) {
			return d.streamEnded(answer, res, now.Sub(begun))
		}
		if err != nil {
			failed := d.failure(ctx, err)
			failed.firstEvent, failed.worstGap = res.firstEvent, res.worstGap
			return failed
		}
		if res.firstEvent == 0 {
			res.firstEvent = now.Sub(begun)
		} else {
			res.worstGap = max(res.worstGap, now.Sub(last))
		}
		last = now
		if d.stream.begun && !follows(e.id, d.stream.lastID) {
			continue
		}
		if err := d.passEvent(answer, e); err != nil {
			return result{kind: callerGone, err: err, firstEvent: res.firstEvent, worstGap: res.worstGap}
		}
	}
}

// streamEnded completes the caller's stream, which is empty if no event came.
func (d *delivery) streamEnded(answer *upstreamhttp.Response, res result, took time.Duration) result {
	res.took = took
	if !d.stream.begun {
		copyHeader(d.w.Header(), answer.Header)
		d.w.WriteHeader(answer.Status)
	}
	return res
}

// passEvent writes one event at once.
func (d *delivery) passEvent(answer *upstreamhttp.Response, e event) error {
	if !d.stream.begun {
		copyHeader(d.w.Header(), answer.Header)
		d.w.WriteHeader(answer.Status)
		d.stream.begun = true
	}
	if _, err := d.w.Write(e.text); err != nil {
		return err
	}
	if e.id != "" {
		d.stream.lastID = e.id
	}
	return http.NewResponseController(d.w).Flush()
}

// follows tells whether an event is newer than the last that was passed on. Ids
// increase; ids that are no numbers are taken on trust.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
