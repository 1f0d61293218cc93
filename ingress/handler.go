package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/serving"
)

// maxRequestTime bounds a request before its route is known, and a request for which
// neither the route nor the caller sets a timeout.
const maxRequestTime = time.Minute

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.started()
	defer s.requests.ended()
	conn, info := callerConnOf(r.Context()), s.o.Protocol.ReadRequest(r.Header)
	if !conn.begin(info.ID) {
		panic(http.ErrAbortHandler)
	}
	defer conn.end()
	now := s.o.Now()
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(maxRequestTime))
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d := &delivery{
		s: s, w: w, r: r, conn: conn, start: now, info: info, bodyOwed: r.ContentLength != 0,
	}
	if d.config = s.configRead.Load(); d.config != nil {
		d.snap = d.config.snap
	}
	if d.admitBytes() && d.admit() {
		d.run()
	}
	if !d.answered {
		// net/http completes the response of a handler that returns, also for a caller that
		// has closed only its sending half and reads on.
		panic(http.ErrAbortHandler)
	}
}

// admitBytes refuses a request for which the budget of held bytes has no room.
func (d *delivery) admitBytes() bool {
	var fields int
	d.headerBytes, fields = headerSize(d.r)
	if d.conn.admits(d.headerBytes, fields) {
		return true
	}
	d.s.metrics.requestsRefused.Inc(1)
	d.w.Header().Set("Connection", "close")
	d.finish(stepRefuse, http.StatusServiceUnavailable, "no room for the request", bodiesRetryAfter)
	return false
}

// admit finds the route and reads the body. If that fails, it responds to the caller
// itself.
func (d *delivery) admit() bool {
	if d.snap == nil {
		d.finish(stepRefuse, http.StatusServiceUnavailable, "no configuration yet", time.Second)
		return false
	}
	path, _, _ := strings.Cut(d.r.RequestURI, "?")
	d.route = d.snap.Table.Lookup(d.r.Host, path)
	if d.route == nil {
		d.noRoute()
		return false
	}
	if !d.checkKey() {
		return false
	}
	limits := d.snap.Config.Limits
	if limits.HeaderBytes > 0 && d.headerBytes > limits.HeaderBytes {
		d.finish(stepRefuse, http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)
		return false
	}
	return d.readBody(limits)
}

// noRoute responds with 404 only while the configuration is known to be fresh: a
// process that has lost its connection to the store can't tell whether a route
// exists.
func (d *delivery) noRoute() {
	if d.s.sinceEpoch(d.start)-d.config.begun > d.s.o.ConfigFreshFor {
		d.finish(stepRefuse, http.StatusServiceUnavailable, "route unknown and configuration stale", time.Second)
		return
	}
	d.finish(stepRefuse, http.StatusNotFound, "no such route", 0)
}

func (d *delivery) readBody(limits serving.Limits) bool {
	body := io.Reader(d.r.Body)
	if limits.BodyBytes > 0 {
		body = http.MaxBytesReader(d.w, d.r.Body, limits.BodyBytes)
	}
	d.conn.admitted(d.tenantName(), d.heldUrgency())
	hash := newRequestHash(d.r, &d.info, d.authenticated, d.tenantName())
	stop := d.endReadAtForceStop()
	defer stop()
	var err error
	by := time.Now().Add(d.start.Add(d.timeLimit()).Sub(d.s.o.Now()))
	if d.conn == nil && d.bodyOwed {
		// It fails only on a closed connection.
		_ = http.NewResponseController(d.w).SetReadDeadline(by)
	}
	d.body, err = d.conn.readBody(io.TeeReader(body, hash), d.r.ContentLength, limits.BodyBytes, by)
	d.traits = requestTraits(d.info.Prefix, hash.trait())
	var large *http.MaxBytesError
	var noRoom *NoRoomError
	switch {
	case err == nil:
		d.bodyOwed = false
		d.conn.hold(len(d.r.Trailer) * headerFieldBytes)
		return true
	case errors.As(err, &large):
		d.finish(stepRefuse, http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.As(err, &noRoom):
		d.s.metrics.bodiesRefused.Inc(1)
		d.finish(stepRefuse, http.StatusServiceUnavailable, err.Error(), bodiesRetryAfter)
	case d.s.forceStop.Err() != nil:
		t, _ := d.s.stopTimes()
		d.refuseWhileStopping(d.s.o.Now(), t)
	case errors.Is(err, os.ErrDeadlineExceeded):
		_ = http.NewResponseController(d.w).SetWriteDeadline(d.s.o.Now().Add(writeSlack))
		d.finish(stepRefuse, http.StatusRequestTimeout, "body not complete in time", 0)
	default:
		d.log(stepNone, 0, log.Fields{"reason": "body not read", "error": err.Error()})
	}
	return false
}
