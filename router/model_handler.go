package router

import (
	"encoding/json"
	"net/http"

	"github.com/laureltally/laureltally/wire"
)

// handleModel serves /v1/chat/completions and /v1/completions.
func (s *Server) handleModel(w http.ResponseWriter, r *http.Request) {
	req, env, failure := s.readModelRequest(w, r)
	if failure != nil {
		s.refuse(w, r, failure)
		return
	}
	var out sink = newBudgetedSink(w, r)
	if req.Stream {
		out = newStreamSink(w)
	}
	s.serve(w, r, env, req, out)
}

func (s *Server) readModelRequest(w http.ResponseWriter, r *http.Request) (*Request, *environment, *Failure) {
	req, env, failure := s.readRequest(w, r, "")
	if failure != nil {
		return nil, nil, failure
	}
	body, failure := parseChatBody(req.Body)
	if failure != nil {
		return nil, nil, failure
	}
	target, ok := env.catalog.Load().Resolve(body.Model)
	if !ok {
		return nil, nil, notRun(wire.CodeUnknownModel, "there is no model %q", body.Model)
	}
	req.Target = target
	req.Upstream = target.Model.Upstream
	req.Priority = target.Priority
	req.NonIdempotent = target.Model.NonIdempotent
	req.Path = r.URL.Path
	req.Stream = body.Stream
	req.PrefixHash = body.prefixHash()
	return req, env, nil
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels serves /v1/models.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	env, _, failure := s.authenticate(r, "")
	if failure != nil {
		s.refuse(w, r, failure)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range env.catalog.Load().ModelNames() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: string(env.name)})
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
