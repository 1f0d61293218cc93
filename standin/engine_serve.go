package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
)

// minPause is the shortest pause between tokens for which a request sleeps; shorter
// ones add up.
const minPause = time.Millisecond

// ResumeHeader carries how many tokens of a streamed response the caller has; the
// engine sends the others. A resumption does not count as a run.
const ResumeHeader = "X-Resume-Tokens"

// cachedFirstTokenShare is the share of the time to first token that remains with a
// cached prefix.
const cachedFirstTokenShare = 0.2

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := openAIModelList{Object: "list", Data: []openAIModel{}}
	for _, m := range e.State().Models {
		if m.Phase == engine.PhaseLoaded {
			list.Data = append(list.Data, openAIModel{ID: string(m.Model), Object: "model", OwnedBy: "laureltally"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveRequest(w, r, chatShape{})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveRequest(w, r, completionShape{})
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request, shape responseShape) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeOpenAIError(w, http.StatusBadRequest, openAIErrorBody{Message: err.Error(), Type: "invalid_request_error"})
		return
	}
	g := &generation{request: req, shape: shape, id: r.Header.Get("X-Request-Id")}
	// A header that is no number counts as zero.
	g.priority, _ = strconv.Atoi(r.Header.Get("X-Priority"))
	g.resumeFrom, _ = strconv.Atoi(r.Header.Get(ResumeHeader))
	instance, problem := e.admit(g)
	if problem != nil {
		writeOpenAIError(w, problem.status, problem.body)
		return
	}
	defer e.finish(g)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(instance, cancel)()
	if err := e.generate(ctx, w, g); err != nil {
		e.countCancelled()
		// The connection is closed, so that a truncated response does not look like
		// a complete one.
		panic(http.ErrAbortHandler)
	}
}

// admit checks that the model is loaded and counts the request as one of its running
// requests. It returns the context of the engine instance.
func (e *Engine) admit(g *generation) (context.Context, *requestProblem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailRequests > 0 {
		e.faults.FailRequests--
		body := openAIErrorBody{Message: "injected failure", Type: "server_error"}
		return nil, &requestProblem{status: http.StatusInternalServerError, body: body}
	}
	m := e.resolve(&g.request)
	if m == nil {
		body := openAIErrorBody{
			Message: fmt.Sprintf("The model %q is not loaded.", g.request.Model),
			Type:    "invalid_request_error", Param: "model", Code: "model_not_found",
		}
		return nil, &requestProblem{status: http.StatusNotFound, body: body}
	}
	m.running++
	g.model = m
	e.counters.Requests++
	return e.instance, nil
}

// resolve returns the loaded model for a request that gives a model name, with or
// without an adapter, or the name of a loaded adapter alone. It returns nil if there
// is none. The caller holds mu.
func (e *Engine) resolve(r *completionRequest) *engineModel {
	model, adapter := r.target()
	if m := e.models[model]; m != nil {
		if _, ok := m.adapters[adapter]; m.phase == engine.PhaseLoaded && (ok || adapter == "") {
			return m
		}
		return nil
	}
	for _, m := range e.models {
		if _, ok := m.adapters[ident.Adapter(r.Model)]; ok && m.phase == engine.PhaseLoaded {
			return m
		}
	}
	return nil
}

// finish removes the request from the running requests of its model.
func (e *Engine) finish(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.model.running--
	e.broadcast()
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Cancelled++
}

// generate waits until the request can join the batch and writes the response.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, g *generation) error {
	if err := e.batch.acquire(ctx, g.priority); err != nil {
		return err
	}
	defer e.batch.release()
	hit := e.startRun(g)
	first := e.o.TimeToFirstToken
	if hit {
		first = time.Duration(float64(first) * cachedFirstTokenShare)
	}
	g.created = time.Now().Unix()
	out := newResponseWriter(w, g)
	next := time.Now().Add(first)
	tokens := responseTokens(g.request.Model, g.request.last(), g.request.tokens())
	for _, token := range tokens[min(max(0, g.resumeFrom), len(tokens)):] {
		if err := e.pause(ctx, next); err != nil {
			return err
		}
		if err := out.token(token); err != nil {
			return err
		}
		next = next.Add(e.batch.tokenInterval())
	}
	return out.finish()
}

// startRun counts the run, or the resumption of one, and reports whether the prompt
// prefix is cached.
func (e *Engine) startRun(g *generation) bool {
	hit := e.cache.access(g.request.prefixHash())
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.resumeFrom > 0 {
		e.counters.Resumed++
	} else {
		e.runs[g.id]++
	}
	if hit {
		e.counters.CacheHits++
	}
	return hit
}

// pause waits until the next token is due and while streams are stalled.
func (e *Engine) pause(ctx context.Context, next time.Time) error {
	if d := time.Until(next); d >= minPause {
		if err := wait.Sleep(ctx, d); err != nil {
			return err
		}
	}
	return e.await(ctx, func() bool { return !e.faults.Stall })
}

func writeOpenAIError(w http.ResponseWriter, status int, body openAIErrorBody) {
	writeJSON(w, status, openAIError{Error: body})
}

// countWords counts the words of a text; the engine counts one token per word.
func countWords(text string) int { return len(strings.Fields(text)) }
