package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// ObjectAPI serves a memstore.Store and a VMList over the protocol of package
// objecthttp, and these control paths:
//
//	POST /control/faults   StoreFaults
//	GET  /control/counters -> memstore.Counters
//	POST /control/vms      VMChange
type ObjectAPI struct {
	store     *memstore.Store
	vms       *VMList
	heartbeat time.Duration
	handler   http.Handler
}

// NewObjectAPI returns an object API with the defaults of ObjectAPIOptions.
func NewObjectAPI(o ObjectAPIOptions) *ObjectAPI {
	if o.Store == nil {
		o.Store = memstore.New(memstore.Options{})
	}
	if o.VMs == nil {
		o.VMs = NewVMList(0)
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	a := &ObjectAPI{store: o.Store, vms: o.VMs, heartbeat: o.Heartbeat}
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/objects", a.list).Methods(http.MethodGet)
	r.PathPrefix("/objects/").HandlerFunc(a.object)
	r.HandleFunc("/watch", a.watch).Methods(http.MethodGet)
	r.HandleFunc("/vms", a.listVMs).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", a.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/counters", a.counters).Methods(http.MethodGet)
	r.HandleFunc("/control/vms", a.changeVM).Methods(http.MethodPost)
	a.handler = r
	return a
}

// ServeHTTP implements http.Handler.
func (a *ObjectAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.handler.ServeHTTP(w, r) }

func (a *ObjectAPI) object(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch r.Method {
	case http.MethodGet:
		a.get(w, r, key)
	case http.MethodPut:
		a.put(w, r, key)
	case http.MethodDelete:
		a.remove(w, r, key)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (a *ObjectAPI) get(w http.ResponseWriter, r *http.Request, key string) {
	o, err := a.store.Get(r.Context(), key)
	if err != nil {
		writeProblem(w, objecthttp.NewProblem(err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", objecthttp.FormatETag(o.Version))
	// An error means that the client has disconnected.
	_, _ = w.Write(o.Value)
}

func (a *ObjectAPI) put(w http.ResponseWriter, r *http.Request, key string) {
	expect, err := expectedVersion(r.Header)
	if err != nil {
		writeProblem(w, &objecthttp.Problem{Code: objecthttp.ProblemMalformed, Detail: err.Error()})
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, metastore.MaxValueBytes+1))
	if err != nil {
		writeProblem(w, &objecthttp.Problem{Code: objecthttp.ProblemMalformed, Detail: err.Error()})
		return
	}
	v, err := a.store.Put(r.Context(), key, value, expect)
	if err != nil {
		writeProblem(w, objecthttp.NewProblem(err))
		return
	}
	w.Header().Set("ETag", objecthttp.FormatETag(v))
	w.WriteHeader(http.StatusOK)
}

func (a *ObjectAPI) remove(w http.ResponseWriter, r *http.Request, key string) {
	expect, err := objecthttp.ParseETag(r.Header.Get("If-Match"))
	if err == nil {
		err = a.store.Delete(r.Context(), key, expect)
	}
	if err != nil {
		writeProblem(w, objecthttp.NewProblem(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// expectedVersion returns the version on which a write depends, zero for a new
// object.
func expectedVersion(h http.Header) (metastore.Version, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return objecthttp.ParseETag(h.Get("If-Match"))
}

func (a *ObjectAPI) list(w http.ResponseWriter, r *http.Request) {
	objects, v, err := a.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeProblem(w, objecthttp.NewProblem(err))
		return
	}
	writeJSON(w, http.StatusOK, objecthttp.Listing{Objects: objects, Version: v})
}

func (a *ObjectAPI) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeProblem(w, &objecthttp.Problem{Code: objecthttp.ProblemMalformed, Detail: err.Error()})
		return
	}
	s := &lineWriter{w: w, control: http.NewResponseController(w), suppressHeartbeats: func() bool { return a.store.Faults().SilentWatches }}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() { s.sendHeartbeats(ctx, a.heartbeat) })
	err = a.store.Watch(ctx, r.URL.Query().Get("prefix"), metastore.Version(since), func(e metastore.Event) {
		s.write(objecthttp.WatchLine{Event: &e})
	})
	cancel()
	heartbeats.Wait()
	if !errors.Is(err, context.Canceled) {
		s.write(objecthttp.WatchLine{Problem: objecthttp.NewProblem(err)})
	}
}

func (a *ObjectAPI) listVMs(w http.ResponseWriter, r *http.Request) {
	if a.store.Faults().Outage {
		writeProblem(w, objecthttp.NewProblem(&metastore.UnavailableError{Op: "vms", Err: &memstore.OutageError{}}))
		return
	}
	vms, err := a.vms.ListVMs(r.Context())
	if err != nil {
		writeProblem(w, objecthttp.NewProblem(err))
		return
	}
	writeJSON(w, http.StatusOK, vms)
}

func (a *ObjectAPI) setFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if readJSON(w, r, &f) {
		a.store.SetFaults(f.storeFaults())
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *ObjectAPI) counters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.store.Counters())
}

func (a *ObjectAPI) changeVM(w http.ResponseWriter, r *http.Request) {
	var c VMChange
	if readJSON(w, r, &c) {
		a.vms.Apply(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// writeProblem writes an error response of the object API.
func writeProblem(w http.ResponseWriter, p *objecthttp.Problem) {
	if p.RetryAfterMS > 0 {
		seconds := (time.Duration(p.RetryAfterMS)*time.Millisecond + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.Status())
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}
