package standin

import (
	"net/http"
	"strconv"

	"github.com/laureltally/laureltally/engine"
)

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	if p := e.Submit(o); p != nil {
		writeJSON(w, orderStatus(p.Code), p)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func orderStatus(c engine.ProblemCode) int {
	switch c {
	case engine.ProblemMalformed:
		return http.StatusBadRequest
	case engine.ProblemUnknownModel:
		return http.StatusNotFound
	default:
		return http.StatusConflict
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.batch.report())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, e.cache.eventsSince(since))
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if readJSON(w, r, &f) {
		e.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) serveRestart(w http.ResponseWriter, _ *http.Request) {
	e.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counters())
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Runs())
}
