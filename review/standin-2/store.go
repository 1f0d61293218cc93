package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const objectsPath = "/laureltally/objects/"

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// store is a stand-in of the platform's metadata store: linearizable, always up. Watches are
// answered with 410, since no program of the project uses them.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	objects map[string]*object
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), rev: 1, objects: make(map[string]*object)}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind+"/"+name, name, text, nil)
}

// spec returns the content of an object.
func (s *store) spec(kind, name string) (spec map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := json.NewDecoder(bytes.NewReader(s.objects[kind+"/"+name].Spec))
	d.UseNumber()
	if err := d.Decode(&spec); err != nil {
		panic(err)
	}
	return spec
}

func (s *store) write(key, name string, spec json.RawMessage, finalizers []string) *object {
	s.rev++
	o := s.objects[key]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedRev: s.rev}}
		s.objects[key] = o
	}
	o.Metadata.Rev, o.Metadata.Finalizers, o.Spec = s.rev, append([]string{}, finalizers...), spec
	return o
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, _ = strings.CutSuffix(name, "/status")
	var in object
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost:
		key = kind + "/" + in.Metadata.Name
		if o := s.objects[key]; o != nil {
			reply(w, http.StatusConflict, o)
			return
		}
		reply(w, http.StatusCreated, s.write(key, in.Metadata.Name, in.Spec, in.Metadata.Finalizers))
	case http.MethodPut:
		o := s.objects[key]
		switch {
		case o == nil:
			reply(w, http.StatusNotFound, nil)
		case in.Metadata.Rev != 0 && in.Metadata.Rev != o.Metadata.Rev:
			reply(w, http.StatusConflict, o)
		case string(o.Spec) == string(in.Spec):
			reply(w, http.StatusOK, o)
		default:
			reply(w, http.StatusOK, s.write(key, name, in.Spec, in.Metadata.Finalizers))
		}
	case http.MethodDelete:
		o := s.objects[key]
		rev, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
		switch {
		case o == nil:
			reply(w, http.StatusNotFound, nil)
		case rev != 0 && rev != o.Metadata.Rev:
			reply(w, http.StatusConflict, o)
		default:
			s.rev++
			delete(s.objects, key)
			reply(w, http.StatusOK, o)
		}
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

// get answers a read. The caller holds mu.
func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	switch {
	case q.Get("watch") != "":
		reply(w, http.StatusGone, nil)
		return
	case name != "":
		if o := s.objects[kind+"/"+name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, nil)
		return
	}
	var names []string
	for key := range s.objects {
		if k, n, _ := strings.Cut(key, "/"); k == kind && n > q.Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	page := struct {
		Items      []*object `json:"items"`
		HasMore    bool      `json:"has_more"`
		CurrentRev uint64    `json:"current_rev"`
	}{Items: []*object{}, CurrentRev: s.rev}
	const pageSize = 500
	if len(names) > pageSize {
		names, page.HasMore = names[:pageSize], true
	}
	for _, n := range names {
		page.Items = append(page.Items, s.objects[kind+"/"+n])
	}
	reply(w, http.StatusOK, page)
}
