package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/upstreamhttp"
)

// relayStream relays complete events as they arrive. The header is sent with the
// first event, so that a response that breaks before it can be replaced by another
// attempt.
func (d *delivery) relayStream(ctx context.Context, response *upstreamhttp.Response, begun time.Time) result {
	events := newEventReader(response)
	d.stream.framing = response.Framing
	res := result{kind: outcomeDelivered}
	last := begun
	eventBytes := freeEventBytes
	// relaying is set once an event of this response that has an id has been relayed.
	relaying := false
	for {
		e, err := events.next()
		now := d.s.o.Now()
		if errors.Is(err, io.EOF) {
			err = d.checkEnd(ctx, response)
			if d.stream.begun && !d.endsWithConnection && response.Framing == upstreamhttp.FramingConnection {
				// The caller's response states that its end will be marked.
				err = &UnmarkedEndError{}
			}
			if err == nil {
				return d.streamEnded(response, res, now.Sub(begun))
			}
		}
		if err != nil {
			return d.failure(ctx, err).withTimes(res)
		}
		if res.timeToFirstEvent == 0 {
			res.timeToFirstEvent = now.Sub(begun)
		} else {
			res.longestEventGap = max(res.longestEventGap, now.Sub(last))
			res.streamed += now.Sub(last)
		}
		last = now
		if res.streamed >= quarantine.SoundAfter {
			d.observeAnswer(result{streamed: res.streamed, timeToFirstEvent: res.timeToFirstEvent}, begun)
		}
		if !follows(e.id, d.stream.lastID) {
			if relaying {
				return result{kind: outcomeBroken, err: &EventOrderError{ID: e.id, Last: d.stream.lastID}}.withTimes(res)
			}
			// A server may begin earlier than it was asked to continue.
			d.stream.skipped++
			continue
		}
		relaying = relaying || e.id != ""
		if !d.stream.begun && now.After(d.deadline.Add(responseSlack)) {
			// The process was paused: the time for writing to the connection is over, and
			// only a final response gets more.
			return result{kind: outcomeTimedOut, err: context.DeadlineExceeded}.withTimes(res)
		}
		if n := cap(events.buf); n > eventBytes {
			d.conn.hold(n - eventBytes)
			eventBytes = n
		}
		if err := d.relayEvent(response, e); err != nil {
			return result{kind: outcomeCallerGone, err: err}.withTimes(res)
		}
	}
}

// streamEnded completes the caller's stream, which is empty if no event arrived.
func (d *delivery) streamEnded(response *upstreamhttp.Response, res result, took time.Duration) result {
	res.took = took
	if !d.stream.begun {
		d.extendWrite()
		d.beginResponse(response.Status, response.Header, response.Framing)
	}
	d.completed()
	return res
}

// relayEvent writes and flushes one event.
func (d *delivery) relayEvent(response *upstreamhttp.Response, e event) error {
	if !d.stream.begun {
		d.beginResponse(response.Status, response.Header, response.Framing)
		d.stream.begun = true
		d.conn.beginStream()
		d.streamBegun()
	}
	if _, err := d.w.Write(e.text); err != nil {
		return err
	}
	d.stream.relayed++
	if e.id != "" {
		d.stream.lastID = e.id
	}
	return http.NewResponseController(d.w).Flush()
}

// follows reports whether an event is newer than the last one relayed. Ids increase;
// ids that are not numbers are assumed to be newer.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
