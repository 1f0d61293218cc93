package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
)

const (
	// forceStopSlack is how long before the end of a shutdown running requests are
	// given up; it covers writing the responses to those that have none yet.
	forceStopSlack = 700 * time.Millisecond
	// exitSlack is reserved for the exit of the process itself.
	exitSlack = 300 * time.Millisecond
	// shutdownServeTime is the time that an admitted request needs to be answered
	// before a shutdown ends.
	shutdownServeTime = 3 * time.Second
	// shutdownAdmitTime is how long a stopping process admits every request: load
	// balancers need that long to send callers elsewhere.
	shutdownAdmitTime = 3 * time.Second
	// shutdownQuiet is the time without requests after which a stopping process exits.
	// While callers still arrive, it stays until its shutdown has to end.
	shutdownQuiet = 300 * time.Millisecond
	// shutdownPoll is the interval of checks for that.
	shutdownPoll = 20 * time.Millisecond
)

// shutdownMaxWait returns the limit that a shutdown sets on the wait for a reservation.
// While the process stops, the wait must leave shutdownServeTime for the response;
// otherwise it is bounded only by maxRequestTime.
func (s *Server) shutdownMaxWait(now time.Time) time.Duration {
	at := s.forceStopAt.Load()
	if at == 0 {
		return maxRequestTime
	}
	return max(0, s.epoch.Add(time.Duration(at)).Sub(now)-shutdownServeTime)
}

// stopTimes are the times of a shutdown: when it began, and when all requests are given up.
type stopTimes struct{ begun, end time.Time }

// stopTimes returns the times of the shutdown, or false if there is none.
func (s *Server) stopTimes() (stopTimes, bool) {
	if !s.draining.Load() {
		return stopTimes{}, false
	}
	return stopTimes{s.epoch.Add(time.Duration(s.stopBegun.Load())), s.epoch.Add(time.Duration(s.forceStopAt.Load()))}, true
}

// admits reports whether a request is admitted that has been read to its end at now, with
// the given deadline. It answers rolling restarts in which all routers of a zone stop at the
// same time and callers have no other: what can't be answered in time is refused at once, not
// cut off later.
func (t stopTimes) admits(now, deadline time.Time) bool {
	return now.Sub(t.begun) < shutdownAdmitTime || !deadline.After(t.end)
}

// sends reports whether an admitted request that may run only once is sent to a VM at now.
// It may have waited since, or another VM may have declined it.
func (t stopTimes) sends(now, deadline time.Time) bool {
	return t.admits(now, deadline) || t.end.Sub(now) > shutdownServeTime
}

// shutdown waits for the load balancer to notice, and for the requests of callers who
// still arrive or wait. The listener stays open meanwhile, since a refused connection
// tells a caller less than a response.
func (s *Server) shutdown(server *http.Server) {
	begun, now := time.Now(), s.o.Now()
	grace := time.Duration(s.o.Settings.ShutdownTimeout)
	s.stopBegun.Store(int64(now.Sub(s.epoch)))
	s.forceStopAt.Store(int64(now.Sub(s.epoch) + grace - forceStopSlack))
	s.draining.Store(true)
	timer := time.AfterFunc(grace-forceStopSlack, s.cancelForceStop)
	defer timer.Stop()
	s.o.Logger.Info("stopping, no longer ready")
	time.Sleep(s.o.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-exitSlack))
	defer cancel()
	for !s.mayExit() && wait.Sleep(ctx, shutdownPoll) == nil {
	}
	if err := server.Shutdown(ctx); err != nil {
		s.o.Logger.WithError(err).Warn("requests still running at the end of the shutdown")
	}
	for s.heldBytes.unread() && wait.Sleep(ctx, shutdownPoll) == nil {
	}
}

// mayExit reports whether a stopping process can exit: callers no longer come, or all
// running requests have been given up, since the process has to exit.
func (s *Server) mayExit() bool {
	return s.requests.quietFor(shutdownQuiet) || s.forceStop.Err() != nil && s.requests.none()
}

// refusedWhileStopping responds to a request that can't be answered before the process
// exits, and reports whether it did. A caller on an older connection finds another router
// at once. If the load balancer still sends new connections here, it has no other, and
// the caller is told to come back when this process has exited.
func (d *delivery) refusedWhileStopping() bool {
	t, stopping := d.s.stopTimes()
	now := d.s.o.Now()
	if !stopping || t.admits(now, d.deadline) {
		return false
	}
	d.refuseWhileStopping(now, t)
	return true
}

func (d *delivery) refuseWhileStopping(now time.Time, t stopTimes) {
	retryAfter := minRetryAfter
	if connectedAt(d.r).Sub(t.begun) >= shutdownAdmitTime {
		retryAfter = t.end.Sub(now)
	}
	d.w.Header().Set("Connection", "close")
	d.finish(stepRefuse, http.StatusServiceUnavailable, (&StoppingError{}).Error(), retryAfter)
}

// tooLateToSend responds to a request that may run only once and would be cut off at its VM by
// the exit of the process, and reports whether it did.
func (d *delivery) tooLateToSend() bool {
	t, stopping := d.s.stopTimes()
	now := d.s.o.Now()
	if !stopping || d.route.Retryable() || t.sends(now, d.deadline) {
		return false
	}
	d.refuseWhileStopping(now, t)
	return true
}

// endReadAtForceStop ends the read of the request's body when all requests are given up, so
// that a caller who is still sending gets a response. The caller calls stop afterwards.
func (d *delivery) endReadAtForceStop() (stop func() bool) {
	return context.AfterFunc(d.s.forceStop, func() {
		// It fails only on a closed connection.
		_ = http.NewResponseController(d.w).SetReadDeadline(time.Unix(1, 0))
	})
}
