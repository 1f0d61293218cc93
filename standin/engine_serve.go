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

// minPause is the shortest pause between tokens that is slept; shorter ones are
// added up.
const minPause = time.Millisecond

// ResumeHeader names how many tokens of a streamed answer the caller has; the
// engine sends the others. A resumption is no run of its own.
const ResumeHeader = "X-Resume-Tokens"

// cachedShare is the share of the first-token time that a cached prefix takes.
const cachedShare = 0.2

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := openAIModelList{Object: "list", Data: []openAIModel{}}
	for _, m := range e.State().Models {
		if m.Phase == engine.PhaseLoaded {
			list.Data = append(list.Data, openAIModel{ID: string(m.Model), Object: "model", OwnedBy: "laureltally"})
		}
	}
	respond(w, http.StatusOK, list)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveRequest(w, r, chatShape{})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveRequest(w, r, completionShape{})
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request, shape answerShape) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		refuseRequest(w, http.StatusBadRequest, openAIErrorBody{Message: err.Error(), Type: "invalid_request_error"})
		return
	}
	g := &generation{request: req, shape: shape, id: r.Header.Get("X-Request-Id")}
	// A header that is no number counts as zero.
	g.priority, _ = strconv.Atoi(r.Header.Get("X-Priority"))
	g.resumeAt, _ = strconv.Atoi(r.Header.Get(ResumeHeader))
	life, problem := e.join(g)
	if problem != nil {
		refuseRequest(w, problem.status, problem.body)
		return
	}
	defer e.part(g)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if err := e.generate(ctx, w, g); err != nil {
		e.noteCancelled()
		// The connection is cut, so that no cut answer looks like a whole one.
		panic(http.ErrAbortHandler)
	}
}

// join checks that the model is loaded and counts the request among its users.
func (e *Engine) join(g *generation) (context.Context, *requestProblem) {
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
	return e.life, nil
}

// resolve finds the loaded model that a request names, by its own name, with an
// adapter, or by the name of a loaded adapter alone. The caller holds mu.
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

// part takes the request off its model's users.
func (e *Engine) part(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.model.running--
	e.broadcast()
}

func (e *Engine) noteCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Cancelled++
}

// generate waits for a place in the batch and writes the answer.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, g *generation) error {
	if err := e.batch.enter(ctx, g.priority); err != nil {
		return err
	}
	defer e.batch.leave()
	hit := e.startRun(g)
	first := e.o.TimeToFirstToken
	if hit {
		first = time.Duration(float64(first) * cachedShare)
	}
	g.created = time.Now().Unix()
	out := newAnswerWriter(w, g)
	next := time.Now().Add(first)
	tokens := answerTokens(g.request.Model, g.request.last(), g.request.tokens())
	for _, token := range tokens[min(max(0, g.resumeAt), len(tokens)):] {
		if err := e.pause(ctx, next); err != nil {
			return err
		}
		if err := out.token(token); err != nil {
			return err
		}
		next = next.Add(e.batch.step())
	}
	return out.finish()
}

// startRun counts the run, or the resumption of one, and tells whether the prompt
// prefix is cached.
func (e *Engine) startRun(g *generation) bool {
	hit := e.cache.use(g.request.prefixHash())
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.resumeAt > 0 {
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

func refuseRequest(w http.ResponseWriter, status int, body openAIErrorBody) {
	respond(w, status, openAIError{Error: body})
}

// words counts the words of a text, which the engine takes for tokens.
func words(text string) int { return len(strings.Fields(text)) }
